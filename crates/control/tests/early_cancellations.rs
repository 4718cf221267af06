//! Cancellations that lie in the log before the submissions of their jobs.

mod support;

use std::time::Duration;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::*;

const CANCELLED: JobAnswer = JobAnswer::Known(JobStatus::Cancelled);

/// What happens to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Submission,
    /// A submission that was accepted 10 s ago.
    EarlierSubmission,
    Cancellation,
    Takeover,
}

/// Returns all orders of the steps, each of which occurs the given number of times.
fn orders(counts: [(Step, usize); 3]) -> Vec<Vec<Step>> {
    if counts.iter().all(|(_, count)| *count == 0) {
        return vec![Vec::new()];
    }
    let first = (0..counts.len()).filter(|index| counts[*index].1 > 0);
    let all = first.flat_map(|index| {
        let mut rest = counts;
        rest[index].1 -= 1;
        let after = orders(rest).into_iter();
        after.map(move |order| [vec![counts[index].0], order].concat())
    });
    all.collect()
}

/// Runs the steps at intervals of `pause`, and 3 s more.
fn play(cluster: &mut TestCluster, order: &[Step], pause: Duration) {
    for step in order {
        match step {
            Step::Submission => cluster.submit("job", Some("ane"), vec![long_running(1)]),
            Step::EarlierSubmission => {
                cluster.wall -= seconds(10);
                cluster.submit("job", Some("ane"), vec![long_running(1)]);
                cluster.wall += seconds(10);
            }
            Step::Cancellation => cluster.cancel("job"),
            Step::Takeover => cluster.take_over(None),
        }
        cluster.run(pause);
    }
    cluster.run(seconds(3));
}

/// Guards against a cancel that is answered with success and forgotten, after which the job runs for
/// good (review/12): the store may take a submission in seconds after the cancellation.
#[test]
fn a_cancellation_counts_in_each_order_with_submissions_and_takeovers() {
    let counts = [
        (Step::Submission, 2),
        (Step::Cancellation, 2),
        (Step::Takeover, 2),
    ];
    let orders = orders(counts);
    assert_eq!(orders.len(), 90);
    for (order, pause) in orders
        .iter()
        .flat_map(|o| [(o, millis(0)), (o, millis(200))])
    {
        let mut cluster = TestCluster::new(1);
        play(&mut cluster, order, pause);
        let is_early = order
            .iter()
            .find(|step| **step != Step::Takeover)
            .is_some_and(|step| *step == Step::Cancellation);
        assert!(!is_early || cluster.starts.is_empty(), "{order:?} starts");
        for _ in 0..2 {
            assert_eq!(cluster.running("job.0.0.0"), 0, "{order:?} runs on");
            assert_eq!(cluster.status("job"), CANCELLED, "{order:?}");
            assert_eq!(cluster.controller().active_job_count(), 0, "{order:?}");
            assert_eq!(cluster.controller().pending("queue"), 0, "{order:?}");
            let demands = cluster.controller().account_demands(cluster.now);
            assert!(
                demands
                    .values()
                    .all(|demand| *demand == AccountDemand::default())
            );
            cluster.take_over(None);
            cluster.run(millis(100));
        }
    }
}

/// Creates a cluster that remembers a cancellation for 5 s.
fn forgetful_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.settings.retention = seconds(5);
    cluster.take_over(None);
    cluster.cancel("job");
    cluster
}

/// Guards against a cancellation that is forgotten too soon after a change of owner or a repetition,
/// and against records that are kept for good.
#[test]
fn a_cancellation_without_a_submission_is_deleted_after_its_retention() {
    let mut cluster = forgetful_cluster();
    for change in [Step::Takeover, Step::Cancellation] {
        cluster.run(millis(4900));
        match change {
            Step::Cancellation => cluster.cancel("job"),
            _ => cluster.take_over(None),
        }
    }
    cluster.run(millis(4900));
    assert!(!cluster.cancelled.is_empty(), "deleted too soon");
    cluster.run(millis(300));
    assert!(cluster.cancelled.is_empty(), "kept for good");
    cluster.submit("job", None, vec![long_running(1)]);
    cluster.run(seconds(1));
    assert_eq!(cluster.running("job.0.0.0"), 1);
}

/// Guards against an owner that has forgotten a cancellation which its successor still reads.
#[test]
fn a_cancellation_counts_until_its_deletion_is_stored() {
    for repeats in [false, true] {
        let mut cluster = forgetful_cluster();
        cluster.append_time = seconds(1);
        cluster.run(millis(5500));
        if repeats {
            cluster.cancel("job");
            cluster.run(seconds(3));
        }
        cluster.submit("job", None, vec![long_running(1)]);
        cluster.run(seconds(3));
        assert!(cluster.starts.is_empty());
        assert_eq!(cluster.status("job"), CANCELLED);
    }
}

/// Guards against a new job that is cancelled, and against one that runs although its caller was told
/// that it does not exist: the first submission in the log counts, also after a change of owner.
#[test]
fn a_caller_that_was_told_that_a_job_is_absent_may_submit_it() {
    let counts = [
        (Step::EarlierSubmission, 1),
        (Step::Submission, 1),
        (Step::Takeover, 2),
    ];
    for order in orders(counts) {
        let mut cluster = TestCluster::new(1);
        cluster.cancel("job");
        let wall = cluster.wall;
        cluster.cancel_before("job", wall);
        cluster.run(millis(5));
        play(&mut cluster, &order, millis(200));
        let first = order.iter().find(|step| **step != Step::Takeover);
        let runs = first == Some(&Step::Submission);
        assert_eq!(cluster.running("job.0.0.0"), usize::from(runs), "{order:?}");
        assert_eq!(cluster.status("job") == CANCELLED, !runs, "{order:?}");
    }
}

/// Guards against a caller that is told that a job does not exist which its owner has not read yet.
#[test]
fn a_job_is_absent_once_its_owner_has_read_up_to_the_cancellation() {
    let mut cluster = TestCluster::new(1);
    cluster.handle_event(ShardEvent::SubmissionsRead(3, cluster.now));
    let answer = |offset| {
        let (controller, now) = (cluster.controller(), cluster.now);
        controller.job_status_before("job", QueryScope::Public, offset, now)
    };
    assert_eq!(answer(3), JobAnswer::Absent);
    assert_eq!(answer(4), JobAnswer::Unknown);
}
