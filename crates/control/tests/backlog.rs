//! Cost of events while many jobs wait.

mod support;

use pw_control::prelude::*;
use support::{TestCluster, seconds, step};

/// Returns the visits within a second of a full pool with `jobs` waiting jobs.
fn visits_with_backlog(jobs: usize) -> VisitCount {
    let mut cluster = TestCluster::new(4);
    for number in 0..jobs {
        cluster.submit(&format!("job-{number}"), None, vec![step(8), step(2)]);
    }
    cluster.run(seconds(1));
    let visits = |cluster: &TestCluster| cluster.controller().visits();
    let before = visits(&cluster);
    cluster.run(seconds(1));
    let after = visits(&cluster);
    VisitCount {
        jobs: after.jobs - before.jobs,
        workers: after.workers - before.workers,
    }
}

/// The cost of each event grew with the backlog, so an overloaded owner fell behind ever faster.
#[test]
fn waiting_jobs_do_not_slow_events_down() {
    let few = visits_with_backlog(100);
    let many = visits_with_backlog(4_000);
    assert!(
        many.jobs <= few.jobs + few.jobs / 2,
        "{} visits of jobs with 4,000 waiting jobs, {} with 100",
        many.jobs,
        few.jobs
    );
}
