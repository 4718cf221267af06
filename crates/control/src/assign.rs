//! Which node is to own which shard.
//!
//! The store's group tells which nodes are there, and deals its partitions anew whenever one comes or
//! goes, or for reasons of its own. Each change of an owner stops a shard for a moment, so nodes take
//! only the members from the group, and each of them reckons the same owners from these: a node that
//! comes or goes moves little more than its own shards.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

use crate::config::mix_hash;

/// Settings of a [`ShardTable`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignSettings {
    /// Number of shards of the fleet; all nodes have the same.
    pub shards: u32,
    /// Shards that a node may own beyond its even part. Without any, each change moves many.
    pub slack: usize,
    /// How long members that disappeared with most of the others are still counted: after an outage
    /// the store may have forgotten all of them, and they come back one after the other.
    pub mass_hold: Duration,
}

/// Members of the group, and the owners that follow from them.
#[derive(Debug, Clone)]
pub struct ShardTable {
    settings: AssignSettings,
    listed: IndexSet<NodeName>,
    /// Members that disappeared with most of the others, and until when they are counted.
    held: IndexMap<NodeName, Instant>,
    owners: Vec<NodeName>,
}

impl Default for AssignSettings {
    fn default() -> Self {
        Self {
            shards: 24,
            slack: 1,
            mass_hold: Duration::from_millis(1200),
        }
    }
}

impl ShardTable {
    /// Creates a table without members.
    pub fn new(settings: AssignSettings) -> Self {
        Self {
            settings,
            listed: IndexSet::new(),
            held: IndexMap::new(),
            owners: Vec::new(),
        }
    }

    /// Takes the members that the group lists now.
    pub fn update(&mut self, listed: IndexSet<NodeName>, now: Instant) {
        let gone = self.listed.iter().filter(|name| !listed.contains(*name));
        let gone: Vec<NodeName> = gone.cloned().collect();
        if gone.len() * 2 > self.listed.len() {
            let until = now + self.settings.mass_hold;
            self.held.extend(gone.into_iter().map(|name| (name, until)));
        }
        self.held
            .retain(|name, until| now < *until && !listed.contains(name));
        self.listed = listed;
        let members = self.listed.iter().chain(self.held.keys());
        let members: Vec<&NodeName> = members.collect();
        self.owners = spread(&self.settings, &members);
    }

    /// Returns whether members are counted that the group doesn't list.
    pub fn holds_members(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the owner of each shard; empty without members.
    pub fn owners(&self) -> impl Iterator<Item = (ShardNumber, &NodeName)> {
        (0..).zip(&self.owners)
    }

    /// Returns the shards that a node is to own.
    pub fn shards_of(&self, name: &str) -> Vec<ShardNumber> {
        let own = self.owners().filter(|(_, owner)| &***owner == name);
        own.map(|(shard, _)| shard).collect()
    }
}

/// Gives each shard to the member that ranks highest for it and has room.
fn spread(settings: &AssignSettings, members: &[&NodeName]) -> Vec<NodeName> {
    if members.is_empty() {
        return Vec::new();
    }
    let shards = settings.shards as usize;
    let most = shards.div_ceil(members.len()) + settings.slack;
    let mut loads: IndexMap<&NodeName, usize> = members.iter().map(|name| (*name, 0)).collect();
    let owners = (0..settings.shards).filter_map(|shard| {
        let open = loads.iter_mut().filter(|(_, load)| **load < most);
        let rank = |name: &NodeName| (rank_of(name, shard), Reverse(name.clone()));
        let (name, load) = open.max_by_key(|(name, _)| rank(name))?;
        *load += 1;
        Some((*name).clone())
    });
    owners.collect()
}

/// Returns how high a member ranks for a shard: the same on all nodes, and unrelated between shards.
fn rank_of(name: &str, shard: ShardNumber) -> u64 {
    mix_hash(name.bytes().chain(shard.to_be_bytes()))
}
