//! Which node is to own which shard.
//!
//! The store's group tells which nodes are there, and deals its partitions anew whenever one comes or
//! goes, or for reasons of its own. Each change of an owner stops a shard for a moment, so nodes take
//! only the members from the group, and each of them reckons the same owners from these: a node that
//! comes or goes moves little more than its own shards. Nodes with more processor time get more shards:
//! the owner of a pool in its surge needs several times what another node needs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

use crate::config::mix_hash;

/// Between the address and the weight in the name of a member.
const WEIGHT_MARK: char = '#';

/// Settings of a [`ShardTable`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignSettings {
    /// Number of shards of the fleet; all nodes have the same.
    pub shards: u32,
    /// Shards that a node may own beyond its even part. Without any, each change moves many.
    pub slack: usize,
    /// How long members that disappeared with most of the others are still counted: after an outage
    /// the store may have forgotten all of them, and they come back one after the other.
    pub mass_departure_hold: Duration,
}

/// A node as a member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Address at which the other nodes reach it.
    pub peers: SocketAddr,
    /// Processor time of the node in hundredths of a core.
    pub weight: u32,
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
            mass_departure_hold: Duration::from_millis(1200),
        }
    }
}

impl MemberIdentity {
    /// Returns the name under which the node joins the group.
    pub fn name(&self) -> NodeName {
        format!("{}{WEIGHT_MARK}{}", self.peers, self.weight).into()
    }

    /// Parses the name of a member; `None` when it is not one of a node.
    pub fn parse(name: &str) -> Option<Self> {
        let (peers, weight) = name.rsplit_once(WEIGHT_MARK)?;
        Some(Self {
            peers: peers.parse().ok()?,
            weight: weight.parse().ok()?,
        })
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
            let until = now + self.settings.mass_departure_hold;
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
    pub fn has_held_members(&self) -> bool {
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
        let ranked = open.map(|(name, load)| (rank_of(name, shard), *name, load));
        let best = ranked.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let (_, name, load) = best?;
        *load += 1;
        Some(name.clone())
    });
    owners.collect()
}

/// Returns how high a member ranks for a shard: the same on all nodes, unrelated between shards, and
/// highest for a part of the shards that grows with the square of the member's weight. The owner of a
/// busy shard is bound by its processor time, so a weak node should own none while a strong one has
/// room.
fn rank_of(name: &str, shard: ShardNumber) -> f64 {
    let weight = MemberIdentity::parse(name).map_or(1, |member| member.weight.max(1));
    let hash = mix_hash(name.bytes().chain(shard.to_be_bytes()));
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight).powi(2) / -unit.ln()
}
