//! Appends with lost responses, outages of the log, and the append rate.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;

fn key(process: ProcessId, incarnation: Incarnation) -> MemberKey {
    MemberKey {
        entry: "entry-1".into(),
        process,
        incarnation,
    }
}

fn join() -> ControlProposal {
    ControlProposal::Member(MemberProposal::Join {
        spec: MemberSpec {
            zone: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            format: FORMAT_VERSION,
        },
        seen: 0,
    })
}

fn suspect(process: ProcessId) -> ControlProposal {
    ControlProposal::Member(MemberProposal::Suspect {
        member: key(process, 1),
    })
}

fn record(batch: ControlBatch) -> LogRecord {
    LogRecord {
        id: 1,
        author: batch.author.to_string(),
        written: std::time::SystemTime::UNIX_EPOCH,
        body: RecordBody::Control(batch),
    }
}

fn batches(commands: Vec<AppendCommand>) -> Vec<ControlBatch> {
    let batch = |command| match command {
        AppendCommand::Append(batch) => Some(batch),
        AppendCommand::Dropped(_) => None,
    };
    commands.into_iter().filter_map(batch).collect()
}

fn lost_response() -> AppendEvent {
    AppendEvent::Failed(LogError::Unreachable("no answer".to_owned()))
}

#[test]
fn append_with_a_lost_response_is_applied_once_in_any_order() {
    let now = Instant::now();
    let mut batcher = AppendBatcher::new(AppendSettings::default());
    batcher.handle(now, AppendEvent::ActAs(key(1, 1)));
    let first = batches(batcher.handle(now, AppendEvent::Propose(join())));
    batcher.handle(now, AppendEvent::Propose(suspect(2)));
    assert!(batches(batcher.handle(now, lost_response())).is_empty());
    let later = now + Duration::from_secs(10);
    let second = batches(batcher.handle(later, AppendEvent::TimePassed));
    assert_eq!(first, second, "retried batch differs");
    batcher.handle(later, AppendEvent::Appended);
    let next_time = later + Duration::from_secs(1);
    let third = batches(batcher.handle(next_time, AppendEvent::TimePassed));
    assert_eq!(third[0].sequence, 2);

    // The first attempt is appended last, after a later record of the same member.
    let mut fold = FleetFold::default();
    let appended = [&second[0], &third[0], &first[0], &third[0]];
    let outcomes: Vec<FoldOutcome> = appended
        .into_iter()
        .zip(0..)
        .map(|(batch, offset)| fold.advance(offset, &record(batch.clone())))
        .collect();
    let unknown = RejectReason::Member(MemberReject::UnknownMember);
    let expected = [
        FoldOutcome::Accepted,
        FoldOutcome::Rejected(unknown),
        FoldOutcome::Repeated,
        FoldOutcome::Repeated,
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(fold.members().len(), 1);
}

#[test]
fn outage_causes_bounded_backoff_and_a_full_queue() {
    let mut now = Instant::now();
    let settings = AppendSettings {
        max_pending: 4,
        ..AppendSettings::default()
    };
    let mut batcher = AppendBatcher::new(settings.clone());
    batcher.handle(now, AppendEvent::ActAs(key(1, 1)));
    batcher.handle(now, AppendEvent::Propose(join()));
    let mut attempts = 1;
    let end = now + Duration::from_secs(60);
    while now < end {
        batcher.handle(now, lost_response());
        now = batcher.next_deadline().expect("retry is scheduled");
        attempts += batches(batcher.handle(now, AppendEvent::TimePassed)).len();
    }
    let min_attempts = 60 / settings.max_backoff.as_secs() as usize;
    assert!(
        (min_attempts..40).contains(&attempts),
        "{attempts} attempts"
    );
    for process in 0..4 {
        assert!(!batcher.is_full());
        batcher.handle(now, AppendEvent::Propose(suspect(process)));
    }
    assert!(batcher.is_full());
}

#[test]
fn members_share_the_append_rate() {
    for members in [1, 9, 60, 400] {
        let start = Instant::now();
        let mut now = start;
        let mut batcher = AppendBatcher::new(AppendSettings::default());
        batcher.handle(now, AppendEvent::ActAs(key(1, 1)));
        batcher.handle(now, AppendEvent::MembersCounted(members));
        let mut appends = 0;
        while now < start + Duration::from_secs(60) {
            let commands = batcher.handle(now, AppendEvent::Propose(suspect(2)));
            for _ in batches(commands) {
                appends += 1;
                batcher.handle(now, AppendEvent::Appended);
            }
            now += Duration::from_millis(5);
        }
        let max_appends = FLEET_APPENDS_PER_SECOND as usize * 60;
        assert!(
            appends * members <= max_appends + members,
            "{members} members exceed the append rate"
        );
    }
}

#[test]
fn proposals_of_a_retired_incarnation_are_dropped() {
    let now = Instant::now();
    let mut batcher = AppendBatcher::new(AppendSettings::default());
    batcher.handle(now, AppendEvent::Propose(join()));
    batcher.handle(now, AppendEvent::ActAs(key(1, 1)));
    batcher.handle(now, lost_response());
    batcher.handle(now, AppendEvent::Propose(suspect(2)));
    let dropped = batcher.handle(now, AppendEvent::ActAs(key(1, 2)));
    assert_eq!(dropped, [AppendCommand::Dropped(2)]);
    let later = now + Duration::from_secs(10);
    let sent = batches(batcher.handle(later, AppendEvent::Propose(join())));
    assert_eq!((sent[0].sequence, sent[0].author.incarnation), (1, 2));
}
