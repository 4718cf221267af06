//! Run ends that an answer of a worker does not list.

mod support;

use pw_control::prelude::*;

use self::support::*;

/// Number of tasks, several times the number of ends that a worker lists at a time.
const TASKS: u32 = 40;

/// Creates a cluster with one worker that runs `TASKS` tasks and lists ten ends at a time.
fn busy_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = seconds(3);
    cluster.workers[0].listed_ends = 10;
    let mut spec = step(TASKS);
    spec.size = size(100, 100);
    cluster.submit("job", None, vec![spec]);
    let all_run = |cluster: &TestCluster| cluster.workers[0].running.len() == TASKS as usize;
    assert!(cluster.run_until(seconds(2), all_run));
    cluster
}

/// Lets the job complete and checks that each task started once.
fn assert_each_task_runs_once(mut cluster: TestCluster) {
    assert!(cluster.run_until(seconds(10), |cluster| cluster.status("job") == COMPLETED));
    for index in 0..TASKS {
        let task = format!("job.0.0.{index}");
        assert_eq!(cluster.start_count(&task), 1, "{task}");
    }
}

/// Guards against tasks that a new owner repeats since a worker does not list all ends at a time.
#[test]
fn a_new_owner_does_not_repeat_tasks_whose_ends_are_not_listed_yet() {
    let mut cluster = busy_cluster();
    cluster.owner_mut().frozen = true;
    cluster.run(millis(3500));
    assert!(cluster.workers[0].running.is_empty());
    cluster.take_over(None);
    assert_each_task_runs_once(cluster);
}

/// Guards against the same in an owner that was paused while the tasks ended.
#[test]
fn a_paused_owner_does_not_repeat_tasks_whose_ends_are_not_listed_yet() {
    let mut cluster = busy_cluster();
    cluster.owner_mut().frozen = true;
    cluster.run(millis(3500));
    assert!(cluster.workers[0].running.is_empty());
    cluster.owner_mut().frozen = false;
    assert_each_task_runs_once(cluster);
}

/// Guards against a stop that counts as effective since the end of its run, which was done before, is
/// not listed yet.
#[test]
fn a_stopped_run_whose_end_is_not_listed_yet_counts_as_done() {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = millis(20);
    cluster.workers[0].listed_ends = 2;
    // Starts without an answer are repeated, and then stopped.
    cluster.workers[0].drops_start_answers = true;
    let mut spec = step(TASKS);
    spec.size = size(100, 100);
    cluster.submit("job", None, vec![spec]);
    assert_each_task_runs_once(cluster);
}

/// Guards against a task that is repeated since the row with its end can't be decoded.
#[test]
fn a_run_whose_end_is_malformed_is_not_repeated() {
    let mut cluster = busy_cluster();
    cluster.workers[0].malformed_ends = true;
    cluster.run(seconds(6));
    assert!(cluster.workers[0].running.is_empty());
    cluster.workers[0].malformed_ends = false;
    assert_each_task_runs_once(cluster);
}

/// The type of an answer says whether it proves that a run is gone.
#[test]
fn only_complete_lists_prove_that_a_run_is_gone() {
    let task = "job.0.0.0".parse().expect("valid task name");
    let complete = PollReport::default();
    assert!(complete.listed_runs().is_gone(&task, 1));
    let malformed = || Some("malformed".to_owned());
    let incomplete = [
        PollReport {
            malformed_run: malformed(),
            ..Default::default()
        },
        PollReport {
            malformed_end: malformed(),
            ..Default::default()
        },
        PollReport {
            more_ends: true,
            ..Default::default()
        },
    ];
    for report in incomplete {
        assert!(!report.listed_runs().is_gone(&task, 1), "{report:?}");
    }
}
