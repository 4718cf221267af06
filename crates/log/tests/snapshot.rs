//! Snapshots with correct, wrong, outdated and unconfirmed images.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

const SHIPPED_FILE: &str = include_str!("../../../examples/guild.toml");
/// Offset of the mark.
const MARK_OFFSET: LogOffset = 3;

#[derive(Default)]
struct TestLog {
    records: Vec<LogItem>,
    fold: FleetFold,
    sequence: RecordSequence,
}

impl TestLog {
    /// Creates a log with a fleet, two members and a mark.
    fn with_mark() -> Self {
        let mut log = Self::default();
        let spec = check_fleet("guild.toml", SHIPPED_FILE).expect("shipped file is valid");
        let fleet = RecordBody::Fleet(FleetProposal::whole(0, Arc::new(spec)));
        assert_eq!(log.append(fleet), FoldOutcome::Accepted);
        for process in [1, 2] {
            let spec = MemberSpec {
                zone: "lahore-a".into(),
                address: ([127, 0, 0, 1], 1).into(),
                format: FORMAT_VERSION,
            };
            let join = MemberProposal::Join { spec, seen: 0 };
            log.propose(process, ControlProposal::Member(join));
        }
        log.snapshot(1, SnapshotProposal::Mark);
        log
    }

    fn append(&mut self, body: RecordBody) -> FoldOutcome {
        let offset = self.records.len() as LogOffset;
        let record = LogRecord {
            id: RecordId::from(offset),
            author: String::new(),
            written: SystemTime::UNIX_EPOCH,
            body,
        };
        let bytes = encode_record(&record).expect("record is within the size limit");
        let record = decode_record(&bytes).expect("encoded record is valid");
        let outcome = self.fold.advance(offset, &record);
        self.records.push(LogItem::Record(Arc::new(record)));
        outcome
    }

    fn propose(&mut self, process: ProcessId, proposal: ControlProposal) -> FoldOutcome {
        self.sequence += 1;
        self.append(RecordBody::Control(ControlBatch {
            author: key(process),
            sequence: self.sequence,
            proposals: vec![proposal],
        }))
    }

    fn snapshot(&mut self, process: ProcessId, proposal: SnapshotProposal) -> FoldOutcome {
        self.propose(process, ControlProposal::Snapshot(proposal))
    }

    fn publish(&mut self, process: ProcessId, image: Arc<FoldImage>) -> FoldOutcome {
        self.snapshot(
            process,
            SnapshotProposal::Publish {
                mark: MARK_OFFSET,
                image,
            },
        )
    }

    /// Returns the image that a new instance finds if `first` is the oldest retained record.
    fn find_image(&self, first: usize) -> Option<Arc<FoldImage>> {
        let mut seeker = SnapshotSeeker::default();
        let items = (first as LogOffset..).zip(&self.records[first..]);
        items
            .filter_map(|(offset, item)| seeker.observe(offset, item))
            .last()
    }

    fn checkpoint(&self) -> Arc<FoldImage> {
        Arc::clone(self.fold.checkpoint().expect("mark was applied"))
    }
}

fn key(process: ProcessId) -> MemberKey {
    MemberKey {
        entry: "entry".into(),
        process,
        incarnation: 1,
    }
}

fn rejected(reason: SnapshotReject) -> FoldOutcome {
    FoldOutcome::Rejected(RejectReason::Snapshot(reason))
}

#[test]
fn new_instance_starts_from_a_confirmed_image_and_the_tail() {
    let mut log = TestLog::with_mark();
    let image = log.checkpoint();
    assert_eq!(log.publish(1, Arc::clone(&image)), FoldOutcome::Accepted);
    let first = log.records.len() - 1;
    assert!(
        log.find_image(first).is_none(),
        "unconfirmed image was found"
    );
    let published = first as LogOffset;
    let confirm = SnapshotProposal::Confirm { published };
    let needless = rejected(SnapshotReject::NeedlessConfirmation);
    assert_eq!(log.snapshot(1, confirm.clone()), needless);
    assert!(
        log.find_image(first).is_none(),
        "image confirmed only by its author was found"
    );
    assert_eq!(log.snapshot(2, confirm), FoldOutcome::Accepted);
    log.propose(2, ControlProposal::Member(MemberProposal::Leave));

    let image = log.find_image(first).expect("confirmed image was found");
    let mut fold = FleetFold::default();
    fold.apply_reading(&LogReading::from_image(Arc::clone(&image)));
    let from = image.next_offset();
    let tail = &log.records[from as usize..];
    let end = log.records.len() as LogOffset;
    fold.apply_reading(&LogReading {
        requested_at: Some(Instant::now()),
        image: None,
        from,
        items: (from..).zip(tail.iter().cloned()).collect(),
        next_offset: end,
        end,
    });
    assert_eq!(
        fold, log.fold,
        "restored fold differs from the complete one"
    );

    // An instance that has applied later records ignores the image.
    fold.apply_reading(&LogReading::from_image(image));
    assert_eq!(fold.state().next_offset, end);
}

#[test]
fn wrong_image_is_rejected_and_a_correct_one_still_accepted() {
    let mut log = TestLog::with_mark();
    let correct = log.checkpoint();
    let wrong = Arc::new(FoldImage::default());
    let before = log.fold.state().clone();
    assert_eq!(log.publish(2, wrong), rejected(SnapshotReject::WrongImage));
    let published = log.records.len() as LogOffset - 1;
    let confirm = SnapshotProposal::Confirm { published };
    let other = rejected(SnapshotReject::OtherSnapshot);
    assert_eq!(
        log.snapshot(1, confirm),
        other,
        "rejected image was confirmed"
    );
    assert_eq!(log.fold.state().spec, before.spec);
    assert_eq!(log.publish(1, correct), FoldOutcome::Accepted);
}

#[test]
fn early_marks_and_outdated_images_are_rejected() {
    let mut log = TestLog::with_mark();
    let image = log.checkpoint();
    let too_soon = rejected(SnapshotReject::TooSoon);
    assert_eq!(log.snapshot(2, SnapshotProposal::Mark), too_soon);
    log.fold.skip_to(2_000);
    log.records
        .resize(2_000, LogItem::Unsupported { version: 0 });
    assert_eq!(
        log.snapshot(2, SnapshotProposal::Mark),
        FoldOutcome::Accepted
    );
    assert_eq!(
        log.publish(1, image),
        rejected(SnapshotReject::OtherSnapshot)
    );
}
