//! The fold with concurrent proposals, duplicates, deltas and records in unsupported formats.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

const SHIPPED_FILE: &str = include_str!("../../../examples/guild.toml");

fn shipped() -> FleetSpec {
    check_fleet("guild.toml", SHIPPED_FILE).expect("shipped file is valid")
}

fn record(id: RecordId, body: RecordBody) -> LogRecord {
    LogRecord {
        id,
        author: "ane".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body,
    }
}

fn apply(fold: &mut FleetFold, id: RecordId, proposal: FleetProposal) -> FoldOutcome {
    let offset = fold.state().next_offset;
    fold.advance(offset, &record(id, RecordBody::Fleet(proposal)))
}

fn join(format: u8) -> RecordBody {
    let author = MemberKey {
        entry: "entry-1".into(),
        process: 1,
        incarnation: 1,
    };
    let spec = MemberSpec {
        zone: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        format,
    };
    RecordBody::Control(ControlBatch {
        author,
        sequence: 1,
        proposals: vec![ControlProposal::Member(MemberProposal::Join {
            spec,
            seen: 0,
        })],
    })
}

#[test]
fn delta_leads_to_the_same_fleet_in_fewer_bytes() {
    let before = shipped();
    let mut after = before.clone();
    after.accounts[1].limit += 1;
    after.accounts[0].keys.clear();
    after.workers.remove(3);
    after.zones[2].region = "elsewhere".to_owned();
    after.queues.push(pw_pool::prelude::QueueSpec {
        id: "new".into(),
        ..before.queues[0].clone()
    });
    let mut reordered = before.clone();
    reordered.zones.reverse();
    for (name, after) in [
        ("changed", after),
        ("reordered", reordered),
        ("same", before.clone()),
    ] {
        let mut fold = FleetFold::default();
        apply(
            &mut fold,
            1,
            FleetProposal::whole(0, Arc::new(before.clone())),
        );
        let proposal = FleetProposal::between(1, &before, Arc::new(after.clone()));
        let whole = FleetProposal::whole(1, Arc::new(after.clone()));
        let bytes = |proposal| {
            encode_record(&record(2, RecordBody::Fleet(proposal)))
                .expect("record is within the size limit")
                .len()
        };
        println!(
            "{name}: {} bytes as proposed, {} as a whole",
            bytes(proposal.clone()),
            bytes(whole)
        );
        assert_eq!(apply(&mut fold, 2, proposal), FoldOutcome::Accepted);
        assert_eq!(fold.state().spec.as_deref(), Some(&after), "{name}");
    }
}

#[test]
fn concurrent_and_repeated_operator_records_take_effect_once() {
    let first = FleetProposal::whole(0, Arc::new(shipped()));
    let stale = FoldOutcome::Rejected(RejectReason::StaleRevision);
    let mut other = shipped();
    other.fleet = "other".into();
    let mut fold = FleetFold::default();
    let steps = [
        (1, first.clone(), FoldOutcome::Accepted),
        (2, first.clone(), stale),
        (1, first.clone(), FoldOutcome::Repeated),
        (2, first, FoldOutcome::Repeated),
        (
            3,
            FleetProposal::whole(1, Arc::new(other)),
            FoldOutcome::Rejected(RejectReason::OtherFleet),
        ),
    ];
    for (id, proposal, outcome) in steps {
        assert_eq!(apply(&mut fold, id, proposal), outcome, "record {id}");
    }
    assert_eq!(fold.state().revision, 1);
}

/// Returns a reading of `items` that starts at offset `from` and reaches the end of the log.
fn reading(from: LogOffset, items: Vec<LogItem>) -> LogReading {
    let next_offset = from + items.len() as LogOffset;
    LogReading {
        requested_at: Some(Instant::now()),
        image: None,
        from,
        items: (from..).zip(items).collect(),
        next_offset,
        end: next_offset,
    }
}

#[test]
fn unsupported_record_freezes_the_fold_only_if_its_format_was_announced() {
    let fleet = |base| {
        let body = RecordBody::Fleet(FleetProposal::whole(base, Arc::new(shipped())));
        LogItem::Record(Arc::new(record(RecordId::from(base) + 10, body)))
    };
    let newer = FORMAT_VERSION + 1;
    let unsupported = LogItem::Unsupported { version: newer };
    let announce = LogItem::Record(Arc::new(record(1, join(newer))));

    let mut fold = FleetFold::default();
    let unannounced = reading(0, vec![fleet(0), unsupported.clone(), fleet(1)]);
    fold.apply_reading(&unannounced);
    assert_eq!((fold.state().revision, fold.first_unsupported()), (2, None));
    assert!(fold.freshness(&unannounced).is_some());

    let announced = reading(3, vec![announce, unsupported, fleet(2)]);
    fold.apply_reading(&announced);
    assert_eq!(
        (fold.state().revision, fold.first_unsupported()),
        (2, Some(4))
    );
    assert_eq!(
        fold.freshness(&announced),
        None,
        "fold with an unsupported record is fresh"
    );
}

#[test]
fn readings_may_be_repeated_out_of_order_or_partial() {
    let fleet = |base| {
        let body = RecordBody::Fleet(FleetProposal::whole(base, Arc::new(shipped())));
        LogItem::Record(Arc::new(record(RecordId::from(base), body)))
    };
    let mut fold = FleetFold::default();
    let second = reading(1, vec![fleet(1)]);
    assert!(
        fold.apply_reading(&second).is_empty(),
        "reading after a gap was applied"
    );
    assert_eq!(fold.state().next_offset, 0);
    let first = reading(0, vec![fleet(0)]);
    fold.apply_reading(&first);
    fold.apply_reading(&first);
    assert_eq!(fold.state().revision, 1);
    let overlapping = reading(0, vec![fleet(0), fleet(1)]);
    assert_eq!(fold.apply_reading(&overlapping).len(), 1);
    assert_eq!(fold.state().revision, 2);

    let partial = LogReading {
        end: 10,
        ..reading(2, vec![fleet(2)])
    };
    fold.apply_reading(&partial);
    assert_eq!(
        fold.freshness(&partial),
        None,
        "reading before the end of the log proves freshness"
    );
    let relayed = LogReading {
        requested_at: None,
        ..reading(3, Vec::new())
    };
    assert_eq!(
        fold.freshness(&relayed),
        None,
        "relayed reading proves freshness"
    );
}
