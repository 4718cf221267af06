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

/// Returns a time at which members and assignment have not changed for long.
fn settled(now: Instant) -> Instant {
    now + AssignSettings::default().settle_time
}

/// Adopts what the node itself proposes now, as if no other node did; returns how many shards moved.
fn follow(table: &mut ShardTable, now: Instant) -> usize {
    let Some(owners) = table.propose(now) else {
        return 0;
    };
    let moved = table.count_moved(&owners);
    table.adopt(owners, now);
    moved
}

fn table(members: IndexSet<NodeName>, now: Instant) -> ShardTable {
    table_with_busy(members, &IndexSet::new(), now)
}

fn table_with_busy(
    members: IndexSet<NodeName>,
    busy: &IndexSet<ShardNumber>,
    now: Instant,
) -> ShardTable {
    let mut table = ShardTable::new(AssignSettings::default());
    table.set_busy(busy);
    table.update(members, now);
    follow(&mut table, settled(now));
    table
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

/// The store reassigns all partitions whenever a node leaves or joins, as in a rolling restart.
#[test]
fn a_node_that_leaves_moves_its_own_shards_and_one_that_joins_none() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    for node in 0..9 {
        let own = table.shards_of(&names([node])[0]).len();
        table.update(names((0..9).filter(|other| *other != node)), now);
        assert_eq!(follow(&mut table, now), own, "node {node} left");
        table.update(names(0..9), now);
        assert_eq!(follow(&mut table, now), 0, "node {node} came back");
    }
}

/// Shards moved to and fro between nodes that read the members at different times.
#[test]
fn nodes_that_read_different_members_come_to_rest() {
    let now = Instant::now();
    let mut complete = table(names(0..18), now);
    let mut partial = complete.clone();
    partial.update(names(0..17), now);
    let moved = follow(&mut partial, now);
    assert_eq!(moved, complete.shards_of(&names([17])[0]).len());
    // The assignment is the same for both, whoever has made it.
    let owners: Vec<NodeName> = owners(&partial);
    complete.adopt(owners, now);
    for _ in 0..20 {
        assert_eq!(complete.propose(now), None);
        assert_eq!(partial.propose(now), None);
    }
}

/// A member whose joins go unanswered for longer than its membership lasts comes and goes.
#[test]
fn a_member_that_flaps_loses_its_shards_once() {
    let mut now = Instant::now();
    let mut table = table(names(0..18), now);
    let own = table.shards_of(&names([3])[0]).len();
    let mut moved = 0;
    for _ in 0..10 {
        for members in [names((0..18).filter(|node| *node != 3)), names(0..18)] {
            now += Duration::from_millis(700);
            table.update(members, now);
            moved += follow(&mut table, now);
        }
    }
    assert_eq!(moved, own);
}

/// All nodes stop and start in turn; each comes back without shards, and loads are levelled later.
#[test]
fn loads_are_level_some_time_after_the_last_fault() {
    let mut now = Instant::now();
    let busy = IndexSet::from([0, 2, 3, 11, 17, 23]);
    let mut table = table_with_busy(names(0..9), &busy, now);
    for node in 0..8 {
        table.update(names((0..9).filter(|other| *other != node)), now);
        follow(&mut table, now);
        now += Duration::from_millis(500);
        table.update(names(0..9), now);
        follow(&mut table, now);
    }
    let mut steps = 0;
    loop {
        now = settled(now);
        let moved = follow(&mut table, now);
        assert!(moved <= AssignSettings::default().max_moves);
        if moved == 0 {
            break;
        }
        steps += 1;
    }
    assert!(steps <= 6, "{steps} steps");
    let most = names(0..9)
        .iter()
        .map(|name| table.shards_of(name).len())
        .max();
    assert!(most <= Some(24_usize.div_ceil(9) + 1), "{most:?} shards");
    let owners = table.owners().filter(|(shard, _)| busy.contains(shard));
    let owners: IndexSet<&NodeName> = owners.map(|(_, owner)| owner).collect();
    assert_eq!(owners.len(), busy.len());
}

#[test]
fn the_first_assignment_waits_until_the_nodes_have_joined() {
    let now = Instant::now();
    let mut table = ShardTable::new(AssignSettings::default());
    for joined in 1..=9 {
        let at = now + Duration::from_millis(200) * joined;
        table.update(names(0..joined), at);
        assert_eq!(table.propose(at), None);
    }
    let at = settled(now + Duration::from_millis(200) * 9);
    assert!(follow(&mut table, at) == 0 && table.owners().count() == 24);
}

#[test]
fn an_assignment_of_another_number_of_shards_counts_as_none() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    assert!(table.adopt(vec![names([0])[0].clone(); 7], now));
    assert_eq!(table.owners().count(), 0);
    assert!(table.propose(settled(now)).is_some());
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
        let table = table_with_busy(names(first..first + 8), &busy, Instant::now());
        let owners: IndexSet<NodeName> = table
            .owners()
            .filter(|(shard, _)| busy.contains(shard))
            .map(|(_, owner)| owner.clone())
            .collect();
        assert_eq!(owners.len(), busy.len());
        assert_eq!(table.owners().count(), 24);
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
        follow(&mut table, later);
        assert_eq!(owners(&table), before, "{back} nodes are back");
    }
}

#[test]
fn members_that_stay_away_lose_their_shards() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    table.update(names(0..2), now);
    assert!(table.has_held_members());
    assert_eq!(follow(&mut table, now), 0);
    let later = now + Duration::from_secs(2);
    table.update(names(0..2), later);
    assert!(!table.has_held_members());
    follow(&mut table, later);
    let live = names(0..2);
    assert!(table.owners().all(|(_, name)| live.contains(name)));
}

#[test]
fn a_single_lost_node_is_replaced_at_once() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    table.update(names(1..9), now);
    follow(&mut table, now);
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
    let table = table(members, Instant::now());
    let weakest = table.owners().filter(|(_, name)| name.ends_with("#12"));
    assert_eq!(weakest.count(), 0);
}
