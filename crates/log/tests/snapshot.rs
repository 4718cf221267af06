//! Snapshots that are right, wrong, late or unconfirmed.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

const SHIPPED_FILE: &str = include_str!("../../../examples/guild.toml");
/// Offset of the mark.
const MARK: LogOffset = 3;

#[derive(Default)]
struct TestLog {
    records: Vec<LogItem>,
    fold: FleetFold,
    sequence: RecordSequence,
}

impl TestLog {
    /// A fleet, two members and a mark.
    fn marked() -> Self {
        let mut log = Self::default();
        let spec = check_fleet("guild.toml", SHIPPED_FILE).expect("shipped file");
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
        let bytes = encode_record(&record).expect("small");
        let record = decode_record(&bytes).expect("own record");
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
        self.snapshot(process, SnapshotProposal::Publish { mark: MARK, image })
    }

    /// Returns the image that a new instance finds in the records from `first` on.
    fn seek(&self, first: usize) -> Option<Arc<FoldImage>> {
        let mut seeker = SnapshotSeeker::default();
        let items = (first as LogOffset..).zip(&self.records[first..]);
        items
            .filter_map(|(offset, item)| seeker.observe(offset, item))
            .last()
    }

    fn checkpoint(&self) -> Arc<FoldImage> {
        Arc::clone(self.fold.checkpoint().expect("a mark"))
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
    let mut log = TestLog::marked();
    let image = log.checkpoint();
    assert_eq!(log.publish(1, Arc::clone(&image)), FoldOutcome::Accepted);
    let first = log.records.len() - 1;
    assert!(log.seek(first).is_none(), "nobody has confirmed it");
    let published = first as LogOffset;
    let confirm = SnapshotProposal::Confirm { published };
    let needless = rejected(SnapshotReject::NeedlessConfirmation);
    assert_eq!(log.snapshot(1, confirm.clone()), needless);
    assert!(
        log.seek(first).is_none(),
        "only its author has confirmed it"
    );
    assert_eq!(log.snapshot(2, confirm), FoldOutcome::Accepted);
    log.propose(2, ControlProposal::Member(MemberProposal::Leave));

    let image = log.seek(first).expect("a confirmed image");
    let mut fold = FleetFold::default();
    fold.apply_reading(&LogReading::from_image(Arc::clone(&image)));
    let from = image.next_offset();
    let tail = &log.records[from as usize..];
    let end = log.records.len() as LogOffset;
    fold.apply_reading(&LogReading {
        sent_at: Some(Instant::now()),
        image: None,
        from,
        items: (from..).zip(tail.iter().cloned()).collect(),
        next_offset: end,
        end,
    });
    assert_eq!(fold, log.fold, "as if it had read every record");

    // An instance that is further on is not set back.
    fold.apply_reading(&LogReading::from_image(image));
    assert_eq!(fold.state().next_offset, end);
}

#[test]
fn wrong_image_changes_nothing_and_blocks_nothing() {
    let mut log = TestLog::marked();
    let right = log.checkpoint();
    let wrong = Arc::new(FoldImage::default());
    let before = log.fold.state().clone();
    assert_eq!(log.publish(2, wrong), rejected(SnapshotReject::WrongImage));
    let published = log.records.len() as LogOffset - 1;
    let confirm = SnapshotProposal::Confirm { published };
    let other = rejected(SnapshotReject::OtherSnapshot);
    assert_eq!(log.snapshot(1, confirm), other, "it can't be confirmed");
    assert_eq!(log.fold.state().spec, before.spec);
    assert_eq!(log.publish(1, right), FoldOutcome::Accepted);
}

#[test]
fn marks_keep_their_distance_and_old_images_are_refused() {
    let mut log = TestLog::marked();
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
