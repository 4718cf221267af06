//! Which node is to be asked about a shard.

use std::net::SocketAddr;

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Owners of shards as the store's group names them; a hint only.
#[derive(Debug, Clone, Default)]
pub struct OwnerTable {
    owners: IndexMap<ShardNumber, SocketAddr>,
}

impl OwnerTable {
    /// Replaces all owners; members whose names are not addresses are left out.
    pub fn replace(&mut self, rows: &[(ShardNumber, String)]) {
        let addressed = rows.iter().filter_map(|(shard, member)| {
            let address = member.parse().ok()?;
            Some((*shard, address))
        });
        self.owners = addressed.collect();
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: ShardNumber) -> Option<SocketAddr> {
        self.owners.get(&shard).copied()
    }
}
