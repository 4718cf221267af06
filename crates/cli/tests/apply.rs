//! Applying fleet files with concurrent operators, lost responses and expired log records.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_lite::future::{BoxedLocal, FutureExt, block_on};
use pw_cli::apply::{ApplyReport, apply_spec};
use pw_cli::audit::{AuditChange, audit_line};
use pw_cli::log_follower::LogFollower;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

/// In-memory log that can lose responses of appends that took effect.
#[derive(Clone, Default)]
struct FakeLog {
    records: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Number of next appends whose response is lost.
    lost_responses: Rc<Cell<u32>>,
    /// Offset of the oldest retained record.
    first: Rc<Cell<u64>>,
}

impl LogStore for FakeLog {
    fn append(&self, bytes: Vec<u8>) -> BoxedLocal<Result<u64, LogError>> {
        self.records.borrow_mut().push(bytes);
        let offset = self.records.borrow().len() as u64 - 1;
        let lost = self.lost_responses.get();
        self.lost_responses.set(lost.saturating_sub(1));
        let unreachable = LogError::Unreachable("answer lost".to_owned());
        async move {
            if lost > 0 {
                Err(unreachable)
            } else {
                Ok(offset)
            }
        }
        .boxed_local()
    }

    fn read(&self, from: u64, _wait: Duration) -> BoxedLocal<Result<LogBatch, LogError>> {
        let first = self.first.get();
        if from < first {
            return async move { Err(LogError::Expired { first }) }.boxed_local();
        }
        let records = self.records.borrow();
        let entries: Vec<LogEntry> = records
            .iter()
            .enumerate()
            .skip(from as usize)
            .map(|(offset, bytes)| LogEntry {
                offset: offset as u64,
                bytes: bytes.clone(),
            })
            .collect();
        let end = records.len() as u64;
        async move { Ok(LogBatch { entries, end }) }.boxed_local()
    }
}

fn fleet(zone: &str) -> FleetSpec {
    let text = format!("fleet = \"f\"\n[[zones]]\nid = \"{zone}\"\n");
    check_fleet("fleet.toml", &text).expect("the fleet file has no findings")
}

fn apply(follower: &mut LogFollower, operator: &str, zone: &str) -> ApplyReport {
    let diff = FleetDiff::default();
    block_on(apply_spec(follower, operator, None, fleet(zone), &diff))
        .expect("the outcome is known")
}

fn follower(log: &FakeLog) -> LogFollower {
    LogFollower::new(Box::new(log.clone()))
}

#[test]
fn concurrent_apply_on_a_stale_revision_is_rejected() {
    let log = FakeLog::default();
    let (mut first, mut second) = (follower(&log), follower(&log));
    block_on(first.catch_up()).expect("the log can be read");
    block_on(second.catch_up()).expect("the log can be read");
    assert!(apply(&mut first, "ane", "a").accepted);
    let report = apply(&mut second, "bert", "b");
    assert!(!report.accepted);
    assert_eq!(report.reason.as_deref(), Some("stale-revision"));
    assert_eq!(second.spec(), Some(&fleet("a")));
}

#[test]
fn lost_append_responses_apply_a_file_once() {
    let log = FakeLog::default();
    log.lost_responses.set(3);
    let report = apply(&mut follower(&log), "ane", "a");
    assert!(report.accepted);
    let mut reader = follower(&log);
    let folded = block_on(reader.catch_up()).expect("the log can be read");
    assert_eq!(reader.state().revision, 1);
    assert_eq!(folded.iter().filter_map(audit_line).count(), 1);
}

#[test]
fn audit_names_operator_revision_and_changes() {
    let log = FakeLog::default();
    let mut writer = follower(&log);
    apply(&mut writer, "ane", "a");
    apply(&mut writer, "bert", "b");
    let folded = block_on(follower(&log).catch_up()).expect("the log can be read");
    let lines: Vec<_> = folded.iter().filter_map(audit_line).collect();
    let last = lines.last().expect("the audit trail is not empty");
    let AuditChange::Fleet {
        base,
        revision,
        diff,
    } = &last.change
    else {
        panic!("the last line is not a fleet change: {last:?}");
    };
    assert_eq!((last.author.as_str(), *base, *revision), ("bert", 1, 2));
    let kinds: Vec<_> = diff
        .changes
        .iter()
        .map(|change| (change.kind, &*change.id))
        .collect();
    assert_eq!(
        kinds,
        [(ChangeKind::Removed, "a"), (ChangeKind::Added, "b")]
    );
}

#[test]
fn follower_restores_a_snapshot_after_records_expired() {
    let log = FakeLog::default();
    apply(&mut follower(&log), "ane", "a");
    let mut fold = FleetFold::default();
    fold_all(&log, &mut fold);
    let spec = MemberSpec {
        zone: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        format: FORMAT_VERSION,
    };
    let join = MemberProposal::Join { spec, seen: 1 };
    propose(&log, &mut fold, 1, ControlProposal::Member(join));
    propose(
        &log,
        &mut fold,
        2,
        ControlProposal::Snapshot(SnapshotProposal::Mark),
    );
    let image = Arc::clone(fold.checkpoint().expect("the mark has stored an image"));
    log.first.set(3);
    let without_snapshot = block_on(follower(&log).catch_up());
    assert!(
        matches!(without_snapshot, Err(LogError::Expired { first: 3 })),
        "records have expired without a snapshot: {without_snapshot:?}"
    );

    let publish = SnapshotProposal::Publish { mark: 2, image };
    propose(&log, &mut fold, 3, ControlProposal::Snapshot(publish));
    let mut late_follower = follower(&log);
    block_on(late_follower.catch_up()).expect("a snapshot is available");
    assert_eq!(late_follower.state(), fold.state());
    assert!(apply(&mut late_follower, "bert", "b").accepted);
}

fn propose(log: &FakeLog, fold: &mut FleetFold, sequence: u64, proposal: ControlProposal) {
    let author = MemberKey {
        entry: "entry".into(),
        process: 1,
        incarnation: 1,
    };
    let record = LogRecord {
        id: sequence.into(),
        author: author.to_string(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Control(ControlBatch {
            author,
            sequence,
            proposals: vec![proposal],
        }),
    };
    block_on(log.append(encode_record(&record).expect("the record can be encoded")))
        .expect("the append succeeds");
    fold_all(log, fold);
}

fn fold_all(log: &FakeLog, fold: &mut FleetFold) {
    let from = fold.state().next_offset;
    let batch = block_on(log.read(from, Duration::ZERO)).expect("the log can be read");
    fold.apply_reading(&LogReading::decode(None, from, &batch).0);
}
