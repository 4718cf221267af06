//! Tests of tasks that crash the workers that start them, and of crashes that no task causes.

mod support;

use std::sync::Arc;

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use support::crashes::{cluster, ids};
use support::network::OrderFate;
use support::{COMPLETED, TestCluster, long_running, millis, seconds, size, step};

const FAILED: JobAnswer = JobAnswer::Known(JobStatus::Failed);
/// Starts that the platform allows: three under which workers crash, and two more.
const MAX_STARTS: usize = 5;

fn assert_given_up(cluster: &TestCluster, job: &str, task: &str) {
    let starts = cluster.start_count(task);
    assert!(starts <= MAX_STARTS, "{task} was started {starts} times");
    assert_eq!(cluster.status(job), FAILED, "{job}");
}

/// Submits a task that crashes each worker, and checks that it is given up within `time`.
fn assert_deadly_given_up(cluster: &mut TestCluster, time: std::time::Duration) {
    cluster.submit_deadly("deadly", step(1), &[0]);
    cluster.run(time);
    assert_given_up(cluster, "deadly", "deadly.0.0.0");
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut cluster = cluster(12);
    assert_deadly_given_up(&mut cluster, seconds(20));
}

#[test]
fn a_task_that_crashes_its_workers_before_they_answer_is_given_up() {
    let mut cluster = cluster(12);
    cluster.crashes.unanswered = true;
    assert_deadly_given_up(&mut cluster, seconds(40));
}

/// Without the list of machines, a crash shows only once the worker is back.
#[test]
fn a_task_that_crashes_workers_that_come_back_under_their_ids_is_given_up() {
    for unanswered in [false, true] {
        let mut cluster = cluster(2);
        cluster.crashes.unlisted = true;
        cluster.crashes.unanswered = unanswered;
        assert_deadly_given_up(&mut cluster, seconds(60));
    }
}

/// The first start gets lost, as its worker crashes for another reason.
#[test]
fn a_start_that_may_not_have_been_executed_does_not_prove_a_crash() {
    let mut cluster = cluster(6);
    cluster.order_fate = Box::new(|command| match command {
        ShardCommand::Start(order) if order.run == 1 => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
    cluster.submit_deadly("deadly", step(1), &[0]);
    assert!(cluster.run_until(seconds(1), |cluster| !cluster.images.is_empty()));
    cluster.run(millis(50));
    let holder = cluster.placed_on("deadly.0.0.0");
    cluster.crash_workers(&[holder]);
    cluster.run(seconds(30));
    assert_given_up(&cluster, "deadly", "deadly.0.0.0");
    let starts = cluster.start_count("deadly.0.0.0");
    assert!(
        starts >= 2,
        "the job failed after {starts} crash of its own"
    );
}

#[test]
fn a_task_that_crashes_workers_for_good_is_given_up() {
    let mut cluster = cluster(8);
    cluster.crashes.return_time = None;
    assert_deadly_given_up(&mut cluster, seconds(30));
}

#[test]
fn a_crashing_task_is_given_up_although_its_owner_is_lost_after_each_crash() {
    for delay in [5, 20, 100, 400, 1000] {
        let mut cluster = cluster(12);
        cluster.submit_deadly("deadly", step(1), &[0]);
        let mut crashes = 0;
        let end = cluster.now + seconds(40);
        while cluster.now < end {
            cluster.run(millis(5));
            if cluster.crashes.history.len() > crashes {
                crashes = cluster.crashes.history.len();
                cluster.run(millis(delay));
                cluster.take_over(None);
            }
        }
        assert_given_up(&cluster, "deadly", "deadly.0.0.0");
    }
}

#[test]
fn a_crashing_task_is_given_up_by_an_owner_that_lags() {
    for (event_lag, command_lag) in [(500, 0), (1500, 0), (3000, 0), (1000, 1000)] {
        let mut cluster = cluster(12);
        let owner = cluster.owner_mut();
        owner.event_lag = millis(event_lag);
        owner.command_lag = millis(command_lag);
        cluster.submit_deadly("deadly", step(1), &[0]);
        cluster.run(seconds(60));
        let starts = cluster.start_count("deadly.0.0.0");
        assert!(
            starts <= MAX_STARTS,
            "{starts} starts with lags of {event_lag} and {command_lag} ms"
        );
        let owner = cluster.owner_mut();
        (owner.event_lag, owner.command_lag) = Default::default();
        cluster.run(seconds(30));
        assert_given_up(&cluster, "deadly", "deadly.0.0.0");
    }
}

#[test]
fn the_neighbours_of_a_crashing_task_are_done() {
    for unanswered in [false, true] {
        let mut cluster = cluster(12);
        cluster.crashes.unanswered = unanswered;
        for number in 0..4 {
            cluster.submit(&format!("before{number}"), None, vec![step(3)]);
        }
        cluster.submit_deadly("deadly", step(2), &[1]);
        for number in 0..4 {
            cluster.submit(&format!("after{number}"), None, vec![step(3)]);
        }
        cluster.run(seconds(40));
        assert_given_up(&cluster, "deadly", "deadly.0.0.1");
        for number in 0..4 {
            assert_eq!(cluster.status(&format!("before{number}")), COMPLETED);
            assert_eq!(cluster.status(&format!("after{number}")), COMPLETED);
        }
    }
}

#[test]
fn a_crashing_task_does_not_hold_up_the_work_of_its_pool() {
    let mut cluster = cluster(12);
    cluster.submit_deadly("deadly", step(1), &[0]);
    cluster.run(millis(800));
    let submitted_at = cluster.now;
    cluster.submit("work", None, vec![step(16)]);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("work") == COMPLETED));
    assert!(
        cluster.now < submitted_at + seconds(2),
        "completed after {:?}",
        cluster.now - submitted_at
    );
}

#[test]
fn several_crashing_jobs_are_given_up_and_the_others_are_done() {
    let mut cluster = cluster(16);
    for number in 0..6 {
        cluster.submit_deadly(&format!("deadly{number}"), step(4), &[0, 2]);
        cluster.submit(&format!("work{number}"), None, vec![step(4)]);
    }
    cluster.run(seconds(60));
    for number in 0..6 {
        assert_given_up(
            &cluster,
            &format!("deadly{number}"),
            &format!("deadly{number}.0.0.0"),
        );
        assert_given_up(
            &cluster,
            &format!("deadly{number}"),
            &format!("deadly{number}.0.0.2"),
        );
        assert_eq!(cluster.status(&format!("work{number}")), COMPLETED);
    }
}

/// The tasks are apart, so that each of their starts crashes another worker.
#[test]
fn a_step_that_crashes_many_workers_at_once_is_given_up() {
    let mut cluster = cluster(8);
    let spec = StepSpec {
        max_per_worker: 1,
        ..step(6)
    };
    cluster.submit_deadly("deadly", spec, &[0, 1, 2, 3, 4, 5]);
    cluster.run(seconds(40));
    for index in 0..6 {
        assert_given_up(&cluster, "deadly", &format!("deadly.0.0.{index}"));
    }
}

#[test]
fn a_crashing_member_of_a_gang_is_given_up() {
    for deadly in [vec![0], vec![1, 3], vec![0, 1, 2, 3]] {
        let mut cluster = cluster(12);
        let spec = StepSpec {
            gang: true,
            max_per_worker: 2,
            ..step(4)
        };
        cluster.submit_deadly("deadly", spec.clone(), &deadly);
        cluster.submit("gang", None, vec![spec]);
        cluster.run(seconds(60));
        for index in &deadly {
            assert_given_up(&cluster, "deadly", &format!("deadly.0.0.{index}"));
        }
        assert_eq!(cluster.status("gang"), COMPLETED);
    }
}

#[test]
fn a_crashing_long_running_task_is_given_up() {
    let mut cluster = cluster(12);
    cluster.submit_deadly("deadly", long_running(2), &[1]);
    cluster.run(seconds(20));
    assert_given_up(&cluster, "deadly", "deadly.0.0.1");
    assert_eq!(cluster.running("deadly.0.0.0"), 0);
}

#[test]
fn the_other_runs_of_a_crashing_job_are_stopped() {
    let mut cluster = cluster(12);
    cluster.run_time = seconds(30);
    cluster.submit_deadly("deadly", step(4), &[3]);
    assert!(cluster.run_until(seconds(20), |cluster| cluster.status("deadly") == FAILED));
    cluster.run(seconds(1));
    for index in 0..4 {
        assert_eq!(cluster.running(&format!("deadly.0.0.{index}")), 0);
    }
}

/// Returns the live workers that have just started a run with at least this number.
fn recent_starters(cluster: &TestCluster, run: RunNumber) -> IndexSet<WorkerId> {
    let starts = cluster.starts.values().flatten();
    let recent = starts.filter(|(id, started, at)| {
        let alive = !cluster.workers[id].crashed;
        alive && *started >= run && cluster.now < *at + millis(40)
    });
    recent.map(|(id, _, _)| id.clone()).collect()
}

/// Lets all workers that `share` a place lose power right after each of them has started tasks, and
/// then those of the place where a task that was lost has just started again.
fn lose_power_twice(share: impl Fn(&WorkerEntry, &WorkerEntry) -> bool) {
    let mut cluster = cluster(8);
    for number in 0..48 {
        cluster.submit(&format!("job{number}"), None, vec![step(2)]);
    }
    for (run, workers) in [(1, 8), (2, 1)] {
        assert!(
            cluster.run_until(seconds(10), |cluster| {
                recent_starters(cluster, run).len() >= workers
            }),
            "no run {run} started"
        );
        cluster.run(millis(10));
        let starter = &recent_starters(&cluster, run)[0];
        let starter = cluster.workers[starter].entry.clone();
        let dark = ids(&cluster, |entry| share(entry, &starter));
        assert!(dark.len() > 1, "a single worker");
        cluster.crash_workers(&dark);
    }
    cluster.run(seconds(60));
    for job in cluster.submissions.keys() {
        assert_eq!(cluster.status(job), COMPLETED, "{job}");
    }
}

#[test]
fn a_rack_that_loses_power_twice_fails_no_job() {
    lose_power_twice(|entry, other| entry.rack == other.rack);
}

#[test]
fn a_zone_that_loses_power_twice_fails_no_job() {
    lose_power_twice(|entry, other| entry.zone == other.zone);
}

/// An idle worker of the same pool crashes at the same moment each time.
#[test]
fn a_loss_of_several_workers_of_a_pool_blames_no_task() {
    let mut cluster = cluster(12);
    cluster.run_time = seconds(2);
    cluster.submit("job", None, vec![step(1)]);
    for round in 1..5 {
        assert!(cluster.run_until(seconds(10), |cluster| {
            cluster.start_count("job.0.0.0") == round && cluster.running("job.0.0.0") == 1
        }));
        cluster.run(millis(10));
        let holder = cluster.placed_on("job.0.0.0");
        let idle = cluster.workers.values().find(|worker| {
            !worker.crashed && worker.running.is_empty() && worker.entry.id != holder
        });
        let idle = idle.expect("an idle worker").entry.id.clone();
        cluster.crash_workers(&[holder, idle]);
    }
    cluster.run(seconds(10));
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// Each crash has an excuse, as an idle worker of the pool is lost at the same moment.
#[test]
fn a_task_whose_crashes_are_all_excused_is_given_up_in_the_end() {
    let mut cluster = cluster(24);
    cluster.submit_deadly("deadly", step(1), &[0]);
    let mut crashes = 0;
    let end = cluster.now + seconds(30);
    while cluster.now < end {
        cluster.run(millis(5));
        if cluster.crashes.history.len() > crashes {
            let mut idle = cluster.workers.values().rev();
            let idle = idle.find(|worker| !worker.crashed && worker.running.is_empty());
            let idle = idle.expect("an idle worker").entry.id.clone();
            cluster.crash_workers(&[idle]);
            crashes = cluster.crashes.history.len();
        }
    }
    assert_given_up(&cluster, "deadly", "deadly.0.0.0");
}

/// Idle workers that are gone are found out by the next start on them, at any time.
#[test]
fn a_worker_that_was_gone_before_the_crash_is_no_sign_of_a_common_cause() {
    let mut cluster = cluster(24);
    let gone = |id: &WorkerId| id[1..].parse::<usize>().expect("a number") >= 12;
    for (id, worker) in cluster.workers.iter_mut().filter(|(id, _)| gone(id)) {
        worker.entry.labels = vec![Arc::clone(id)];
    }
    cluster.list_workers();
    cluster.run(seconds(1));
    for (_, worker) in cluster.workers.iter_mut().filter(|(id, _)| gone(id)) {
        worker.address_reused = true;
    }
    cluster.run(seconds(5));
    let label = |spec: StepSpec, label: &str| StepSpec {
        required_label: Some(label.into()),
        ..spec
    };
    cluster.submit_deadly("deadly", label(step(1), "kind"), &[0]);
    let mut crashes = 0;
    let end = cluster.now + seconds(40);
    while cluster.now < end {
        cluster.run(millis(5));
        if cluster.crashes.history.len() > crashes {
            let gone = format!("w{}", 12 + crashes);
            cluster.submit(&format!("job{crashes}"), None, vec![label(step(1), &gone)]);
            crashes += 1;
        }
    }
    assert_given_up(&cluster, "deadly", "deadly.0.0.0");
}

/// The machine controller ends a life by plan, so nothing on the worker is to blame.
#[test]
fn the_end_of_a_worker_whose_machine_is_ordered_blames_no_task() {
    let mut cluster = cluster(6);
    cluster.run_time = seconds(2);
    cluster.submit("job", None, vec![step(1)]);
    for round in 1..5 {
        assert!(cluster.run_until(seconds(10), |cluster| {
            cluster.start_count("job.0.0.0") == round && cluster.running("job.0.0.0") == 1
        }));
        let holder = [cluster.placed_on("job.0.0.0")];
        cluster.drain(&holder, &holder);
        cluster.run(millis(10));
        cluster.crash_workers(&holder);
        let restarted = |cluster: &TestCluster| cluster.start_count("job.0.0.0") > round;
        assert!(cluster.run_until(seconds(10), restarted));
        cluster.drain(&[], &[]);
    }
    cluster.run(seconds(10));
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// The machine controller requests workers with few runs, such as one that a solo start has crashed.
#[test]
fn a_drain_requested_after_the_crash_excuses_no_task() {
    let mut cluster = cluster(12);
    cluster.submit_deadly("deadly", step(1), &[0]);
    let end = cluster.now + seconds(20);
    while cluster.now < end {
        cluster.run(millis(5));
        let crashed = cluster.crashes.history.last().cloned();
        let lost = crashed.filter(|(_, at)| cluster.now > *at + millis(150));
        let lost: Vec<WorkerId> = lost.into_iter().map(|(id, _)| id).collect();
        cluster.drain(&lost, &[]);
    }
    assert_given_up(&cluster, "deadly", "deadly.0.0.0");
}

#[test]
fn the_end_of_a_worker_that_announced_its_end_blames_no_task() {
    let mut cluster = cluster(6);
    cluster.run_time = seconds(2);
    cluster.submit("job", None, vec![step(1)]);
    for round in 1..5 {
        assert!(cluster.run_until(seconds(10), |cluster| {
            cluster.start_count("job.0.0.0") == round && cluster.running("job.0.0.0") == 1
        }));
        let holder = cluster.placed_on("job.0.0.0");
        cluster.workers[&holder].entry.phase = WorkerPhase::Draining;
        cluster.list_workers();
        cluster.run(millis(10));
        cluster.crash_workers(std::slice::from_ref(&holder));
        let restarted = |cluster: &TestCluster| cluster.start_count("job.0.0.0") > round;
        assert!(cluster.run_until(seconds(10), restarted));
        cluster.workers[&holder].entry.phase = WorkerPhase::Ready;
    }
    cluster.run(seconds(10));
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// A long-running task outlives many workers, each of which has survived its start.
#[test]
fn a_long_running_task_on_workers_that_crash_later_is_not_given_up() {
    let mut cluster = cluster(8);
    cluster.submit("lasting", None, vec![long_running(1)]);
    for _ in 0..6 {
        assert!(cluster.run_until(seconds(10), |cluster| cluster.running("lasting.0.0.0") == 1));
        // Another run that ends lets the worker answer its poll.
        cluster.submit("other", None, vec![step(1)]);
        cluster.run(seconds(5));
        let holder = cluster.placed_on("lasting.0.0.0");
        cluster.crash_workers(&[holder]);
        cluster.run(millis(100));
    }
    assert!(cluster.run_until(seconds(10), |cluster| cluster.running("lasting.0.0.0") == 1));
}

/// An unreachable worker may run on, so the lapse of its lease is no crash.
#[test]
fn a_lapsed_lease_blames_no_task() {
    let mut cluster = cluster(8);
    cluster.run_time = seconds(2);
    cluster.submit("job", None, vec![step(1)]);
    for round in 1..5 {
        assert!(cluster.run_until(seconds(15), |cluster| {
            cluster.start_count("job.0.0.0") == round && cluster.running("job.0.0.0") == 1
        }));
        let holder = cluster.placed_on("job.0.0.0");
        cluster.workers[&holder].unreachable = true;
        cluster.run(millis(100));
    }
    for worker in cluster.workers.values_mut() {
        worker.unreachable = false;
    }
    cluster.run(seconds(20));
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// Two jobs that need a whole worker each.
#[test]
fn a_crashing_task_leaves_the_rest_of_its_pool_alone() {
    let mut cluster = cluster(4);
    let spec = StepSpec {
        size: size(8000, 16_384),
        ..step(1)
    };
    cluster.submit_deadly("deadly", spec.clone(), &[0]);
    cluster.submit("work", None, vec![spec]);
    cluster.run(seconds(20));
    assert_given_up(&cluster, "deadly", "deadly.0.0.0");
    assert_eq!(cluster.status("work"), COMPLETED);
    assert!(
        cluster.crashes.history.len() <= 3,
        "{} workers crashed",
        cluster.crashes.history.len()
    );
}
