//! A shard's controller against fake workers and a fake store.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::{COMPLETED, World, lasting, millis, seconds, size, step};

#[test]
fn steps_run_in_order_and_each_task_once() {
    let mut world = World::new(4);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(3)
    };
    world.submit("job", Some("ane"), vec![step(6), second]);
    assert!(world.run_until(seconds(4), |world| world.status("job") == COMPLETED));
    assert_eq!(world.starts.len(), 9);
    assert!(world.starts.values().all(|starts| starts.len() == 1));
    let last_first = (0..6).map(|i| world.starts[i].as_slice()[0].2).max();
    let first_second = (6..9).map(|i| world.starts[i].as_slice()[0].2).min();
    assert!(last_first.map(|at| at + world.run_time) <= first_second);
    world.run(millis(500));
    assert_eq!(world.done.len(), 9, "all ends were taken note of");
}

#[test]
fn a_submission_that_comes_twice_is_one_job() {
    let mut world = World::new(2);
    world.submit("job", Some("ane"), vec![step(2)]);
    world.submit("job", Some("ane"), vec![step(2)]);
    assert!(world.run_until(seconds(3), |world| world.status("job") == COMPLETED));
    world.submit("job", Some("ane"), vec![step(2)]);
    world.run(seconds(2));
    assert!(world.starts.values().all(|starts| starts.len() == 1));
}

/// In a surge of hundreds of ends a second, each would else cost a pass over all waiting jobs.
#[test]
fn what_comes_just_after_a_pass_waits_for_the_next_one_and_no_longer() {
    let mut world = World::new(2);
    world.run(millis(100));
    world.submit("first", None, vec![step(1)]);
    world.submit("second", None, vec![step(1)]);
    let shard = world.controller.as_ref().expect("an owner");
    let load = shard.survey_report(world.now).pools.remove(0);
    assert_eq!(load.used, size(1000, 1024), "each job took a pass");
    assert!(shard.next_deadline() <= world.now + world.settings.place_gap);
    assert!(world.run_until(millis(100), |world| {
        world.start_count("second.0.0.0") == 1
    }));
}

#[test]
fn nothing_starts_and_no_end_is_forgotten_while_the_store_is_away() {
    let mut world = World::new(2);
    world.submit("first", Some("ane"), vec![step(2)]);
    world.run(millis(200));
    assert_eq!(world.start_count("first.0.0.0"), 1);
    world.store_up = false;
    world.submit("second", Some("ane"), vec![step(2)]);
    world.run(seconds(4));
    assert_eq!(world.start_count("second.0.0.0"), 0);
    assert!(
        world.done.is_empty(),
        "an end was forgotten before it was stored"
    );
    assert_ne!(
        world.status("first"),
        COMPLETED,
        "shown before it was stored"
    );
    world.store_up = true;
    assert!(world.run_until(seconds(3), |world| world.status("second") == COMPLETED));
    assert_eq!(world.status("first"), COMPLETED);
    assert_eq!(world.start_count("first.0.0.0"), 1);
}

#[test]
fn a_start_without_an_answer_is_not_started_elsewhere() {
    let mut world = World::new(2);
    for worker in world.workers.values_mut() {
        worker.mute_starts = true;
    }
    world.submit("job", Some("ane"), vec![step(4)]);
    assert!(world.run_until(seconds(4), |world| world.status("job") == COMPLETED));
    assert!(world.starts.values().all(|starts| starts.len() == 1));
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut world = World::new(2);
    world.run_time = seconds(60);
    world.submit("job", Some("ane"), vec![step(4)]);
    assert!(world.run_until(seconds(1), |world| world.running("job.0.0.3") == 1));
    world.cancel("job");
    assert_eq!(world.status("job"), JobAnswer::Known(JobStatus::Cancelled));
    let gone = |world: &World| (0..4).all(|i| world.running(&format!("job.0.0.{i}")) == 0);
    assert!(world.run_until(seconds(1), gone));
    world.take_over(None);
    world.run(seconds(2));
    assert_eq!(world.status("job"), JobAnswer::Known(JobStatus::Cancelled));
    assert!(world.starts.values().all(|starts| starts.len() == 1));
}

#[test]
fn a_task_that_keeps_failing_fails_its_job_after_the_configured_attempts() {
    let mut world = World::new(2);
    world.run_time = millis(100);
    for worker in world.workers.values_mut() {
        worker.fails = true;
    }
    world.submit("job", Some("ane"), vec![step(1)]);
    let failed = JobAnswer::Known(JobStatus::Failed);
    assert!(world.run_until(seconds(5), |world| world.status("job") == failed));
    world.run(seconds(2));
    assert_eq!(world.start_count("job.0.0.0"), 3);
}

#[test]
fn attempts_are_counted_across_owners() {
    let mut world = World::new(2);
    world.run_time = millis(100);
    for worker in world.workers.values_mut() {
        worker.fails = true;
    }
    world.submit("job", Some("ane"), vec![step(1)]);
    let failed = JobAnswer::Known(JobStatus::Failed);
    for _ in 0..40 {
        world.run(millis(170));
        world.take_over(None);
    }
    assert!(world.run_until(seconds(5), |world| world.status("job") == failed));
    assert_eq!(world.start_count("job.0.0.0"), 3);
}

#[test]
fn nothing_starts_on_a_leaving_worker_or_in_an_evacuated_zone() {
    let mut world = World::new(2);
    world.run(millis(100));
    world.workers[0].entry.phase = WorkerPhase::Draining;
    world.list_workers();
    world.submit("job", Some("ane"), vec![step(4)]);
    world.run(millis(300));
    assert!(world.workers[0].running.is_empty());
    assert_eq!(world.workers[1].running.len(), 4);
    world.set_config(|config| {
        config.evacuated.insert("zone".into());
    });
    world.submit("later", Some("ane"), vec![step(4)]);
    world.run(seconds(2));
    assert_eq!(world.start_count("later.0.0.0"), 0);
    world.set_config(|config| config.evacuated.clear());
    assert!(world.run_until(seconds(2), |world| world.status("later") == COMPLETED));
}

#[test]
fn an_account_keeps_within_its_part() {
    let mut world = World::new(4);
    world.run_time = seconds(1);
    world.set_config(|config| config.accounts["ane"].maximum = size(9000, 0));
    if let Some(shard) = &mut world.controller {
        shard.set_allocation("ane".into(), size(3000, 0));
    }
    world.submit("job", Some("ane"), vec![step(6)]);
    let most = std::cell::Cell::new(0);
    let done = world.run_until(seconds(5), |world| {
        let running: usize = world
            .workers
            .values()
            .map(|worker| worker.running.len())
            .sum();
        most.set(most.get().max(running));
        world.status("job") == COMPLETED
    });
    assert!(done);
    assert_eq!(most.get(), 3);
}

#[test]
fn fillers_are_paced_down_beside_a_task_over_its_bound() {
    let mut world = World::new(1);
    let serving = StepSpec {
        target_latency: Some(millis(100)),
        ..lasting(1)
    };
    let filling = StepSpec {
        best_effort: true,
        ..lasting(1)
    };
    world.workers[0].tail_ms = 250;
    world.submit("serving", None, vec![serving]);
    world.submit("filling", None, vec![filling]);
    let name: TaskName = "filling.0.0.0".parse().expect("a task's name");
    let paced = |world: &World| world.workers[0].paces.get(&name) == Some(&0);
    assert!(world.run_until(seconds(4), paced));
    world.workers[0].tail_ms = 20;
    let faster = |world: &World| world.workers[0].paces.get(&name) == Some(&100);
    assert!(world.run_until(seconds(20), faster));
}

#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut world = World::new(2);
    let gang = StepSpec {
        gang: true,
        size: size(5000, 1024),
        ..step(3)
    };
    world.submit("job", Some("ane"), vec![gang]);
    world.run(seconds(1));
    assert_eq!(world.starts.len(), 0, "part of a gang was started");
    world.add_worker("w2", "m2");
    world.list_workers();
    assert!(world.run_until(seconds(3), |world| world.status("job") == COMPLETED));
    let runs: Vec<u32> = world.starts.values().map(|starts| starts[0].1).collect();
    assert_eq!(runs.len(), 3);
    assert!(
        runs.iter().all(|run| *run == runs[0]),
        "members have other runs"
    );
}

#[test]
fn occurrences_start_at_their_time() {
    let mut world = World::new(2);
    world.run(millis(50));
    let first_due = world.wall + seconds(2);
    let spec = JobSpec {
        steps: vec![step(1)],
        occurrences: 3,
        first_due: Some(first_due),
        period: seconds(1),
        ..Default::default()
    };
    let begin = world.now;
    world.submit_spec("job", Some("ane"), spec);
    assert!(world.run_until(seconds(8), |world| world.status("job") == COMPLETED));
    for occurrence in 0..3 {
        let name: TaskName = format!("job.{occurrence}.0.0")
            .parse()
            .expect("a task's name");
        let started = world.starts[&name][0].2;
        let due = begin + seconds(2 + occurrence);
        assert!(started >= due && started <= due + millis(700));
    }
}

#[test]
fn an_owner_without_a_configuration_fails_no_job() {
    let mut world = World::new(2);
    world.run_time = millis(100);
    for worker in world.workers.values_mut() {
        worker.fails = true;
    }
    world.submit("job", Some("ane"), vec![step(1)]);
    assert!(world.run_until(seconds(1), |world| world.running("job.0.0.0") == 1));
    let config = std::mem::take(&mut world.config);
    world.take_over(None);
    world.run(millis(120));
    for worker in world.workers.values_mut() {
        worker.fails = false;
    }
    world.run(seconds(1));
    world.set_config(|known| *known = config);
    assert!(world.run_until(seconds(3), |world| world.status("job") == COMPLETED));
}

#[test]
fn an_end_that_is_done_does_not_fail_a_job_with_earlier_failures() {
    let mut world = World::new(1);
    world.run_time = millis(100);
    world.workers[0].fails = true;
    world.submit("job", Some("ane"), vec![step(1)]);
    world.run_until(seconds(1), |world| world.start_count("job.0.0.0") == 2);
    world.workers[0].fails = false;
    world.set_config(|config| config.queues["queue"].attempts = 1);
    assert!(world.run_until(seconds(3), |world| world.status("job") == COMPLETED));
}

#[test]
fn a_step_that_needs_a_ticket_runs_only_where_one_is_given() {
    let mut world = World::new(4);
    world.run(millis(100));
    world.good = vec!["w2".into()];
    world.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(1),
            validity: seconds(3),
        });
    });
    world.submit("job", Some("ane"), vec![step(6)]);
    assert!(world.run_until(seconds(4), |world| world.status("job") == COMPLETED));
    let mut starts = world.starts.values().flatten();
    assert!(starts.all(|(worker, _, _)| &**worker == "w2"));
    assert!(world.tickets.iter().all(Option::is_some));
    assert_eq!(world.questions.len(), 1, "the same was asked again");
}

#[test]
fn a_ticket_is_asked_for_again_when_its_time_is_over() {
    let mut world = World::new(2);
    world.run_time = seconds(4);
    world.good = vec!["w0".into(), "w1".into()];
    world.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(1),
            validity: seconds(3),
        });
    });
    world.submit("job", Some("ane"), vec![step(20)]);
    assert!(world.run_until(seconds(12), |world| world.status("job") == COMPLETED));
    assert!(world.questions.len() >= 2);
}
