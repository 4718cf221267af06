//! Cost of events while many jobs wait.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::network::OrderFate;
use support::{COMPLETED, TestCluster, long_running_cluster, millis, seconds, size, step};

/// Creates a full pool with `jobs` waiting jobs, whose tasks differ in size.
fn cluster_with_backlog(jobs: usize) -> TestCluster {
    let mut cluster = TestCluster::new(4);
    for number in 0..jobs {
        let cores = 700 + (number as u32 * 617) % 1_100;
        let memory = 500 + (number as u32 * 331) % 3_000;
        let first = StepSpec {
            size: size(cores, memory),
            ..step(8)
        };
        let second = StepSpec {
            depends_on: vec![0],
            ..step(2)
        };
        cluster.submit(&format!("job-{number}"), None, vec![first, second]);
    }
    cluster.run(seconds(1));
    cluster
}

fn visits(cluster: &TestCluster) -> VisitCount {
    cluster.controller().visits()
}

/// Returns the visits of jobs within a second of a full pool with `jobs` waiting jobs.
fn job_visits_with_backlog(jobs: usize) -> u64 {
    let mut cluster = cluster_with_backlog(jobs);
    let before = visits(&cluster);
    cluster.run(seconds(1));
    visits(&cluster).jobs - before.jobs
}

/// The cost of each event grew with the backlog, so an overloaded owner fell behind ever faster.
#[test]
fn waiting_jobs_do_not_slow_events_down() {
    let few = job_visits_with_backlog(100);
    let many = job_visits_with_backlog(4_000);
    assert!(
        many <= few + few / 2,
        "{many} visits of jobs with 4,000 waiting jobs, {few} with 100"
    );
}

/// Each event looked at all runs of all workers for runs to stop.
#[test]
fn an_event_visits_no_runs_of_workers_that_have_not_changed() {
    let mut cluster = cluster_with_backlog(100);
    cluster.handle_event(ShardEvent::Tick);
    let before = visits(&cluster);
    cluster.handle_event(ShardEvent::Tick);
    assert_eq!(visits(&cluster).runs - before.runs, 0);
}

/// Each event looked at all workers, four times. At 350 of them the owner of a pool under peak load spent
/// a quarter of a node's processor time on that.
#[test]
fn an_event_visits_no_workers_that_have_not_changed() {
    let mut cluster = TestCluster::new(50);
    cluster.run(seconds(1));
    cluster.handle_event(ShardEvent::Tick);
    let before = visits(&cluster);
    cluster.handle_event(ShardEvent::Tick);
    assert_eq!(visits(&cluster).workers - before.workers, 0);
}

#[test]
fn jobs_start_in_the_order_of_their_latest_start_and_late_ones_last() {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = millis(400);
    cluster.submit("blocker", None, vec![step(8)]);
    cluster.run(millis(50));
    // All of them need most of the worker's memory, so they start one at a time.
    let jobs = [
        ("fourth", 3_000, 8_000),
        ("late", 100, 400),
        ("first", 20, 4_000),
        ("third", 2_000, 1_000),
        ("second", 1_000, 100),
    ];
    for (job, estimate_ms, millicores) in jobs {
        let spec = StepSpec {
            size: size(millicores, 9_000 + millicores / 2),
            estimate: millis(estimate_ms),
            ..step(1)
        };
        cluster.submit(job, None, vec![spec]);
    }
    cluster.run(seconds(4));
    let mut starts: Vec<_> = cluster.starts.iter().collect();
    starts.sort_by_key(|(_, starts)| starts[0].2);
    let order: Vec<&str> = starts.iter().map(|(task, _)| &*task.job).collect();
    assert_eq!(order[8..], ["first", "second", "third", "fourth", "late"]);
}

/// Load pattern: jobs of several steps arrive faster than the pool can run them. Each got its first step
/// done, turned late, and waited for its second step behind the jobs that came later.
#[test]
fn jobs_that_have_begun_end_before_others_begin_under_overload() {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = millis(400);
    cluster.run(millis(100));
    let first = StepSpec {
        estimate: millis(400),
        ..step(4)
    };
    let second = StepSpec {
        depends_on: vec![0],
        ..first.clone()
    };
    for number in 0..40 {
        let steps = vec![first.clone(), second.clone()];
        cluster.submit(&format!("job-{number}"), None, steps);
        cluster.run(millis(150));
    }
    let done = |number: &u32| cluster.status(&format!("job-{number}")) == COMPLETED;
    let done = (0..40).filter(done).count();
    // The pool runs 8 tasks at a time: one job in 500 ms at best, with the time between two runs.
    assert!(done >= 9, "{done} jobs are done after 6 s");
}

/// All tasks with room were placed at once. An owner without processor time had hundreds of starts
/// in its rings, handled them in that order for a second, and no job met its objective.
#[test]
fn starts_beyond_the_limit_wait_in_the_backlog() {
    let mut cluster = TestCluster::new(100);
    cluster.append_answer_time = seconds(2);
    let limit = cluster.settings.max_unanswered_starts;
    cluster.run(millis(100));
    cluster.submit("job", None, vec![step(400)]);
    cluster.run(seconds(1));
    let is_placed = |cluster: &TestCluster, index: u32| {
        let state = cluster.images.get("job");
        let task = state.and_then(|state| state.task(0, 0, index));
        task.is_some_and(|task| task.placement().is_some())
    };
    let placed = (0..400).filter(|index| is_placed(&cluster, *index)).count();
    assert!(placed > 0 && placed <= limit, "{placed} tasks are placed");
    cluster.append_answer_time = millis(5);
    cluster.run(seconds(20));
    assert_eq!(cluster.done.len(), 400);
}

/// Starts on workers that have just been cut off are unanswered until their timeout.
#[test]
fn starts_on_unreachable_workers_do_not_hold_up_the_others() {
    let mut cluster = TestCluster::new(40);
    cluster.settings.max_unanswered_starts = 16;
    cluster.take_over(None);
    cluster.run(millis(100));
    let is_dark = |id: &str| id[1..].parse::<usize>().is_ok_and(|number| number < 2);
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Start(order) if is_dark(&order.worker) => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
    for number in 0..60 {
        cluster.submit(&format!("job-{number}"), None, vec![step(4)]);
    }
    cluster.run(millis(450));
    let started = cluster.starts.len();
    assert!(started >= 16, "{started} tasks started");
}

/// A long-running task is lost while more work waits than the pool can run.
#[test]
fn a_long_running_task_does_not_wait_behind_a_backlog() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    cluster.run(seconds(30));
    let urgent = StepSpec {
        estimate: seconds(60),
        ..step(8)
    };
    for number in 0..100 {
        cluster.submit(&format!("job-{number}"), None, vec![urgent.clone()]);
    }
    cluster.run(seconds(1));
    cluster.workers[&holder].crashed = true;
    assert!(cluster.run_until(seconds(3), |cluster| {
        !cluster.unreachable_lives().is_empty()
    }));
    cluster.ended = cluster.unreachable_lives();
    assert!(
        cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.0") == 1),
        "the task waits behind work that came later"
    );
}
