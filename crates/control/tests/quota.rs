//! Tests of the division of an account's maximum among shards.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

fn key(shard: ShardNumber) -> AllocationKey {
    ("ane".into(), shard)
}

/// Shards of one account, each with its own owner, that change their allocations in turn.
struct Shards {
    table: QuotaTable,
    maximum: ResourceSize,
    now: Instant,
}

impl Shards {
    fn new(maximum: u32) -> Self {
        Self {
            table: QuotaTable::default(),
            maximum: cores(maximum),
            now: Instant::now(),
        }
    }

    fn rules(&self) -> IndexMap<AccountId, AccountRule> {
        let rule = AccountRule {
            weight: 1,
            maximum: self.maximum,
        };
        IndexMap::from([(AccountId::from("ane"), rule)])
    }

    /// Updates the allocation of a shard for its demand and returns it in cores.
    fn update(&mut self, shard: ShardNumber, used: u32, waiting: u32) -> u32 {
        let demand = AccountDemand {
            used: cores(used),
            waiting: cores(waiting),
        };
        let demands = IndexMap::from([(key(shard), demand)]);
        let rules = self.rules();
        let shards = IndexMap::from([(shard, 1)]);
        let proposals = self.table.propose(&rules, &shards, &demands, self.now);
        for (key, size) in proposals {
            self.table.apply(key, QuotaAllocation { epoch: 1, size });
        }
        self.table.allocation(&key(shard)).millicores / 1000
    }

    fn total(&self) -> u32 {
        self.table.total("ane").millicores / 1000
    }
}

#[test]
fn a_shard_gets_its_demand_and_a_margin() {
    let mut shards = Shards::new(100);
    let allocation = shards.update(0, 0, 20);
    assert!((20..=40).contains(&allocation), "{allocation}");
    assert_eq!(
        shards.update(0, 20, 0),
        allocation,
        "the allocation changed with each job"
    );
}

#[test]
fn the_allocations_never_exceed_the_maximum() {
    let mut shards = Shards::new(100);
    for round in 0..50u32 {
        for shard in 0..5 {
            let used = shards.table.allocation(&key(shard)).millicores / 1000 / 2;
            shards.update(shard, used, 17 * ((round + shard) % 7));
            shards.now += Duration::from_millis(100);
            assert!(shards.total() <= 100, "{} of 100", shards.total());
        }
    }
}

#[test]
fn an_unused_allocation_goes_to_another_shard() {
    let mut shards = Shards::new(100);
    let first = shards.update(0, 0, 90);
    assert!(first >= 90);
    let second = shards.update(1, 0, 80);
    assert!(second <= 10);
    shards.update(0, 0, 0);
    shards.now += Duration::from_secs(1);
    assert!(shards.update(0, 0, 0) <= 10);
    assert!(shards.update(1, second, 80 - second) >= 80);
}

#[test]
fn the_allowance_is_zero_while_the_allocations_exceed_a_lowered_maximum() {
    let mut shards = Shards::new(100);
    shards.update(0, 0, 50);
    shards.update(1, 0, 30);
    shards.maximum = cores(40);
    let maximum = shards.maximum;
    assert_eq!(shards.table.allowance(&key(0), &maximum), cores(0));
    // Runs end, and the allocations shrink with the remaining usage.
    shards.update(0, 30, 10);
    assert_eq!(
        shards.table.allowance(&key(1), &maximum),
        cores(0),
        "the other shard still uses too much"
    );
    shards.update(1, 5, 10);
    shards.update(0, 20, 10);
    assert!(shards.total() <= 40);
    assert!(shards.table.allowance(&key(0), &maximum).millicores >= 20_000);
}

#[test]
fn an_allocation_written_by_an_earlier_owner_is_ignored() {
    let mut table = QuotaTable::default();
    let allocation = |epoch, size| QuotaAllocation {
        epoch,
        size: cores(size),
    };
    table.apply(key(0), allocation(5, 30));
    table.apply(key(0), allocation(4, 1));
    assert_eq!(table.allocation(&key(0)), cores(30));
    table.apply(key(0), allocation(6, 10));
    assert_eq!(table.allocation(&key(0)), cores(10));
}

#[test]
fn a_dimension_without_a_maximum_is_not_bounded() {
    let mut budget = AccountBudget::default();
    let maximum = cores(10);
    budget.set_allocation("ane".into(), cores(10));
    let large = ResourceSize {
        memory_mib: 1_000_000,
        ..cores(4)
    };
    assert!(budget.allows("ane", &large, &maximum));
    budget.reserve(&"ane".into(), &large);
    budget.reserve(&"ane".into(), &large);
    assert!(!budget.allows("ane", &large, &maximum));
    budget.release("ane", &large);
    assert!(budget.allows("ane", &large, &maximum));
}

/// Runs start within the former allocation after the demand was reported.
#[test]
fn an_allocation_does_not_shrink_below_the_runs_at_the_time_of_its_confirmation() {
    let mut reductions = AllocationReductions::default();
    let size = cores(5);
    reductions.plan(key(0), QuotaAllocation { epoch: 1, size });
    assert_eq!(reductions.limit(&key(0), cores(60)), cores(5));
    assert_eq!(reductions.request().len(), 1);
    assert_eq!(reductions.confirmed().count(), 0);
    reductions.confirm(&key(0), 1, &cores(40), &cores(60));
    let confirmed: Vec<u32> = reductions
        .confirmed()
        .map(|(_, allocation)| allocation.size.millicores / 1000)
        .collect();
    assert_eq!(confirmed, [40]);
}

/// One of a node's shards gives up a part that another one requests in the same update.
#[test]
fn an_allocation_does_not_grow_into_one_that_has_not_shrunk_yet() {
    let mut shards = Shards::new(100);
    shards.update(0, 0, 60);
    let held = shards.table.allocation(&key(0)).millicores;
    let demand = |waiting| AccountDemand {
        waiting: cores(waiting),
        ..Default::default()
    };
    let demands = IndexMap::from([(key(0), demand(5)), (key(1), demand(80))]);
    let rules = shards.rules();
    let owned = IndexMap::from([(0, 1), (1, 1)]);
    shards.table.propose(&rules, &owned, &demands, shards.now);
    shards.now += Duration::from_secs(1);
    let proposals = shards.table.propose(&rules, &owned, &demands, shards.now);
    let grown = proposals.iter().find(|(name, _)| *name == key(1));
    let grown = grown.map_or(0, |(_, size)| size.millicores);
    assert!(proposals.iter().any(|(name, _)| *name == key(0)));
    assert!(held + grown <= 100_000, "{held} and {grown} of 100000");
}

/// An account whose tasks wait while another shard holds its maximum was not visible in the logs.
#[test]
fn a_shortage_is_reported_with_the_shards_that_hold_the_maximum() {
    let mut shards = Shards::new(100);
    shards.update(0, 0, 90);
    let demand = AccountDemand {
        waiting: cores(80),
        ..Default::default()
    };
    let demands = IndexMap::from([(key(1), demand)]);
    let rules = shards.rules();
    let mut shortages = QuotaShortages::default();
    let start = shards.now;
    let mut review = |ms| {
        let now = start + Duration::from_millis(ms);
        shortages.review(&shards.table, &rules, &demands, now)
    };
    assert!(review(0).is_empty() && review(900).is_empty());
    let reports = review(1000);
    assert_eq!((&reports[0].key, reports[0].wanted), (&key(1), cores(80)));
    assert!(reports[0].holders.iter().any(|(shard, _)| *shard == 0));
    assert!(review(5900).is_empty() && !review(6000).is_empty());
}
