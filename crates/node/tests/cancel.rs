//! Cancellations by callers, with owners that know little of the job.

mod support;

use std::sync::Arc;

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_link::prelude::*;
use pw_node::cancellation::CancellationRecord;
use pw_node::message::ControlMessage;
use pw_node::owners::OwnerClient;
use pw_node::peer_duty::peer_bounds;
use pw_node::prelude::*;
use pw_node::request::{NodeRequest, NodeResponse};
use pw_ring::prelude::*;

use self::support::{MemoryStore, rule};

const STORED: Result<SubmitOutcome, ServiceRefusal> = Ok(SubmitOutcome::Stored);
const UNKNOWN: Result<SubmitOutcome, ServiceRefusal> = Err(ServiceRefusal::UnknownJob);

fn admission(others: &[ShardNumber]) -> Admission {
    Admission {
        queue: "queue".into(),
        pool: "pool".into(),
        shards: QueueShards {
            intake: 0,
            others: others.iter().copied().collect::<IndexSet<_>>(),
        },
        account: None,
        rest: String::new(),
        rule: rule("host", true),
        version: 1,
    }
}

/// Cancels a job whose owners give these answers to queries for its status, and to those that name an
/// offset; returns the answer to the caller and the cancellations in the shards 0 and 1.
fn cancel(
    others: &'static [ShardNumber],
    status: fn(ShardNumber) -> NodeResponse,
    status_before: fn(LogOffset) -> NodeResponse,
) -> (
    Result<SubmitOutcome, ServiceRefusal>,
    [Vec<CancellationRecord>; 2],
) {
    let (results, received) = ring("results", 1);
    let duty = DutyThread::spawn("callers", move |spawner| async move {
        let (control, questions) = ring("control", 1);
        spawner.spawn(async move {
            while let Some(message) = questions.recv().await {
                let ControlMessage::Request(request, reply) = message else {
                    continue;
                };
                let response = match request {
                    NodeRequest::StatusBefore { offset, .. } => status_before(offset),
                    request => status(request.shard()),
                };
                _ = reply.offer(response);
            }
        });
        let clock = Arc::new(ManualClock::default());
        let settings = NodeSettings::default();
        let owners = OwnerClient::new(control, H2Client::new(peer_bounds(), spawner));
        let store = MemoryStore::default();
        let writer =
            SubmissionWriter::new(settings.clone(), clock.clone(), Box::new(store.clone()));
        let service = JobService::new(settings, clock, writer, owners);
        let result = service.cancel(&admission(others), &"job".into()).await;
        let cancellations = [0, 1].map(|shard| {
            let topic = StoreTopic::Submissions;
            let records = store.records(StorePartition { topic, shard });
            let records = records.iter();
            records
                .map(|entry| CancellationRecord::decode(&entry.value))
                .collect()
        });
        _ = results.offer((result, cancellations));
    });
    let result = futures_lite::future::block_on(received.recv());
    assert!(duty.expect("a thread").join(), "the duty failed");
    result.expect("a result")
}

fn unread(_: ShardNumber) -> NodeResponse {
    NodeResponse::UnknownJob
}

/// Guards against an accepted job whose cancel is answered with 410 and which runs for good, since its
/// owner has not read the submission (review/10).
#[test]
fn a_job_that_its_owner_has_not_read_is_cancelled() {
    let answers: [fn(LogOffset) -> NodeResponse; 3] = [
        |_| NodeResponse::UnknownJob,
        |_| NodeResponse::NotOwner,
        |_| NodeResponse::Status(JobStatus::Cancelled),
    ];
    for status_before in answers {
        let (result, stored) = cancel(&[], unread, status_before);
        assert_eq!(result, STORED);
        assert_eq!(stored, [vec![CancellationRecord::All], Vec::new()]);
    }
}

/// Guards against a submission that is stored late and runs, though its caller was told that the job
/// does not exist.
#[test]
fn a_job_that_is_reported_as_unknown_stays_cancelled() {
    let (result, stored) = cancel(&[], unread, |offset| match offset {
        0 => NodeResponse::AbsentJob,
        _ => NodeResponse::UnknownJob,
    });
    assert_eq!(result, UNKNOWN);
    let stored = stored[0].as_slice();
    let [CancellationRecord::All, CancellationRecord::Earlier(_)] = stored else {
        panic!("{stored:?}");
    };
}

/// Guards against a cancel that fails since the owner of one of the queue's shards can't be asked.
#[test]
fn the_cancellation_of_a_job_that_may_have_moved_is_stored_in_all_shards() {
    let status = |shard| match shard {
        0 => NodeResponse::UnknownJob,
        _ => NodeResponse::NotOwner,
    };
    let (result, stored) = cancel(&[1], status, |_| NodeResponse::AbsentJob);
    assert_eq!(result, STORED);
    assert_eq!(
        stored,
        [vec![CancellationRecord::All], vec![CancellationRecord::All]]
    );
}

/// Guards against a caller that cancels the job of another account.
#[test]
fn a_job_of_another_account_is_not_cancelled() {
    let hidden = |_| NodeResponse::HiddenJob;
    let (result, stored) = cancel(&[], hidden, |_| NodeResponse::AbsentJob);
    assert_eq!((result, stored), (UNKNOWN, [Vec::new(), Vec::new()]));
}

#[test]
fn a_cancellation_can_be_read_back() {
    let job = "job".into();
    for record in [
        CancellationRecord::All,
        CancellationRecord::Earlier(ManualClock::default().wall()),
    ] {
        assert_eq!(
            CancellationRecord::decode(&record.entry(&job).value),
            record
        );
    }
    for malformed in [&[][..], &[2], &[2, 255], &[9, 9]] {
        assert_eq!(
            CancellationRecord::decode(malformed),
            CancellationRecord::All
        );
    }
}
