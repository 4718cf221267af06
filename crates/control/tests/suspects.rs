//! Tests of tasks under suspicion, and of the work beside them.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::crashes::{cluster, ids};
use support::{COMPLETED, TestCluster, long_running, millis, seconds, size, step};

const FAILED: JobAnswer = JobAnswer::Known(JobStatus::Failed);

/// The workers hold the polls of their long-running tasks for seconds.
#[test]
fn a_suspected_task_is_confirmed_although_its_worker_holds_a_poll() {
    let mut cluster = cluster(6);
    cluster.run_time = seconds(2);
    cluster.submit("lasting", None, vec![long_running(6)]);
    cluster.run(seconds(3));
    cluster.submit("job", None, vec![step(1)]);
    for round in 1..6 {
        assert!(cluster.run_until(seconds(10), |cluster| {
            cluster.start_count("job.0.0.0") == round && cluster.running("job.0.0.0") == 1
        }));
        cluster.run(millis(250));
        let holder = cluster.placed_on("job.0.0.0");
        cluster.crash_workers(&[holder]);
    }
    cluster.run(seconds(10));
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// Tasks under suspicion waited for each other, and for as many machines as they need together.
#[test]
fn tasks_that_wait_for_a_solo_start_attract_no_machines() {
    let mut cluster = cluster(4);
    cluster.run_time = seconds(30);
    cluster.submit_deadly("deadly", step(8), &[7]);
    assert!(cluster.run_until(seconds(5), |cluster| !cluster.crashes.history.is_empty()));
    assert!(
        cluster.run_until(seconds(5), |cluster| cluster.start_count("deadly.0.0.0")
            == 2)
    );
    while cluster.status("deadly") != FAILED {
        cluster.run(millis(5));
        let load = cluster.controller().survey_report(cluster.now);
        let load = &load.pools[0];
        assert!(
            load.waiting.millicores <= 1000,
            "{} millicores wait",
            load.waiting.millicores
        );
        assert_eq!(load.blocked, 0);
    }
}

/// Starts that waited until a worker had survived others counted as blocked, and pulled machines.
#[test]
fn a_pool_whose_workers_crash_attracts_no_machines_that_it_has_no_work_for() {
    let mut cluster = cluster(3);
    cluster.run_time = seconds(30);
    cluster.submit_deadly("deadly", step(1), &[0]);
    assert!(cluster.run_until(seconds(5), |cluster| !cluster.crashes.history.is_empty()));
    cluster.run(millis(500));
    for number in 0..12 {
        cluster.submit(&format!("work{number}"), None, vec![step(1)]);
    }
    for _ in 0..100 {
        cluster.run(millis(5));
        let load = cluster.controller().survey_report(cluster.now);
        assert_eq!(load.pools[0].blocked, 0);
    }
}

/// The first crash of a task is no sign that the second one had another cause.
#[test]
fn a_crashing_task_in_a_pool_under_load_is_given_up_at_its_second_crash() {
    let mut cluster = cluster(4);
    cluster.submit_deadly("deadly", step(1), &[0]);
    cluster.submit("work", None, vec![step(3)]);
    let mut submitted = 0;
    let mut over = |cluster: &mut TestCluster| {
        cluster.submit(&format!("load{submitted}"), None, vec![step(1)]);
        submitted += 1;
        cluster.run(millis(25));
        cluster.status("deadly") == FAILED && cluster.status("work") == COMPLETED
    };
    let end = cluster.now + seconds(10);
    while !over(&mut cluster) {
        assert!(cluster.now < end, "the suspected tasks wait");
    }
    assert_eq!(cluster.start_count("deadly.0.0.0"), 2);
}

/// Every seventh job of a pool under load holds a task that crashes each worker. What ran beside them
/// waited for 15 s after the last of them had come, as all suspects of each crash started one by one.
#[test]
fn suspects_of_many_crashes_are_soon_back() {
    let mut cluster = cluster(8);
    for worker in cluster.workers.values_mut() {
        worker.entry.capacity = size(32_000, 65_536);
    }
    cluster.list_workers();
    cluster.run_time = millis(800);
    let mut jobs = Vec::new();
    for number in 0..120 {
        let job = format!("job{number}");
        let spec = StepSpec {
            size: size(1600, 1024),
            ..step(6)
        };
        if number % 7 == 2 {
            cluster.submit_deadly(&job, spec, &[3]);
        } else {
            cluster.submit(&job, None, vec![spec]);
            jobs.push(job);
        }
        cluster.run(millis(100));
    }
    cluster.run(seconds(9));
    let open = jobs.iter().filter(|job| cluster.status(job) != COMPLETED);
    let open: Vec<&String> = open.collect();
    assert!(open.is_empty(), "{open:?} are not done");
}

/// The former life was asked ever more rarely, and a survey that showed the machine as up again led to
/// no placement.
#[test]
fn a_worker_that_is_back_after_a_crash_gets_work_at_once() {
    let mut cluster = cluster(1);
    cluster.crashes.return_time = Some(millis(4300));
    cluster.run_time = seconds(30);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.run(millis(500));
    let ids = ids(&cluster, |_| true);
    cluster.crash_workers(&ids);
    assert!(cluster.run_until(seconds(6), |cluster| !cluster.workers[0].crashed));
    let back = |cluster: &TestCluster| cluster.running("job.0.0.0") == 1;
    assert!(
        cluster.run_until(millis(300), back),
        "the worker is back and gets nothing to do"
    );
}
