//! Tests of leases that outlast the wait for them, or end before their owner may renew them.

mod support;

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pw_base::prelude::*;
use pw_control::prelude::*;
use support::network::OrderFate;
use support::owner::OwnerProcess;
use support::{TestCluster, long_running, long_running_cluster, millis, seconds};

const TASK: &str = "job.0.0.0";
/// Longest lease that the platform grants, in milliseconds.
const LONGEST_LEASE: u64 = 10_000;

/// Submits a long-running task whose first start is executed after `delay`, and returns its worker.
fn submit_with_late_start(delay: Duration) -> (TestCluster, WorkerId) {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Start(order) if order.run == 1 => OrderFate::Late(delay),
        _ => OrderFate::Delivered,
    });
    cluster.submit("job", None, vec![long_running(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| !cluster.images.is_empty()));
    cluster.run(millis(50));
    let holder = cluster.placed_on(TASK);
    (cluster, holder)
}

/// Loses all further orders to a worker.
fn cut_off(cluster: &mut TestCluster, id: &WorkerId) {
    let id = id.clone();
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Poll(order) if order.worker == id => OrderFate::Lost,
        ShardCommand::Start(order) if order.worker == id => OrderFate::Lost,
        ShardCommand::Stop(order) if order.worker == id => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
}

/// A worker restarts under its id and is lost for good before its next life answers the new owner.
#[test]
fn a_later_life_that_is_lost_before_it_answers_does_not_hold_up_its_tasks() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.restart_worker(&holder);
    cluster.take_over(None);
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(3));
    cluster.ended = cluster.unreachable_lives();
    assert!(
        cluster.run_until(seconds(7), |cluster| cluster.running(TASK) == 1),
        "the task waits although its worker's machine is known to be down"
    );
}

/// A worker restarts, and its next life executes a late start with the longest lease. Its owner
/// sees that in one poll and does not reach the worker afterwards.
#[test]
fn the_lease_of_a_late_start_on_a_later_life_is_awaited() {
    let (mut cluster, holder) = submit_with_late_start(millis(1000));
    let id = holder.clone();
    let is_reported = Rc::new(Cell::new(false));
    let seen = Rc::clone(&is_reported);
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Stop(order) if order.worker == id => {
            seen.set(true);
            OrderFate::Lost
        }
        ShardCommand::Start(order) if order.worker == id => OrderFate::Lost,
        ShardCommand::Poll(order) if order.worker == id && seen.get() => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
    cluster.workers[&holder].crashed = true;
    cluster.run(millis(900));
    cluster.restart_worker(&holder);
    cluster.workers[&holder].lease_limit = LONGEST_LEASE;
    cluster.run(seconds(2));
    assert!(is_reported.get(), "no poll reported the run");
    cluster.run(seconds(12));
}

/// The machine restarts right after it was listed as down, and the worker's next life, whose clock
/// starts anew, executes the late start with the longest lease.
#[test]
fn a_late_start_does_not_run_twice_after_its_machine_was_down_for_a_moment() {
    let (mut cluster, holder) = submit_with_late_start(millis(3500));
    cluster.workers[&holder].crashed = true;
    cut_off(&mut cluster, &holder);
    cluster.run(millis(3350));
    let ended = cluster.unreachable_lives();
    assert_eq!(ended.len(), 1);
    cluster.restart_worker(&holder);
    cluster.workers[&holder].lease_limit = LONGEST_LEASE;
    cluster.run(millis(200));
    assert_eq!(cluster.running(TASK), 1);
    cluster.ended = ended;
    cluster.run(millis(150));
    cluster.list_workers();
    cluster.run(seconds(12));
}

/// A node claims a shard and is suspended before it opens the shard, while another node takes it
/// over. The first node notices that half a second after it goes on, from a slow store.
#[test]
fn an_owner_that_opens_late_grants_no_lease_beyond_the_wait_of_its_successor() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.take_over(None);
    let claimed_at = cluster.now;
    cluster.owners.clear();
    cluster.claim(None, HashSet::from([holder]));
    cluster.run(seconds(3));
    let image = ShardImage {
        submissions: cluster.submissions.clone().into_iter().collect(),
        states: cluster.images.clone().into_iter().collect(),
        claimed_at: Some(claimed_at),
        ..Default::default()
    };
    let late = ShardController::open(
        (0, 2),
        image,
        Arc::new(cluster.config.clone()),
        cluster.settings.clone(),
        cluster.now,
        cluster.wall,
    );
    cluster
        .owners
        .insert(0, OwnerProcess::new(late, HashSet::new()));
    cluster.list_workers();
    cluster.run(millis(500));
    cluster.owners.remove(0);
    cluster.run(seconds(12));
}
