//! Owners of shards as members of the group come and go.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;

fn names(numbers: impl IntoIterator<Item = u32>) -> IndexSet<NodeName> {
    let names = numbers.into_iter();
    names
        .map(|number| format!("10.1.{number}.7:7000").into())
        .collect()
}

fn owners(table: &ShardTable) -> Vec<NodeName> {
    table.owners().map(|(_, name)| name.clone()).collect()
}

fn table(members: IndexSet<NodeName>, now: Instant) -> ShardTable {
    let mut table = ShardTable::new(AssignSettings::default());
    table.update(members, now);
    table
}

fn moved(before: &[NodeName], after: &[NodeName]) -> usize {
    before.iter().zip(after).filter(|(a, b)| a != b).count()
}

#[test]
fn every_shard_has_one_owner_and_no_node_owns_many() {
    for members in 1..40 {
        let table = table(names(0..members), Instant::now());
        assert_eq!(owners(&table).len(), 24);
        let most = 24_usize.div_ceil(members as usize) + 1;
        for name in names(0..members) {
            assert!(table.shards_of(&name).len() <= most, "{members} members");
        }
    }
}

#[test]
fn all_nodes_reckon_the_same_owners() {
    let now = Instant::now();
    let one = table(names(0..9), now);
    let other = table(names((0..9).rev()), now);
    assert_eq!(owners(&one), owners(&other));
}

/// The store deals all partitions anew, and nodes are stopped and started in turn.
#[test]
fn a_node_that_comes_or_goes_moves_few_shards() {
    let now = Instant::now();
    let mut table = table(names(0..9), now);
    for node in 0..9 {
        let before = owners(&table);
        let own = table.shards_of(&names([node])[0]).len();
        table.update(names((0..9).filter(|other| *other != node)), now);
        let without = owners(&table);
        assert!(moved(&before, &without) <= own + 3, "node {node} left");
        table.update(names(0..9), now);
        assert_eq!(owners(&table), before, "node {node} came back");
    }
}

#[test]
fn without_members_nobody_owns_anything() {
    let table = table(names([]), Instant::now());
    assert_eq!(table.owners().count(), 0);
    assert!(table.shards_of("10.1.0.7:7000").is_empty());
}

/// The store has forgotten the group in an outage; its members join again one after the other.
#[test]
fn the_first_node_back_does_not_take_everything() {
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
    assert!(table.holds_members());
    table.update(names(0..2), now + Duration::from_secs(2));
    assert!(!table.holds_members());
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
