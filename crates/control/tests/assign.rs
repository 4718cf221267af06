//! Tests of the assignment of shards to nodes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;

fn name(number: u32, weight: u32) -> NodeName {
    let address: SocketAddr = format!("10.1.{number}.7:7000").parse().expect("an address");
    let identity = MemberIdentity { address, weight };
    identity.name()
}

fn names(numbers: impl IntoIterator<Item = u32>) -> IndexSet<NodeName> {
    numbers.into_iter().map(|number| name(number, 25)).collect()
}

fn owners(table: &ShardTable) -> Vec<NodeName> {
    table.owners().map(|(_, name)| name.clone()).collect()
}

fn table(members: IndexSet<NodeName>, now: Instant) -> ShardTable {
    let mut table = ShardTable::new(AssignSettings::default());
    table.update(members, now);
    table
}

fn count_moved(before: &[NodeName], after: &[NodeName]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

#[test]
fn every_shard_has_one_owner_and_no_node_owns_many() {
    for members in 1..40 {
        let table = table(names(0..members), Instant::now());
        assert_eq!(owners(&table).len(), 24);
        let limit = 24_usize.div_ceil(members as usize) + 1;
        for name in names(0..members) {
            assert!(table.shards_of(&name).len() <= limit, "{members} members");
        }
    }
}

#[test]
fn all_nodes_compute_the_same_owners() {
    let now = Instant::now();
    let one = table(names(0..9), now);
    let other = table(names((0..9).rev()), now);
    assert_eq!(owners(&one), owners(&other));
}

/// The store reassigns all partitions whenever a node leaves or joins, as in a rolling restart;
/// most shards must keep their owners.
#[test]
fn a_node_that_joins_or_leaves_moves_few_shards() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    for node in 0..9 {
        let before = owners(&table);
        let own = table.shards_of(&names([node])[0]).len();
        table.update(names((0..9).filter(|other| *other != node)), now);
        let without = owners(&table);
        assert!(
            count_moved(&before, &without) <= own + 3,
            "node {node} left"
        );
        table.update(names(0..9), now);
        assert_eq!(owners(&table), before, "node {node} came back");
    }
}

#[test]
fn a_member_name_holds_the_address_and_the_weight() {
    let identity = MemberIdentity {
        address: ([10, 1, 2, 3], 7000).into(),
        weight: 12,
    };
    assert_eq!(MemberIdentity::parse(&identity.name()), Some(identity));
    for foreign in ["", "10.1.2.3:7000", "10.1.2.3:7000#", "#12", "node#12"] {
        assert_eq!(MemberIdentity::parse(foreign), None, "{foreign}");
    }
}

/// A fleet has nodes with an eighth and with half a core; a pool at peak load saturates the small
/// ones.
#[test]
fn weak_nodes_own_no_shards_beside_strong_ones() {
    let members = (0..40).map(|number| name(number, if number < 10 { 50 } else { 12 }));
    let table = table(members.collect(), Instant::now());
    let strong = table.owners().filter(|(_, name)| name.ends_with("#50"));
    assert_eq!(strong.count(), 24);
}

/// One node owned the shards of two pools and the machine controller, while others owned none that is
/// busy.
#[test]
fn busy_shards_have_different_owners() {
    let busy = IndexSet::from([0, 2, 3, 11, 17, 23]);
    for first in 0..20 {
        let mut table = table(names(first..first + 8), Instant::now());
        assert!(table.set_busy(&busy));
        let owners: IndexSet<NodeName> = table
            .owners()
            .filter(|(shard, _)| busy.contains(shard))
            .map(|(_, owner)| owner.clone())
            .collect();
        assert_eq!(owners.len(), busy.len());
        assert_eq!(table.owners().count(), 24);
        assert!(!table.set_busy(&busy));
    }
}

#[test]
fn a_single_strong_node_does_not_own_all_shards() {
    let members = (0..40).map(|number| name(number, if number == 0 { 50 } else { 12 }));
    let table = table(members.collect(), Instant::now());
    assert!(table.shards_of(&name(0, 50)).len() <= 2);
}

#[test]
fn without_members_no_shard_has_an_owner() {
    let table = table(names([]), Instant::now());
    assert_eq!(table.owners().count(), 0);
    assert!(table.shards_of(&name(0, 25)).is_empty());
}

/// After an outage, the store has lost the group and its members rejoin one after the other.
#[test]
fn the_first_node_to_rejoin_does_not_take_all_shards() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    let before = owners(&table);
    for back in 1..9 {
        let later = now + Duration::from_millis(100) * back;
        table.update(names(0..back), later);
        assert_eq!(owners(&table), before, "{back} nodes are back");
    }
}

#[test]
fn members_that_stay_away_lose_their_shards() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    table.update(names(0..2), now);
    assert!(table.has_held_members());
    table.update(names(0..2), now + Duration::from_secs(2));
    assert!(!table.has_held_members());
    let live = names(0..2);
    assert!(table.owners().all(|(_, name)| live.contains(name)));
}

#[test]
fn a_single_lost_node_is_replaced_at_once() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    table.update(names(1..9), now);
    let lost = &names([0])[0];
    assert!(table.owners().all(|(_, name)| name != lost));
}

/// One node of a core, ten of a quarter and 29 of an eighth.
#[test]
fn an_outlier_does_not_give_shards_to_the_weakest_nodes() {
    let weight = |number| match number {
        0 => 100,
        1..11 => 25,
        _ => 12,
    };
    let members: IndexSet<NodeName> = (0..40).map(|number| name(number, weight(number))).collect();
    let mut table = ShardTable::new(AssignSettings::default());
    table.update(members, Instant::now());
    let weakest = table.owners().filter(|(_, name)| name.ends_with("#12"));
    assert_eq!(weakest.count(), 0);
}
