//! Workers that their runs are to leave, so that their machines can be taken.

mod support;

use support::{TestCluster, disruption_cluster, long_running, millis, seconds, step};

#[test]
fn a_vacated_worker_gets_nothing_and_its_lasting_task_moves() {
    let mut cluster = TestCluster::new(3);
    cluster.submit("lasting", None, vec![long_running(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("lasting.0.0.0") == 1));
    cluster.run(seconds(2));
    let holder = cluster.starts[0][0].0.clone();
    cluster.vacate(std::slice::from_ref(&holder), &[]);
    cluster.submit("job", Some("ane"), vec![step(6)]);
    cluster.run(millis(1500));
    assert!(cluster.workers[&holder].running.is_empty());
    let shard = cluster.controller.as_ref().expect("a controller");
    assert_eq!(shard.survey_report(cluster.now).clear, [holder]);
    assert_eq!(cluster.running("lasting.0.0.0"), 1);
}

#[test]
fn no_more_tasks_of_a_step_are_away_than_it_allows() {
    let (mut cluster, holders) = disruption_cluster(6, 3);
    let least = std::cell::Cell::new(3);
    for _ in 0..40 {
        cluster.vacate(&holders, &[]);
        cluster.run_until(millis(500), |cluster| {
            let up = (0..3).filter(|i| cluster.running(&format!("lasting.0.0.{i}")) == 1);
            least.set(least.get().min(up.count()));
            false
        });
    }
    assert_eq!(least.get(), 2, "the budget was not kept, or nothing moved");
    assert!(
        holders
            .iter()
            .all(|holder| cluster.workers[holder].running.is_empty())
    );
}

/// A node that can't read the configuration yet takes a shard over and hears of ends.
/// A wave reaches the workers of a pool in its lull, on which nothing ends that would end a look.
#[test]
fn lasting_tasks_leave_one_after_the_other_without_idle_waits() {
    let (mut cluster, holders) = disruption_cluster(6, 3);
    cluster.vacate(&holders, &[]);
    let clear = |cluster: &TestCluster| {
        let mut holders = holders.iter();
        holders.all(|holder| cluster.workers[holder].running.is_empty())
    };
    assert!(cluster.run_until(millis(2500), clear));
}

/// The owner before told the keeper that a worker is clear; the next one takes over before the order
/// for its machine arrives.
#[test]
fn nothing_that_lasts_is_placed_on_a_worker_whose_machine_may_be_on_its_way() {
    let mut cluster = TestCluster::new(1);
    cluster.surveys_enabled = false;
    cluster.submit("lasting", None, vec![long_running(1)]);
    cluster.take_over(None);
    cluster.run(millis(1000));
    assert_eq!(cluster.start_count("lasting.0.0.0"), 0);
    cluster.vacate(&[], &[]);
    assert!(cluster.run_until(millis(200), |cluster| cluster.running("lasting.0.0.0") == 1));
}

/// The machine of one task was ordered away, and its worker is still shown with the task at work.
#[test]
fn a_task_on_a_taken_machine_counts_as_away() {
    let (mut cluster, holders) = disruption_cluster(4, 2);
    cluster.workers[&holders[1]].crashed = true;
    cluster.vacate(&holders, &holders[1..]);
    cluster.run(millis(1000));
    assert_eq!(cluster.starts[0].len(), 1, "two of a step were away");
}

/// The owner before stopped a task of the step just now; the worker shows it at work until then.
#[test]
fn a_new_owner_moves_nothing_until_the_stops_before_it_are_done() {
    let (mut cluster, holders) = disruption_cluster(4, 2);
    cluster.hand_over();
    cluster.vacate(&holders, &[]);
    cluster.run(millis(1400));
    assert!(
        cluster.starts.values().all(|starts| starts.len() == 1),
        "moved at once"
    );
    cluster.run(seconds(4));
    assert!(
        cluster.starts.values().all(|starts| starts.len() == 2),
        "never moved"
    );
}
