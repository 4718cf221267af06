//! Owners that have lost their shard without noticing, or are lost between two steps.

mod support;

use pw_control::prelude::*;
use support::{COMPLETED, TestCluster, long_running, seconds, step};

/// A submission waits for room in the ring of an owner that lags; the query of its caller gets room
/// first.
#[test]
fn a_job_is_not_unknown_while_its_submission_may_be_unread() {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster
        .known_inputs
        .retain(|input| *input != ShardInput::Submissions);
    cluster.run(seconds(4));
    assert_ne!(
        cluster.query("job", QueryScope::Public),
        JobAnswer::Unknown,
        "the caller of a job that was accepted 4 s ago is told that it does not exist"
    );
}

/// An owner that lost its shard without noticing answers for it.
#[test]
fn a_former_owner_does_not_call_a_job_of_its_successor_unknown() {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster.owner_mut().frozen = true;
    cluster.run(seconds(1));
    cluster.claim(None, Default::default());
    cluster.submit("job", None, vec![step(1)]);
    cluster.run(seconds(20));
    let former = &cluster.owners[0].controller;
    assert_ne!(
        former.job_status("job", QueryScope::Public, cluster.now),
        JobAnswer::Unknown
    );
}

/// An owner that lost its shard without noticing reports a worker as drained on which its successor
/// runs a long-running task.
#[test]
fn a_former_owner_reports_no_worker_as_drained() {
    let mut cluster = TestCluster::new(1);
    cluster.run(seconds(1));
    let worker = cluster.workers[0].entry.id.clone();
    cluster.surveys_enabled = false;
    cluster.claim(None, Default::default());
    cluster.submit("job", None, vec![long_running(1)]);
    cluster.owners[0].frozen = true;
    cluster.run(seconds(12));
    assert_eq!(cluster.running("job.0.0.0"), 1);
    let (now, wall) = (cluster.now, cluster.wall);
    let former = &mut cluster.owners[0].controller;
    let order = SurveyOrder {
        drain: vec![worker],
        ..Default::default()
    };
    former.handle(now, wall, ShardEvent::Surveyed(order));
    let drained = former.survey_report(now).drained;
    assert!(
        drained.is_empty(),
        "{drained:?} has a long-running task of the later owner"
    );
}

/// The owner deletes the submission of a job after its retention, and is lost before it deletes the
/// state.
#[test]
fn a_completed_job_does_not_run_again_while_its_records_are_deleted() {
    let mut cluster = TestCluster::new(2);
    cluster.settings.retention = seconds(5);
    cluster.take_over(None);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    cluster.only_submissions_removed = true;
    assert!(cluster.run_until(seconds(10), |cluster| cluster.submissions.is_empty()));
    assert_eq!(cluster.images.len(), 1);
    cluster.only_submissions_removed = false;
    cluster.take_over(None);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.images.is_empty()));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
}
