//! Workers that fall silent, crash, or come back, and owners that are cut off.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::{
    COMPLETED, TestCluster, long_running, long_running_cluster, millis, seconds, size, step,
};

#[test]
fn a_silent_worker_keeps_its_tasks_until_its_lease_is_over() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    let silent_since = cluster.now;
    cluster.workers[&holder].unreachable = true;
    assert!(cluster.run_until(seconds(10), |cluster| cluster.start_count("job.0.0.0") == 2));
    assert!(
        cluster.now >= silent_since + seconds(4),
        "restarted under a lease that may last"
    );
    assert!(
        cluster.now <= silent_since + seconds(9),
        "not restarted in time"
    );
}

/// A rack goes dark in a surge: its machines are listed as down long before the leases are over.
#[test]
fn a_life_that_ended_with_its_machine_is_not_waited_for() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(3));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    cluster.ended = cluster.silent_lives();
    assert_eq!(cluster.ended.len(), 1);
    assert!(cluster.run_until(millis(500), |cluster| cluster.start_count("job.0.0.0") == 2));
}

#[test]
fn a_later_life_goes_on_when_the_one_before_is_told_to_be_over() {
    let mut cluster = long_running_cluster(1);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(3));
    let ended = cluster.silent_lives();
    cluster.workers.clear();
    cluster.add_worker("w0", "m0");
    assert!(cluster.run_until(seconds(3), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.ended = ended;
    cluster.run(seconds(2));
    assert_eq!(cluster.running("job.0.0.0"), 1);
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
}

#[test]
fn an_owner_that_fell_silent_is_waited_for_longer() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].unreachable = true;
    let taken = cluster.now;
    cluster.take_over(None);
    assert!(cluster.run_until(seconds(20), |cluster| cluster.start_count("job.0.0.0") == 2));
    assert!(
        cluster.now >= taken + seconds(12),
        "the owner before may still have renewed the lease"
    );
}

/// Every node is stopped and started in turn while a worker is away for good.
#[test]
fn a_task_on_a_lost_worker_restarts_although_owners_change() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    let lost = cluster.now;
    for _ in 0..8 {
        cluster.run(seconds(2));
        cluster.hand_over();
    }
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
    assert!(
        cluster.starts[0][1].2 <= lost + seconds(9),
        "handing over began the wait anew"
    );
}

/// Until its leases are over, a worker that is gone still counts for the pool of its runs.
#[test]
fn work_on_a_worker_that_is_gone_belongs_to_its_pool() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.take_over(None);
    cluster.run(millis(200));
    let shard = cluster.controller.as_ref().expect("an owner");
    let pools = shard.survey_report(cluster.now).pools;
    let names: Vec<&str> = pools.iter().map(|load| &*load.pool).collect();
    assert_eq!(names, ["pool"]);
    assert_eq!(pools[0].used, size(1000, 1024));
}

/// The worker's machine is back with another worker before the lease of the lost one is over.
#[test]
fn another_worker_on_the_machine_ends_the_wait() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    let machine = cluster.workers[&holder]
        .entry
        .machine
        .clone()
        .expect("a machine");
    cluster.workers[&holder].crashed = true;
    cluster.run(millis(500));
    cluster.take_over(None);
    cluster.run(seconds(1));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    cluster.add_worker("again", &machine);
    cluster.list_workers();
    assert!(cluster.run_until(seconds(1), |cluster| cluster.start_count("job.0.0.0") == 2));
}

#[test]
fn a_worker_that_was_only_cut_off_does_not_run_the_task_twice() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].unreachable = true;
    for _ in 0..4 {
        cluster.run(millis(1300));
        cluster.hand_over();
    }
    cluster.run(seconds(10));
    cluster.workers[&holder].unreachable = false;
    cluster.run(seconds(3));
    assert_eq!(cluster.running("job.0.0.0"), 1);
}

/// A worker that is cut off ends one run, and loses another one with its lease.
#[test]
fn an_end_before_a_lapsed_lease_does_not_count() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", Some("ane"), vec![step(1)]);
    cluster.submit("lasting", None, vec![long_running(1)]);
    let names = ["job.0.0.0", "lasting.0.0.0"];
    assert!(cluster.run_until(seconds(1), |cluster| {
        names.iter().all(|n| cluster.running(n) == 1)
    }));
    cluster.workers[0].unreachable = true;
    cluster.run(seconds(8));
    cluster.workers[0].unreachable = false;
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    assert!(
        cluster.start_count(names[0]) >= 2,
        "an end that was not taken note of in time counted"
    );
}

/// An owner without processor time hears of an end when the lease is long over, but nothing else ran
/// there that could lapse.
#[test]
fn an_end_counts_although_the_lease_is_over_where_nothing_lapsed() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", Some("ane"), vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    let now = cluster.now;
    let worker = &mut cluster.workers[0];
    worker.end(&"job.0.0.0".parse().expect("a task's name"), RunEnd::Done);
    let mut report = worker.report(now);
    report.clock += 60_000;
    let order = PollOrder {
        worker: worker.entry.id.clone(),
        address: worker.entry.address,
        life: Some(report.life),
        epoch: 1,
        acknowledged: 0,
        lease_until: None,
        wait: millis(0),
        sent_at: now,
    };
    let result = Ok(report);
    cluster.handle_event(ShardEvent::Polled { order, result });
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
}

#[test]
fn a_worker_reborn_under_its_name_gets_lost_tasks_back() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", None, vec![long_running(2)]);
    cluster.workers[0].entry.capacity = size(8000, 16_384);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.workers.clear();
    cluster.run(millis(100));
    cluster.add_worker("w0", "m0");
    assert!(cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.0") == 1));
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
}

/// A worker is gone and another one has its address while the list still names the first.
#[test]
fn a_worker_at_another_ones_address_is_not_asked_without_pause() {
    let mut cluster = TestCluster::new(2);
    cluster.run(millis(500));
    cluster.workers[0].address_reused = true;
    cluster.submit("job", Some("ane"), vec![step(4)]);
    let before = cluster.poll_count;
    cluster.run(seconds(3));
    assert_eq!(cluster.status("job"), COMPLETED);
    assert!(
        cluster.poll_count - before < 60,
        "{} looks in 3 s",
        cluster.poll_count - before
    );
}

/// All workers of a pool refuse the orders of an owner that was cut off.
#[test]
fn refusals_for_a_later_owner_are_checked_once() {
    let mut cluster = TestCluster::new(20);
    cluster.submit("job", None, vec![long_running(20)]);
    assert!(cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.19") == 1));
    for worker in cluster.workers.values_mut() {
        worker.fence = 9;
    }
    cluster.run(seconds(3));
    assert!(
        (1..=4).contains(&cluster.ownership_checks),
        "{} checks",
        cluster.ownership_checks
    );
}
