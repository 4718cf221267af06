//! Tests of draining workers, so that their machines can be moved or maintained.

mod support;

use support::{TestCluster, disruption_cluster, long_running, millis, seconds, step};

#[test]
fn a_draining_worker_gets_no_starts_and_its_long_running_task_moves() {
    let mut cluster = TestCluster::new(3);
    cluster.submit("lasting", None, vec![long_running(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("lasting.0.0.0") == 1));
    cluster.run(seconds(2));
    let holder = cluster.starts[0][0].0.clone();
    cluster.drain(std::slice::from_ref(&holder), &[]);
    cluster.submit("job", Some("ane"), vec![step(6)]);
    cluster.run(millis(1500));
    assert!(cluster.workers[&holder].running.is_empty());
    let shard = cluster.controller();
    assert_eq!(shard.survey_report(cluster.now).drained, [holder]);
    assert_eq!(cluster.running("lasting.0.0.0"), 1);
}

#[test]
fn no_more_tasks_of_a_step_are_unavailable_than_allowed() {
    let (mut cluster, holders) = disruption_cluster(6, 3);
    let min_running = std::cell::Cell::new(3);
    for _ in 0..40 {
        cluster.drain(&holders, &[]);
        cluster.run_until(millis(500), |cluster| {
            let running = (0..3).filter(|i| cluster.running(&format!("lasting.0.0.{i}")) == 1);
            min_running.set(min_running.get().min(running.count()));
            false
        });
    }
    assert_eq!(
        min_running.get(),
        2,
        "the availability budget was exceeded, or no task moved"
    );
    assert!(
        holders
            .iter()
            .all(|holder| cluster.workers[holder].running.is_empty())
    );
}

/// A maintenance wave drains the workers of an idle pool, where no run end cuts the wait of a poll
/// short.
#[test]
fn long_running_tasks_move_one_after_the_other_without_idle_waits() {
    let (mut cluster, holders) = disruption_cluster(6, 3);
    cluster.drain(&holders, &[]);
    let all_empty = |cluster: &TestCluster| {
        let mut holders = holders.iter();
        holders.all(|holder| cluster.workers[holder].running.is_empty())
    };
    assert!(cluster.run_until(millis(2500), all_empty));
}

/// The previous owner reported a worker as drained, and a new owner takes over before the order for
/// its machine arrives.
#[test]
fn no_long_running_task_is_placed_on_a_worker_whose_machine_may_have_an_order() {
    let mut cluster = TestCluster::new(1);
    cluster.surveys_enabled = false;
    cluster.submit("lasting", None, vec![long_running(1)]);
    cluster.take_over(None);
    cluster.run(millis(1000));
    assert_eq!(cluster.start_count("lasting.0.0.0"), 0);
    cluster.drain(&[], &[]);
    assert!(cluster.run_until(millis(200), |cluster| cluster.running("lasting.0.0.0") == 1));
}

/// The machine of one task already has an order, but its worker's last report shows the task as
/// ready.
#[test]
fn a_task_on_a_machine_with_an_order_counts_as_unavailable() {
    let (mut cluster, holders) = disruption_cluster(4, 2);
    cluster.workers[&holders[1]].crashed = true;
    cluster.drain(&holders, &holders[1..]);
    cluster.run(millis(1000));
    assert_eq!(
        cluster.starts[0].len(),
        1,
        "two tasks of a step were unavailable"
    );
}

/// The previous owner has just stopped a task of the step, which its worker reports as ready until
/// the stop completes.
#[test]
fn a_new_owner_moves_no_task_until_earlier_stops_have_completed() {
    let (mut cluster, holders) = disruption_cluster(4, 2);
    cluster.hand_over();
    cluster.drain(&holders, &[]);
    cluster.run(millis(1400));
    assert!(
        cluster.starts.values().all(|starts| starts.len() == 1),
        "a task moved at once"
    );
    cluster.run(seconds(4));
    assert!(
        cluster.starts.values().all(|starts| starts.len() == 2),
        "a task did not move"
    );
}

/// An owner that is cut off from the store can't start the tasks again that it stops, and may have a
/// successor that counts on them.
#[test]
fn an_owner_that_is_cut_off_stops_no_task_to_drain_its_worker() {
    let (mut cluster, holders) = disruption_cluster(4, 2);
    cluster.known_inputs.clear();
    cluster.run(seconds(5));
    cluster.drain(&holders[..1], &[]);
    cluster.run(seconds(3));
    assert!((0..2).all(|index| cluster.running(&format!("lasting.0.0.{index}")) == 1));
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
}
