//! What a shard reports that its accounts need of their maxima.

mod support;

use pw_job::prelude::*;

use self::support::*;

/// Creates a cluster of two workers with 8 cores each, and an account that may use 100 cores, of which
/// the shard holds `allocation`.
fn cluster(allocation: u32) -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.set_config(|config| config.accounts["ane"].maximum = size(100_000, 0));
    let controller = &mut cluster.owner_mut().controller;
    controller.set_allocation("ane".into(), size(allocation * 1000, 0));
    cluster
}

/// Returns the cores that the account uses and waits for.
fn demand(cluster: &TestCluster) -> (u32, u32) {
    let demands = cluster.controller().account_demands(cluster.now);
    let demand = demands.get(&("ane".into(), 0)).copied();
    let demand = demand.unwrap_or_default();
    (
        demand.used.millicores / 1000,
        demand.waiting.millicores / 1000,
    )
}

#[test]
fn tasks_beyond_the_allocation_count() {
    let mut cluster = cluster(2);
    cluster.run_time = seconds(60);
    cluster.submit("job", Some("ane"), vec![step(6)]);
    cluster.run(seconds(5));
    assert_eq!(demand(&cluster), (2, 4));
}

/// Guards against a maximum that is held for tasks which no worker may start, while the account's
/// jobs in other shards wait for it.
#[test]
fn tasks_that_no_worker_may_start_do_not_count_for_long() {
    for allocation in [0, 100] {
        let mut cluster = cluster(allocation);
        let hopeless = StepSpec {
            required_label: Some("missing".into()),
            ..step(50)
        };
        cluster.submit("hopeless", Some("ane"), vec![hopeless]);
        cluster.run(millis(2500));
        assert_eq!(demand(&cluster), (0, 0), "with {allocation} cores");
    }
}

/// Guards against the same where the pool is full, or has lost its workers.
#[test]
fn tasks_that_wait_for_room_do_not_count_for_long() {
    let mut cluster = cluster(100);
    cluster.run_time = seconds(60);
    cluster.submit("job", Some("ane"), vec![step(50)]);
    cluster.run(seconds(1));
    assert_eq!(demand(&cluster), (16, 34));
    cluster.run(seconds(2));
    assert_eq!(demand(&cluster), (16, 0));
    for worker in cluster.workers.values_mut() {
        worker.crashed = true;
    }
    cluster.list_workers();
    cluster.run(seconds(15));
    assert_eq!(demand(&cluster), (0, 0));
}

/// The tasks that wait for room need their allocation again when there is some.
#[test]
fn tasks_that_get_room_count_again() {
    let mut cluster = cluster(100);
    cluster.run_time = seconds(4);
    cluster.submit("job", Some("ane"), vec![step(50)]);
    cluster.run(millis(3500));
    assert_eq!(demand(&cluster), (16, 0));
    let controller = &mut cluster.owner_mut().controller;
    controller.set_allocation("ane".into(), size(16_000, 0));
    let is_needed = |cluster: &TestCluster| demand(cluster) == (16, 18);
    assert!(cluster.run_until(seconds(2), is_needed));
}
