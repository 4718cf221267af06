//! Cost of events while many jobs wait.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::{TestCluster, seconds, size, step};

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
    cluster.controller.as_ref().expect("an owner").visits()
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
