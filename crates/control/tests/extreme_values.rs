//! Extreme values in what callers, operators and external services send: no arithmetic overflows.
//!
//! The decoders reject most of them; the controllers don't rely on that.

mod support;

use std::time::{Duration, SystemTime};

use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use support::{TestCluster, millis, seconds, step};

const COMPLETED: JobAnswer = JobAnswer::Known(JobStatus::Completed);
const LARGEST: ResourceSize = ResourceSize {
    millicores: u32::MAX,
    memory_mib: u32::MAX,
    accelerators: u32::MAX,
};

/// A caller chooses the estimates of its tasks.
#[test]
fn job_with_the_largest_estimates_completes() {
    let mut cluster = TestCluster::new(1);
    let longest = StepSpec {
        estimate: Duration::MAX,
        ..step(1)
    };
    let second = StepSpec {
        depends_on: vec![0],
        ..longest.clone()
    };
    cluster.submit("job", None, vec![longest, second]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
}

/// A caller chooses the first due time and the period of its job.
#[test]
fn occurrences_with_the_largest_periods_leave_the_owner_running() {
    let mut cluster = TestCluster::new(1);
    let spec = JobSpec {
        payload: "work".into(),
        steps: vec![step(1)],
        occurrences: u32::MAX,
        first_due: Some(SystemTime::UNIX_EPOCH),
        period: Duration::MAX,
    };
    let never = JobSpec {
        first_due: Some(SystemTime::UNIX_EPOCH + Duration::from_millis(u64::MAX)),
        ..spec.clone()
    };
    cluster.submit_spec("never", None, never);
    cluster.submit_spec("once", None, spec);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.start_count("never.0.0.0"), 0);
    assert_eq!(cluster.start_count("once.0.0.0"), 1);
    assert_eq!(cluster.start_count("once.1.0.0"), 0);
}

#[test]
fn queue_with_the_largest_objective_serves_jobs() {
    for stretch in [f64::MAX, -1.0, 2.0] {
        let mut cluster = TestCluster::new(1);
        cluster.set_config(|config| {
            config.queues["queue"].stretch = stretch;
            config.queues["queue"].target_latency = Duration::MAX;
        });
        cluster.submit("job", None, vec![step(1)]);
        assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
    }
}

#[test]
fn ticket_with_the_longest_validity_is_used() {
    let mut cluster = TestCluster::new(1);
    cluster.eligible_workers = vec!["w0".into()];
    cluster.ticket_validity = Duration::MAX;
    cluster.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: Duration::MAX,
            time_per_worker: Duration::MAX,
            validity: Duration::MAX,
        });
    });
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(4), |cluster| cluster.status("job") == COMPLETED));
}

/// The first answer of a worker to a new owner has the largest clock, life, load and run numbers.
#[test]
fn answer_with_the_largest_numbers_ends_no_other_workers_runs() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("job", None, vec![step(8)]);
    cluster.run(millis(200));
    let task = TaskName {
        job: "job".into(),
        occurrence: 0,
        step: u32::MAX,
        index: u32::MAX,
    };
    let report = PollReport {
        clock: u64::MAX,
        life: u64::MAX,
        running: vec![ActiveRun {
            task: task.clone(),
            run: u32::MAX,
            checkpoint: None,
            percent: 100,
            load: Some(u64::MAX),
        }],
        finished: vec![FinishedRun {
            number: u64::MAX,
            task,
            run: u32::MAX,
            end: RunEnd::Done,
            checkpoint: None,
        }],
        ..Default::default()
    };
    for life in [None, Some(u64::MAX)] {
        cluster.handle_event(ShardEvent::Polled {
            order: PollOrder {
                worker: "w0".into(),
                address: cluster.workers["w0"].entry.address,
                life,
                epoch: 1,
                fence: 1 << 16,
                acknowledged: 0,
                acknowledge_by: cluster.now,
                lease_until: None,
                wait: Duration::ZERO,
                sent_at: cluster.now,
            },
            result: Ok(report.clone()),
            answered_at: cluster.now,
        });
        cluster.run(millis(20));
    }
    assert!(cluster.run_until(seconds(20), |cluster| cluster.status("job") == COMPLETED));
}

#[test]
fn workers_with_the_largest_or_no_capacity_leave_the_pool_usable() {
    for capacity in [LARGEST, ResourceSize::default()] {
        let mut cluster = TestCluster::new(3);
        for worker in ["w1", "w2"] {
            cluster.workers[worker].entry.capacity = capacity;
        }
        cluster.workers["w2"].entry.life = u64::MAX;
        cluster.set_config(|config| {
            let wave = WaveRule {
                machines: ["m0".into(), "m2".into()].into(),
                duration: Duration::MAX,
                max_down: usize::MAX,
            };
            config.waves.insert(u64::MAX, wave);
        });
        cluster.list_workers();
        cluster.submit("job", Some("ane"), vec![step(30)]);
        assert!(cluster.run_until(seconds(20), |cluster| cluster.status("job") == COMPLETED));
        let report = cluster.controller().survey_report(cluster.now);
        let mut sizes = PoolSizes::new(SizingSettings::default());
        for load in &report.pools {
            sizes.observe(load, cluster.now);
            assert!(sizes.need(&load.pool) < 100);
        }
    }
}

/// A run that is missing from a report may be the one whose row is malformed.
#[test]
fn run_whose_row_is_malformed_is_not_started_again() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(10);
    cluster.submit("job", None, vec![step(4)]);
    cluster.run(seconds(1));
    for worker in cluster.workers.values_mut() {
        worker.malformed_rows = true;
    }
    cluster.run(seconds(6));
    for index in 0..4 {
        assert_eq!(cluster.start_count(&format!("job.0.0.{index}")), 1);
    }
    // A run that has ended is reported as such.
    assert!(cluster.run_until(seconds(6), |cluster| cluster.status("job") == COMPLETED));
}

/// A denial is permanent, so a worker whose row may be malformed is not denied.
#[test]
fn worker_whose_ticket_is_malformed_is_asked_for_again() {
    let mut cluster = TestCluster::new(1);
    cluster.eligible_workers = vec!["w0".into()];
    cluster.malformed_tickets = true;
    cluster.set_config(|config| {
        config.queues["queue"].advice = Some(AdviceRule {
            base_time: millis(20),
            time_per_worker: millis(1),
            validity: seconds(3),
        });
    });
    cluster.submit("job", None, vec![step(1)]);
    cluster.run(seconds(3));
    let requests = cluster.advice_requests.len();
    assert!((2..=12).contains(&requests), "{requests} requests");
    cluster.malformed_tickets = false;
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("job") == COMPLETED));
}

/// A malformed record under a worker's key takes it off the list until its next heartbeat.
#[test]
fn worker_off_the_list_keeps_its_runs_and_gets_no_others() {
    let mut cluster = TestCluster::new(1);
    cluster.run_time = seconds(20);
    cluster.submit("job", None, vec![step(2)]);
    cluster.run(seconds(1));
    cluster.workers["w0"].entry.pool = "nowhere".into();
    cluster.list_workers();
    cluster.submit("later", None, vec![step(1)]);
    cluster.run(seconds(15));
    assert_eq!(cluster.start_count("later.0.0.0"), 0);
    cluster.workers["w0"].entry.pool = "pool".into();
    cluster.list_workers();
    assert!(
        cluster.run_until(seconds(30), |cluster| cluster.status("job") == COMPLETED
            && cluster.status("later") == COMPLETED)
    );
    let starts: Vec<usize> = cluster.starts.values().map(Vec::len).collect();
    assert_eq!(starts, [1; 3]);
}
