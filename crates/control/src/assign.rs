//! Assignment of shards to nodes.
//!
//! The store's consumer group lists the live nodes and reassigns its partitions whenever one joins
//! or leaves, or for reasons of its own. Nodes take only the members from it, and two of them may read
//! different ones at the same time. So the owners are not computed from the members: there is one
//! assignment in the store, which any node replaces under the condition that nobody else has. The next
//! assignment keeps each owner that is still a member. A fault that hits an owner moves each of its
//! shards once, to the member with the highest rendezvous rank that has room, and nothing moves back.
//!
//! Loads are levelled later: once neither members nor assignment have changed for
//! [`AssignSettings::settle_time`], a few shards at a time leave the owners that have too many. Each such
//! move reduces the excess, so that all shards are at rest at the latest `shards / max_moves` settle
//! times after the last change of the members. The owner of a pool under peak load needs several times
//! as much processor time as other nodes, so nodes with little of it own shards only where the others
//! are too few, and busy shards have different owners if possible.

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
    /// Time without any change after which shards move to level the load; also the wait before the
    /// first assignment, as the nodes of a new system join one after the other. Longer than a node
    /// needs to start again and to join.
    pub settle_time: Duration,
    /// Number of shards that move at once to level the load.
    pub max_moves: usize,
}

/// Identity of a node as a member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Address for connections from the other nodes.
    pub address: SocketAddr,
    /// Processor time of the node in hundredths of a core.
    pub weight: u32,
}

/// Members of the group as this node reads them, and the assignment in force.
#[derive(Debug, Clone)]
pub struct ShardTable {
    settings: AssignSettings,
    busy: IndexSet<ShardNumber>,
    listed: IndexSet<NodeName>,
    /// Members that disappeared together with most of the others, and until when they count.
    held: IndexMap<NodeName, Instant>,
    /// Owners by shard; empty before the first assignment.
    owners: Vec<NodeName>,
    /// When the members or the assignment last changed.
    changed_at: Option<Instant>,
}

impl Default for AssignSettings {
    fn default() -> Self {
        Self {
            shards: 24,
            slack: 1,
            min_relative_weight: 0.5,
            min_capacity_share: 0.25,
            mass_departure_hold: Duration::from_millis(1200),
            settle_time: Duration::from_secs(2),
            max_moves: 4,
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
            busy: IndexSet::new(),
            listed: IndexSet::new(),
            held: IndexMap::new(),
            owners: Vec::new(),
            changed_at: None,
        }
    }

    /// Replaces the listed members; returns whether they changed.
    pub fn update(&mut self, listed: IndexSet<NodeName>, now: Instant) -> bool {
        let removed = self.listed.iter().filter(|name| !listed.contains(*name));
        let removed: Vec<NodeName> = removed.cloned().collect();
        if removed.len() * 2 > self.listed.len() {
            let until = now + self.settings.mass_departure_hold;
            self.held
                .extend(removed.into_iter().map(|name| (name, until)));
        }
        self.held
            .retain(|name, until| now < *until && !listed.contains(name));
        let changed = self.listed != listed;
        if changed {
            self.changed_at = Some(now);
        }
        self.listed = listed;
        changed
    }

    /// Sets the shards with most of the work, whose owners are chosen first.
    pub fn set_busy(&mut self, busy: &IndexSet<ShardNumber>) {
        if self.busy != *busy {
            self.busy = busy.clone();
        }
    }

    /// Takes over the assignment that the store holds; returns whether it is another one. One for
    /// another number of shards counts as none.
    pub fn adopt(&mut self, mut owners: Vec<NodeName>, now: Instant) -> bool {
        if owners.len() != self.settings.shards as usize {
            owners.clear();
        }
        if self.owners == owners {
            return false;
        }
        self.owners = owners;
        self.changed_at = Some(now);
        true
    }

    /// Returns the assignment that should replace the one in force; `None` if that one is fine as far
    /// as this node can tell.
    pub fn propose(&self, now: Instant) -> Option<Vec<NodeName>> {
        let members = self.listed.iter().chain(self.held.keys()).collect();
        let settled = self
            .changed_at
            .is_some_and(|at| now >= at + self.settings.settle_time);
        if self.owners.is_empty() && !settled {
            return None;
        }
        let mut draft = AssignmentDraft::new(&self.settings, &self.busy, members, &self.owners)?;
        draft.fill();
        if settled && !self.owners.is_empty() {
            draft.level();
        }
        let next = draft.into_owners();
        (next != self.owners).then_some(next)
    }

    /// Returns whether members count that the group no longer lists.
    pub fn has_held_members(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns the number of members that count.
    pub fn member_count(&self) -> usize {
        self.listed.len() + self.held.len()
    }

    /// Returns the owner of each shard; empty before the first assignment.
    pub fn owners(&self) -> impl Iterator<Item = (ShardNumber, &NodeName)> {
        (0..).zip(&self.owners)
    }

    /// Returns how many shards have another owner in an assignment.
    pub fn count_moved(&self, owners: &[NodeName]) -> usize {
        let pairs = self.owners.iter().zip(owners);
        pairs.filter(|(before, after)| before != after).count()
    }

    /// Returns the shards assigned to a node.
    pub fn shards_of(&self, name: &str) -> Vec<ShardNumber> {
        let own = self.owners().filter(|(_, owner)| &***owner == name);
        own.map(|(shard, _)| shard).collect()
    }
}

/// Shards of a member.
#[derive(Debug, Clone, Copy, Default)]
struct MemberLoad {
    shards: usize,
    busy: usize,
}

/// An assignment that is being made from the one in force.
struct AssignmentDraft<'a> {
    settings: &'a AssignSettings,
    busy: &'a IndexSet<ShardNumber>,
    /// Members that may get shards, with their loads.
    capable: IndexMap<&'a NodeName, MemberLoad>,
    owners: IndexMap<ShardNumber, &'a NodeName>,
    limit: usize,
    busy_limit: usize,
}

impl<'a> AssignmentDraft<'a> {
    /// Creates a draft in which the owners that are members keep their shards; `None` without members.
    fn new(
        settings: &'a AssignSettings,
        busy: &'a IndexSet<ShardNumber>,
        members: Vec<&'a NodeName>,
        current: &'a [NodeName],
    ) -> Option<Self> {
        let capable = capable_members(settings, &members);
        if capable.is_empty() {
            return None;
        }
        let shards = settings.shards as usize;
        let mut draft = Self {
            settings,
            busy,
            limit: shards.div_ceil(capable.len()) + settings.slack,
            busy_limit: busy.len().div_ceil(capable.len()),
            capable: capable
                .into_iter()
                .map(|name| (name, Default::default()))
                .collect(),
            owners: IndexMap::new(),
        };
        let members: IndexSet<&NodeName> = members.into_iter().collect();
        for (shard, owner) in (0..).zip(current) {
            if members.contains(owner) {
                draft.set_owner(shard, owner);
            }
        }
        Some(draft)
    }

    fn set_owner(&mut self, shard: ShardNumber, owner: &'a NodeName) {
        let is_busy = usize::from(self.busy.contains(&shard));
        if let Some(former) = self.owners.insert(shard, owner)
            && let Some(load) = self.capable.get_mut(former)
        {
            load.shards -= 1;
            load.busy -= is_busy;
        }
        if let Some(load) = self.capable.get_mut(owner) {
            load.shards += 1;
            load.busy += is_busy;
        }
    }

    /// Returns the member with the highest rank for a shard among those with room for it.
    fn best_owner(&self, shard: ShardNumber) -> Option<&'a NodeName> {
        let is_busy = self.busy.contains(&shard);
        let open = self.capable.iter().filter(|(_, load)| {
            load.shards < self.limit && (!is_busy || load.busy < self.busy_limit)
        });
        let ranked = open.map(|(name, _)| (rendezvous_rank(name, shard), *name));
        let best = ranked.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        best.map(|(_, name)| name)
    }

    /// Returns the member with the fewest busy shards, and among these the fewest shards.
    fn idlest_member(&self) -> Option<&'a NodeName> {
        let members = self.capable.iter();
        let idlest = members.min_by_key(|(name, load)| (load.busy, load.shards, **name));
        idlest.map(|(name, _)| *name)
    }

    /// Gives an owner to each shard that has none, the busy ones first.
    fn fill(&mut self) {
        let others = (0..self.settings.shards).filter(|shard| !self.busy.contains(shard));
        let busy = (0..self.settings.shards).filter(|shard| self.busy.contains(shard));
        let open: Vec<ShardNumber> = busy
            .chain(others)
            .filter(|shard| !self.owners.contains_key(shard))
            .collect();
        for shard in open {
            if let Some(owner) = self.best_owner(shard).or_else(|| self.idlest_member()) {
                self.set_owner(shard, owner);
            }
        }
    }

    /// Moves shards away from weak owners and from those with too many.
    fn level(&mut self) {
        for _ in 0..self.settings.max_moves {
            let excess = (0..self.settings.shards).filter(|shard| self.is_excess(*shard));
            let next = excess
                .filter_map(|shard| Some((shard, self.best_owner(shard)?)))
                .max_by_key(|(shard, _)| self.busy.contains(shard));
            let Some((shard, owner)) = next else {
                return;
            };
            self.set_owner(shard, owner);
        }
    }

    /// Returns whether a shard should have another owner.
    fn is_excess(&self, shard: ShardNumber) -> bool {
        let Some(owner) = self.owners.get(&shard) else {
            return false;
        };
        let Some(load) = self.capable.get(*owner) else {
            return true;
        };
        let is_busy = self.busy.contains(&shard);
        if is_busy {
            load.busy > self.busy_limit
        } else {
            load.shards > self.limit
        }
    }

    fn into_owners(mut self) -> Vec<NodeName> {
        self.owners.sort_unstable_keys();
        self.owners.into_values().cloned().collect()
    }
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
