//! Tests of a shard's controller with fake workers and a fake store.

mod support;

use std::cell::RefCell;
use std::rc::Rc;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::network::OrderFate;
use support::{COMPLETED, TestCluster, long_running, millis, seconds, size, step};

#[test]
fn steps_run_in_order_and_each_task_once() {
    let mut cluster = TestCluster::new(4);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(3)
    };
    cluster.submit("job", Some("ane"), vec![step(6), second]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.starts.len(), 9);
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
    let last_first = (0..6).map(|i| cluster.starts[i].as_slice()[0].2).max();
    let first_second = (6..9).map(|i| cluster.starts[i].as_slice()[0].2).min();
    assert!(last_first.map(|at| at + cluster.run_time) <= first_second);
    cluster.run(millis(500));
    assert_eq!(cluster.done.len(), 9, "not all run ends were acknowledged");
}

#[test]
fn a_duplicate_submission_creates_no_second_job() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("job", Some("ane"), vec![step(2)]);
    cluster.submit("job", Some("ane"), vec![step(2)]);
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
    cluster.submit("job", Some("ane"), vec![step(2)]);
    cluster.run(seconds(2));
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
}

/// Placement passes are rate-limited: with hundreds of run ends a second, each end would otherwise
/// cost a pass over all waiting jobs.
#[test]
fn placement_passes_are_rate_limited_without_further_delay() {
    let mut cluster = TestCluster::new(2);
    cluster.run(millis(100));
    cluster.submit("first", None, vec![step(1)]);
    cluster.submit("second", None, vec![step(1)]);
    let shard = cluster.controller();
    let load = shard.survey_report(cluster.now).pools.remove(0);
    assert_eq!(
        load.used,
        size(1000, 1024),
        "the second job was placed without waiting for the next pass"
    );
    assert!(shard.next_deadline() <= cluster.now + cluster.settings.placement_interval);
    assert!(cluster.run_until(millis(100), |cluster| {
        cluster.start_count("second.0.0.0") == 1
    }));
}

#[test]
fn nothing_starts_and_no_run_end_is_acknowledged_while_the_store_is_down() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("first", Some("ane"), vec![step(2)]);
    cluster.run(millis(200));
    assert_eq!(cluster.start_count("first.0.0.0"), 1);
    cluster.store_up = false;
    cluster.submit("second", Some("ane"), vec![step(2)]);
    cluster.run(seconds(4));
    assert_eq!(cluster.start_count("second.0.0.0"), 0);
    assert!(
        cluster.done.is_empty(),
        "a run end was acknowledged before it was stored"
    );
    assert_ne!(
        cluster.status("first"),
        COMPLETED,
        "the status was published before it was stored"
    );
    cluster.store_up = true;
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("second") == COMPLETED));
    assert_eq!(cluster.status("first"), COMPLETED);
    assert_eq!(cluster.start_count("first.0.0.0"), 1);
}

#[test]
fn an_unanswered_start_is_not_retried_on_another_worker() {
    let mut cluster = TestCluster::new(2);
    for worker in cluster.workers.values_mut() {
        worker.drops_start_answers = true;
    }
    cluster.submit("job", Some("ane"), vec![step(4)]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(60);
    cluster.submit("job", Some("ane"), vec![step(4)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.3") == 1));
    cluster.cancel("job");
    assert_eq!(
        cluster.status("job"),
        JobAnswer::Known(JobStatus::Cancelled)
    );
    let all_stopped =
        |cluster: &TestCluster| (0..4).all(|i| cluster.running(&format!("job.0.0.{i}")) == 0);
    assert!(cluster.run_until(seconds(1), all_stopped));
    cluster.take_over(None);
    cluster.run(seconds(2));
    assert_eq!(
        cluster.status("job"),
        JobAnswer::Known(JobStatus::Cancelled)
    );
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
}

#[test]
fn a_task_that_keeps_failing_fails_its_job_after_the_configured_attempts() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = millis(100);
    for worker in cluster.workers.values_mut() {
        worker.runs_fail = true;
    }
    cluster.submit("job", Some("ane"), vec![step(1)]);
    let failed = JobAnswer::Known(JobStatus::Failed);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == failed));
    cluster.run(seconds(2));
    assert_eq!(cluster.start_count("job.0.0.0"), 3);
}

#[test]
fn attempts_are_counted_across_owners() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = millis(100);
    for worker in cluster.workers.values_mut() {
        worker.runs_fail = true;
    }
    cluster.submit("job", Some("ane"), vec![step(1)]);
    let failed = JobAnswer::Known(JobStatus::Failed);
    for _ in 0..40 {
        cluster.run(millis(170));
        cluster.take_over(None);
    }
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == failed));
    assert_eq!(cluster.start_count("job.0.0.0"), 3);
}

#[test]
fn nothing_starts_on_a_draining_worker_or_in_an_evacuated_zone() {
    let mut cluster = TestCluster::new(2);
    cluster.run(millis(100));
    cluster.workers[0].entry.phase = WorkerPhase::Draining;
    cluster.list_workers();
    cluster.submit("job", Some("ane"), vec![step(4)]);
    cluster.run(millis(300));
    assert!(cluster.workers[0].running.is_empty());
    assert_eq!(cluster.workers[1].running.len(), 4);
    cluster.set_config(|config| {
        config.evacuated.insert("zone".into());
    });
    cluster.submit("later", Some("ane"), vec![step(4)]);
    cluster.run(seconds(2));
    assert_eq!(cluster.start_count("later.0.0.0"), 0);
    cluster.set_config(|config| config.evacuated.clear());
    assert!(cluster.run_until(seconds(2), |cluster| cluster.status("later") == COMPLETED));
}

#[test]
fn an_account_stays_within_its_allocation() {
    let mut cluster = TestCluster::new(4);
    cluster.run_time = seconds(1);
    cluster.set_config(|config| config.accounts["ane"].maximum = size(9000, 0));
    let shard = &mut cluster.owner_mut().controller;
    shard.set_allocation("ane".into(), size(3000, 0));
    cluster.submit("job", Some("ane"), vec![step(6)]);
    let max_running = std::cell::Cell::new(0);
    let done = cluster.run_until(seconds(5), |cluster| {
        let running: usize = cluster
            .workers
            .values()
            .map(|worker| worker.running.len())
            .sum();
        max_running.set(max_running.get().max(running));
        cluster.status("job") == COMPLETED
    });
    assert!(done);
    assert_eq!(max_running.get(), 3);
}

#[test]
fn best_effort_tasks_slow_down_beside_a_task_over_its_target_latency() {
    let mut cluster = TestCluster::new(1);
    let serving = StepSpec {
        target_latency: Some(millis(100)),
        ..long_running(1)
    };
    let filling = StepSpec {
        best_effort: true,
        ..long_running(1)
    };
    cluster.workers[0].tail_ms = 250;
    cluster.submit("serving", None, vec![serving]);
    cluster.submit("filling", None, vec![filling]);
    let name: TaskName = "filling.0.0.0".parse().expect("valid task name");
    let stopped = |cluster: &TestCluster| cluster.workers[0].paces.get(&name) == Some(&0);
    assert!(cluster.run_until(seconds(4), stopped));
    cluster.workers[0].tail_ms = 20;
    let full_speed = |cluster: &TestCluster| cluster.workers[0].paces.get(&name) == Some(&100);
    assert!(cluster.run_until(seconds(20), full_speed));
}

#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut cluster = TestCluster::new(2);
    let gang = StepSpec {
        gang: true,
        size: size(5000, 1024),
        ..step(3)
    };
    cluster.submit("job", Some("ane"), vec![gang]);
    cluster.run(seconds(1));
    assert_eq!(
        cluster.starts.len(),
        0,
        "only a part of the gang was started"
    );
    cluster.add_worker("w2", "m2");
    cluster.list_workers();
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
    let runs: Vec<u32> = cluster.starts.values().map(|starts| starts[0].1).collect();
    assert_eq!(runs.len(), 3);
    assert!(
        runs.iter().all(|run| *run == runs[0]),
        "the tasks of a gang have different run numbers"
    );
}

/// Guards against members of a gang that start from different checkpoints (review/13).
#[test]
fn the_members_of_a_gang_resume_from_one_checkpoint() {
    let mut cluster = TestCluster::new(3);
    cluster.run_time = seconds(10);
    for worker in cluster.workers.values_mut() {
        worker.saves_checkpoints = true;
    }
    let starts = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::clone(&starts);
    cluster.order_fate = Box::new(move |command| {
        if let ShardCommand::Start(order) = command {
            let start = (order.run, order.checkpoint.clone());
            seen.borrow_mut().push(start);
        }
        OrderFate::Delivered
    });
    let gang = StepSpec {
        gang: true,
        size: size(5000, 1024),
        ..step(3)
    };
    cluster.submit("job", Some("ane"), vec![gang]);
    cluster.run(seconds(4));
    let worker = cluster.workers[0].entry.id.clone();
    cluster.restart_worker(&worker);
    cluster.list_workers();
    assert!(cluster.run_until(seconds(30), |cluster| cluster.status("job") == COMPLETED));
    let starts = starts.borrow();
    let second: Vec<_> = starts.iter().filter(|(run, _)| *run == 2).collect();
    assert!(second.len() == 3 && second[0].1.is_some(), "{starts:?}");
    assert!(second.iter().all(|start| *start == second[0]), "{starts:?}");
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut cluster = TestCluster::new(2);
    cluster.run(millis(50));
    let first_due = cluster.wall + seconds(2);
    let spec = JobSpec {
        steps: vec![step(1)],
        occurrences: 3,
        first_due: Some(first_due),
        period: seconds(1),
        ..Default::default()
    };
    let begin = cluster.now;
    cluster.submit_spec("job", Some("ane"), spec);
    assert!(cluster.run_until(seconds(8), |cluster| cluster.status("job") == COMPLETED));
    for occurrence in 0..3 {
        let name: TaskName = format!("job.{occurrence}.0.0")
            .parse()
            .expect("valid task name");
        let started = cluster.starts[&name][0].2;
        let due = begin + seconds(2 + occurrence);
        assert!(started >= due && started <= due + millis(700));
    }
}

/// A node takes a shard over before it has read the configuration, and receives run ends.
#[test]
fn an_owner_without_a_configuration_fails_no_job() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = millis(100);
    for worker in cluster.workers.values_mut() {
        worker.runs_fail = true;
    }
    cluster.submit("job", Some("ane"), vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    let config = std::mem::take(&mut cluster.config);
    cluster.take_over(None);
    cluster.run(millis(120));
    for worker in cluster.workers.values_mut() {
        worker.runs_fail = false;
    }
    cluster.run(seconds(1));
    cluster.set_config(|current| *current = config);
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
}

#[test]
fn a_successful_run_does_not_fail_a_job_with_earlier_failures() {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = millis(100);
    cluster.workers[0].runs_fail = true;
    cluster.submit("job", Some("ane"), vec![step(1)]);
    cluster.run_until(seconds(1), |cluster| cluster.start_count("job.0.0.0") == 2);
    cluster.workers[0].runs_fail = false;
    cluster.set_config(|config| config.queues["queue"].attempts = 1);
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
}

#[test]
fn a_step_that_needs_a_ticket_runs_only_on_workers_with_one() {
    let mut cluster = TestCluster::new(4);
    cluster.run(millis(100));
    cluster.eligible_workers = vec!["w2".into()];
    cluster.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(1),
            validity: seconds(3),
        });
    });
    cluster.submit("job", Some("ane"), vec![step(6)]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
    let mut starts = cluster.starts.values().flatten();
    assert!(starts.all(|(worker, _, _)| &**worker == "w2"));
    assert!(cluster.tickets.iter().all(Option::is_some));
    assert_eq!(
        cluster.advice_requests.len(),
        1,
        "advice on the same workers was requested again"
    );
}

#[test]
fn an_expired_ticket_is_requested_again() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(4);
    cluster.eligible_workers = vec!["w0".into(), "w1".into()];
    cluster.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(1),
            validity: seconds(3),
        });
    });
    cluster.submit("job", Some("ane"), vec![step(20)]);
    assert!(cluster.run_until(seconds(12), |cluster| cluster.status("job") == COMPLETED));
    assert!(cluster.advice_requests.len() >= 2);
}

/// A node that is cut off from the store goes on as the owner of its shard, while another node owns
/// it and takes new jobs.
#[test]
fn an_owner_that_is_cut_off_does_not_report_a_job_as_unknown() {
    let mut cluster = TestCluster::new(1);
    cluster.run(seconds(1));
    assert_eq!(cluster.status("job"), JobAnswer::Unknown);
    cluster.known_inputs.clear();
    cluster.run(cluster.settings.max_submission_age);
    assert_eq!(cluster.status("job"), JobAnswer::Uncertain);
}

/// The quota duty lags after the configuration lowered the maximum.
#[test]
fn a_lowered_maximum_holds_before_the_allocation_follows() {
    let mut cluster = TestCluster::new(4);
    cluster.run_time = seconds(10);
    cluster.set_config(|config| config.accounts["ane"].maximum = size(9000, 0));
    let shard = &mut cluster.owner_mut().controller;
    shard.set_allocation("ane".into(), size(9000, 0));
    cluster.run(seconds(1));
    cluster.set_config(|config| config.accounts["ane"].maximum = size(3000, 0));
    cluster.run(seconds(4));
    cluster.submit("job", Some("ane"), vec![step(8)]);
    cluster.run(seconds(2));
    let running: usize = (0..8)
        .map(|index| cluster.running(&format!("job.0.0.{index}")))
        .sum();
    assert!(running <= 3, "{running} cores run above a maximum of 3");
}
