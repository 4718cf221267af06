//! Leases are taken when wanted, renewed while used, and never used past their time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

const LEASE: LeaseId = 7;

struct Rig {
    book: LeaseBook,
    start: Instant,
    worker: WorkerId,
}

impl Rig {
    fn new() -> Self {
        Self {
            book: LeaseBook::default(),
            start: Instant::now(),
            worker: WorkerId::from("cutting-01"),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn worker(&self) -> WorkerId {
        Arc::clone(&self.worker)
    }

    fn feed(&mut self, millis: u64, event: LeaseEvent) -> Vec<LeaseCommand> {
        self.book.handle(self.at(millis), event)
    }

    fn grant(&mut self, millis: u64, asked: u64, renewal: RenewalCount) -> Vec<LeaseCommand> {
        let event = LeaseEvent::LeaseGranted {
            worker: self.worker(),
            asked: self.at(asked),
            grant: LeaseGrant {
                lease: LEASE,
                renewal,
                ttl: WORKER_LEASE_TTL,
            },
        };
        self.feed(millis, event)
    }

    /// Takes a lease that was asked for at 0 and answered at 10 ms, with one run under it.
    fn with_run() -> Self {
        let mut rig = Self::new();
        let worker = rig.worker();
        let taken = rig.feed(0, LeaseEvent::LeaseWanted(rig.worker()));
        assert_eq!(taken, [LeaseCommand::TakeLease(worker.clone())]);
        assert_eq!(rig.grant(10, 0, 0), [LeaseCommand::StartWaiting(worker)]);
        rig.feed(10, LeaseEvent::RunStarted(rig.worker()));
        rig
    }

    fn renewal(&self, renewal: RenewalCount) -> LeaseCommand {
        LeaseCommand::RenewLease {
            worker: self.worker(),
            lease: LEASE,
            renewal,
        }
    }

    fn is_usable(&self, millis: u64) -> bool {
        self.book.usable(self.at(millis), &self.worker).is_some()
    }
}

#[test]
fn runs_that_wait_share_one_request() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseWanted(rig.worker()));
    assert_eq!(rig.feed(1, LeaseEvent::LeaseWanted(rig.worker())), []);
    assert_eq!(
        rig.grant(2, 0, 0),
        [LeaseCommand::StartWaiting(rig.worker())]
    );
    assert_eq!(
        rig.feed(3, LeaseEvent::LeaseWanted(rig.worker())),
        [LeaseCommand::StartWaiting(rig.worker())]
    );
}

#[test]
fn lease_is_usable_only_from_when_it_was_asked_for() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseWanted(rig.worker()));
    // The answer took 4 s: the worker's count began at any time since the request.
    rig.grant(4_000, 0, 0);
    assert!(rig.is_usable(4_900));
    assert!(!rig.is_usable(5_000));
}

#[test]
fn answer_after_the_lease_starts_nothing() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseWanted(rig.worker()));
    let commands = rig.grant(6_000, 0, 0);
    assert_eq!(commands, [LeaseCommand::TakeLease(rig.worker())]);
    let commands = rig.feed(7_000, LeaseEvent::LeaseUnanswered(rig.worker()));
    assert_eq!(commands, [LeaseCommand::RefuseWaiting(rig.worker())]);
}

#[test]
fn used_lease_is_renewed_at_a_third_of_its_length() {
    let mut rig = Rig::with_run();
    assert_eq!(rig.feed(1_600, LeaseEvent::TimePassed), []);
    assert_eq!(rig.feed(1_700, LeaseEvent::TimePassed), [rig.renewal(0)]);
    assert_eq!(
        rig.feed(1_800, LeaseEvent::TimePassed),
        [],
        "one request at a time"
    );
    rig.grant(1_900, 1_700, 1);
    assert_eq!(rig.feed(3_400, LeaseEvent::TimePassed), [rig.renewal(1)]);
}

#[test]
fn idle_lease_lapses() {
    let mut rig = Rig::with_run();
    rig.feed(100, LeaseEvent::RunEnded(rig.worker()));
    let mut renewal = 0;
    for millis in (0..60_000).step_by(100) {
        for command in rig.feed(millis, LeaseEvent::TimePassed) {
            assert_eq!(command, rig.renewal(renewal));
            assert!(millis < 12_000, "renewed at {millis} ms");
            renewal += 1;
            rig.grant(millis, millis, renewal);
        }
    }
    assert_eq!(rig.book.held_leases(), 0);
    assert_eq!(rig.book.next_deadline(), None);
}

#[test]
fn unanswered_renewal_is_repeated_with_the_same_number_until_the_lease_is_over() {
    let mut rig = Rig::with_run();
    let mut sent = 0;
    for millis in (0..20_000).step_by(100) {
        for command in rig.feed(millis, LeaseEvent::TimePassed) {
            assert_eq!(command, rig.renewal(0));
            sent += 1;
            rig.feed(millis, LeaseEvent::LeaseUnanswered(rig.worker()));
        }
    }
    assert!((5..=8).contains(&sent), "{sent} renewals");
    assert!(!rig.is_usable(5_000));
    assert_eq!(rig.book.over_by(&rig.worker, LEASE), None);
}

#[test]
fn lost_answer_of_a_renewal_goes_on_from_the_workers_number() {
    let mut rig = Rig::with_run();
    assert_eq!(rig.feed(1_700, LeaseEvent::TimePassed), [rig.renewal(0)]);
    rig.feed(2_700, LeaseEvent::LeaseUnanswered(rig.worker()));
    assert_eq!(rig.feed(3_200, LeaseEvent::TimePassed), [rig.renewal(0)]);
    let missed = LeaseEvent::RenewalMissed {
        worker: rig.worker(),
        lease: LEASE,
        renewal: 1,
    };
    assert_eq!(rig.feed(3_300, missed), [rig.renewal(1)]);
    assert!(!rig.is_usable(5_000), "a missed renewal proves nothing");
    assert!(rig.book.over_by(&rig.worker, LEASE) >= Some(rig.at(3_300 + 10_000)));
}

#[test]
fn ended_lease_is_replaced_when_the_next_run_wants_one() {
    let mut rig = Rig::with_run();
    let ended = LeaseEvent::LeaseEnded {
        worker: rig.worker(),
        lease: LEASE,
    };
    assert_eq!(rig.feed(200, ended), []);
    assert!(!rig.is_usable(200));
    assert_eq!(
        rig.feed(201, LeaseEvent::LeaseWanted(rig.worker())),
        [LeaseCommand::TakeLease(rig.worker())]
    );
}

#[test]
fn worker_without_an_answer_is_left_alone_for_a_while() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseWanted(rig.worker()));
    rig.feed(10, LeaseEvent::RunStarted(rig.worker()));
    rig.feed(1_000, LeaseEvent::LeaseUnanswered(rig.worker()));
    let wanted = || LeaseEvent::LeaseWanted(rig.worker());
    let (early, late) = (wanted(), wanted());
    assert_eq!(
        rig.feed(1_100, early),
        [LeaseCommand::RefuseWaiting(rig.worker())]
    );
    assert_eq!(
        rig.feed(1_600, late),
        [LeaseCommand::TakeLease(rig.worker())]
    );
}
