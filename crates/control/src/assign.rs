//! Assignment of shards to nodes.
//!
//! The store's consumer group lists the live nodes and reassigns its partitions whenever one joins
//! or leaves, or for reasons of its own. Each change of owner interrupts a shard for a moment, so
//! nodes take only the membership from the group and compute the same owners from it independently:
//! a node that joins or leaves moves little more than its own shards. The owner of a pool under peak
//! load needs several times as much processor time as other nodes, so nodes with little of it own
//! shards only where the others are too few.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

use crate::config::mix_hash;

/// Separates the address from the weight in the name of a member.
const WEIGHT_SEPARATOR: char = '#';

/// Settings of a [`ShardTable`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AssignSettings {
    /// Number of shards in the fleet; the same on all nodes.
    pub shards: u32,
    /// Shards that a node may own beyond an even share. With none, each membership change moves
    /// many.
    pub slack: usize,
    /// Weight of a node, relative to the heaviest one, below which it owns no shards. Lowered by the
    /// same factor until the heavier nodes have enough weight.
    pub min_relative_weight: f64,
    /// Fraction of all weight that the nodes that own shards have together.
    pub min_capacity_share: f64,
    /// How long members that disappear together with most of the others still count: after an
    /// outage the store may have lost the whole group, and its members rejoin one after the other.
    pub mass_departure_hold: Duration,
}

/// Identity of a node as a member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Address for connections from the other nodes.
    pub address: SocketAddr,
    /// Processor time of the node in hundredths of a core.
    pub weight: u32,
}

/// Members of the group and the shard owners computed from them.
#[derive(Debug, Clone)]
pub struct ShardTable {
    settings: AssignSettings,
    listed: IndexSet<NodeName>,
    /// Members that disappeared together with most of the others, and until when they count.
    held: IndexMap<NodeName, Instant>,
    owners: Vec<NodeName>,
}

impl Default for AssignSettings {
    fn default() -> Self {
        Self {
            shards: 24,
            slack: 1,
            min_relative_weight: 0.5,
            min_capacity_share: 0.25,
            mass_departure_hold: Duration::from_millis(1200),
        }
    }
}

impl MemberIdentity {
    /// Returns the name under which the node joins the group.
    pub fn name(&self) -> NodeName {
        format!("{}{WEIGHT_SEPARATOR}{}", self.address, self.weight).into()
    }

    /// Parses the name of a member; `None` when it is not the name of a node.
    pub fn parse(name: &str) -> Option<Self> {
        let (address, weight) = name.rsplit_once(WEIGHT_SEPARATOR)?;
        Some(Self {
            address: address.parse().ok()?,
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

    /// Replaces the listed members and recomputes the owners.
    pub fn update(&mut self, listed: IndexSet<NodeName>, now: Instant) {
        let removed = self.listed.iter().filter(|name| !listed.contains(*name));
        let removed: Vec<NodeName> = removed.cloned().collect();
        if removed.len() * 2 > self.listed.len() {
            let until = now + self.settings.mass_departure_hold;
            self.held
                .extend(removed.into_iter().map(|name| (name, until)));
        }
        self.held
            .retain(|name, until| now < *until && !listed.contains(name));
        self.listed = listed;
        let members = self.listed.iter().chain(self.held.keys());
        let members: Vec<&NodeName> = members.collect();
        self.owners = assign_shards(&self.settings, &members);
    }

    /// Returns whether members count that the group no longer lists.
    pub fn has_held_members(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the owner of each shard; empty without members.
    pub fn owners(&self) -> impl Iterator<Item = (ShardNumber, &NodeName)> {
        (0..).zip(&self.owners)
    }

    /// Returns the shards assigned to a node.
    pub fn shards_of(&self, name: &str) -> Vec<ShardNumber> {
        let own = self.owners().filter(|(_, owner)| &***owner == name);
        own.map(|(shard, _)| shard).collect()
    }
}

/// Assigns each shard to the capable member that ranks highest for it and is below the limit.
fn assign_shards(settings: &AssignSettings, members: &[&NodeName]) -> Vec<NodeName> {
    let members = capable_members(settings, members);
    if members.is_empty() {
        return Vec::new();
    }
    let shards = settings.shards as usize;
    let limit = shards.div_ceil(members.len()) + settings.slack;
    let mut loads: IndexMap<&NodeName, usize> = members.iter().map(|name| (*name, 0)).collect();
    let owners = (0..settings.shards).filter_map(|shard| {
        let eligible = loads.iter_mut().filter(|(_, load)| **load < limit);
        let ranked = eligible.map(|(name, load)| (rendezvous_rank(name, shard), *name, load));
        let best = ranked.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let (_, name, load) = best?;
        *load += 1;
        Some(name.clone())
    });
    owners.collect()
}

/// Returns the members that own shards: the heavy ones, which have at least some fraction of the total
/// weight together.
fn capable_members<'a>(settings: &AssignSettings, members: &[&'a NodeName]) -> Vec<&'a NodeName> {
    let weights = members.iter().map(|name| f64::from(weight_of(name)));
    let required = settings.min_capacity_share * weights.clone().sum::<f64>();
    let mut threshold = weights.clone().fold(0.0, f64::max);
    loop {
        threshold *= settings.min_relative_weight;
        let heavy: f64 = weights.clone().filter(|weight| *weight >= threshold).sum();
        if heavy >= required {
            let capable = members.iter().copied();
            let capable = capable.filter(|name| f64::from(weight_of(name)) >= threshold);
            return capable.collect();
        }
    }
}

fn weight_of(name: &str) -> u32 {
    MemberIdentity::parse(name).map_or(1, |member| member.weight.max(1))
}

/// Returns the weighted rendezvous hash of a member for a shard: the same on all nodes, independent
/// between shards, and highest for a fraction of the shards that grows with the square of the
/// member's weight. The owner of a busy shard is limited by its processor time, so a weak node
/// should own none while a strong one has capacity.
fn rendezvous_rank(name: &str, shard: ShardNumber) -> f64 {
    let weight = weight_of(name);
    let hash = mix_hash(name.bytes().chain(shard.to_be_bytes()));
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    f64::from(weight).powi(2) / -unit.ln()
}
