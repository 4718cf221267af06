//! Leases are taken when wanted, renewed while used, and never used past their time.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

const LEASE: LeaseId = 7;
const BOOT: BootId = 3;

struct Rig {
    book: LeaseManager,
    start: Instant,
    key: LeaseKey,
}

impl Rig {
    /// A rig whose holder has a fresh reading of the log for an hour.
    fn new() -> Self {
        let mut rig = Self::stale();
        let until = rig.at(3_600_000);
        rig.feed(0, LeaseEvent::ReadingFresh { until });
        rig
    }

    fn stale() -> Self {
        Self {
            book: LeaseManager::default(),
            start: Instant::now(),
            key: LeaseKey {
                worker: "cutting-01".into(),
                class: LeaseClass::Always,
            },
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn key(&self) -> LeaseKey {
        self.key.clone()
    }

    fn feed(&mut self, millis: u64, event: LeaseEvent) -> Vec<LeaseCommand> {
        self.book.handle(self.at(millis), event)
    }

    fn grant(
        &mut self,
        millis: u64,
        requested_at: u64,
        renewal: RenewalCount,
    ) -> Vec<LeaseCommand> {
        let event = LeaseEvent::LeaseGranted {
            key: self.key(),
            requested_at: self.at(requested_at),
            grant: LeaseGrant {
                lease: LEASE,
                renewal,
                ttl: WORKER_LEASE_TTL,
                boot: BOOT,
            },
        };
        self.feed(millis, event)
    }

    /// Takes a lease that was asked for at 0 and answered at 10 ms, with one run under it.
    fn with_run() -> Self {
        let mut rig = Self::new();
        let key = rig.key();
        let taken = rig.feed(0, LeaseEvent::LeaseNeeded(rig.key()));
        assert_eq!(taken, [LeaseCommand::AcquireLease(key.clone())]);
        assert_eq!(rig.grant(10, 0, 0), [LeaseCommand::StartWaiting(key)]);
        rig.feed(10, LeaseEvent::RunStarted(rig.key()));
        rig
    }

    fn renewal(&self, renewal: RenewalCount) -> LeaseCommand {
        LeaseCommand::RenewLease {
            key: self.key(),
            lease: LEASE,
            renewal,
        }
    }

    fn is_usable(&self, millis: u64) -> bool {
        self.book.usable(self.at(millis), &self.key).is_some()
    }
}

#[test]
fn runs_that_wait_share_one_request() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseNeeded(rig.key()));
    assert_eq!(rig.feed(1, LeaseEvent::LeaseNeeded(rig.key())), []);
    assert_eq!(rig.grant(2, 0, 0), [LeaseCommand::StartWaiting(rig.key())]);
    assert_eq!(
        rig.feed(3, LeaseEvent::LeaseNeeded(rig.key())),
        [LeaseCommand::StartWaiting(rig.key())]
    );
}

#[test]
fn lease_is_usable_only_from_when_it_was_asked_for() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseNeeded(rig.key()));
    // The answer took 1.5 s: the worker's count began at any time since the request.
    rig.grant(1_500, 0, 0);
    assert!(rig.is_usable(1_970));
    assert!(!rig.is_usable(2_000));
}

#[test]
fn answer_after_the_lease_starts_nothing() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseNeeded(rig.key()));
    let commands = rig.grant(2_500, 0, 0);
    assert_eq!(commands, [LeaseCommand::AcquireLease(rig.key())]);
    let commands = rig.feed(3_500, LeaseEvent::RequestFailed(rig.key()));
    assert_eq!(commands, [LeaseCommand::RejectWaiting(rig.key())]);
}

#[test]
fn used_lease_is_renewed_at_a_third_of_its_length() {
    let mut rig = Rig::with_run();
    assert_eq!(rig.feed(660, LeaseEvent::TimePassed), []);
    assert_eq!(rig.feed(670, LeaseEvent::TimePassed), [rig.renewal(0)]);
    assert_eq!(
        rig.feed(700, LeaseEvent::TimePassed),
        [],
        "one request at a time"
    );
    rig.grant(710, 670, 1);
    assert_eq!(rig.feed(1_340, LeaseEvent::TimePassed), [rig.renewal(1)]);
}

#[test]
fn idle_lease_lapses() {
    let mut rig = Rig::with_run();
    rig.feed(100, LeaseEvent::RunEnded(rig.key()));
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
            rig.feed(millis, LeaseEvent::RequestFailed(rig.key()));
        }
    }
    assert!((5..=8).contains(&sent), "{sent} renewals");
    assert!(!rig.is_usable(2_000));
    assert_eq!(rig.book.expired_by(&rig.key, LEASE), None);
}

#[test]
fn lost_answer_of_a_renewal_goes_on_from_the_workers_number() {
    let mut rig = Rig::with_run();
    assert_eq!(rig.feed(670, LeaseEvent::TimePassed), [rig.renewal(0)]);
    rig.feed(1_170, LeaseEvent::RequestFailed(rig.key()));
    assert_eq!(rig.feed(1_370, LeaseEvent::TimePassed), [rig.renewal(0)]);
    let missed = LeaseEvent::RenewalMismatch {
        key: rig.key(),
        lease: LEASE,
        renewal: 1,
    };
    assert_eq!(rig.feed(1_400, missed), [rig.renewal(1)]);
    assert!(!rig.is_usable(2_000), "a missed renewal proves nothing");
    assert!(rig.book.expired_by(&rig.key, LEASE) >= Some(rig.at(1_400 + 4_000)));
}

#[test]
fn ended_lease_is_replaced_when_the_next_run_wants_one() {
    let mut rig = Rig::with_run();
    let ended = LeaseEvent::LeaseEnded {
        key: rig.key(),
        lease: LEASE,
    };
    assert_eq!(rig.feed(200, ended), []);
    assert!(!rig.is_usable(200));
    assert_eq!(
        rig.feed(201, LeaseEvent::LeaseNeeded(rig.key())),
        [LeaseCommand::AcquireLease(rig.key())]
    );
}

#[test]
fn worker_without_an_answer_is_left_alone_for_a_while() {
    let mut rig = Rig::new();
    rig.feed(0, LeaseEvent::LeaseNeeded(rig.key()));
    rig.feed(10, LeaseEvent::RunStarted(rig.key()));
    rig.feed(1_000, LeaseEvent::RequestFailed(rig.key()));
    let wanted = || LeaseEvent::LeaseNeeded(rig.key());
    let (early, late) = (wanted(), wanted());
    assert_eq!(
        rig.feed(1_100, early),
        [LeaseCommand::RejectWaiting(rig.key())]
    );
    assert_eq!(
        rig.feed(1_300, late),
        [LeaseCommand::AcquireLease(rig.key())]
    );
}

#[test]
fn lease_for_fresh_readings_is_neither_taken_nor_renewed_without_one() {
    let mut rig = Rig::stale();
    rig.key.class = LeaseClass::WhileFresh;
    let refused = [LeaseCommand::RejectWaiting(rig.key())];
    assert_eq!(rig.feed(0, LeaseEvent::LeaseNeeded(rig.key())), refused);
    let until = rig.at(1_000);
    rig.feed(0, LeaseEvent::ReadingFresh { until });
    let taken = [LeaseCommand::AcquireLease(rig.key())];
    assert_eq!(rig.feed(0, LeaseEvent::LeaseNeeded(rig.key())), taken);
    rig.grant(10, 0, 0);
    rig.feed(10, LeaseEvent::RunStarted(rig.key()));
    assert_eq!(rig.feed(700, LeaseEvent::TimePassed), [rig.renewal(0)]);
    rig.grant(710, 700, 1);
    let late: Vec<_> = (1_000..10_000)
        .step_by(50)
        .flat_map(|millis| rig.feed(millis, LeaseEvent::TimePassed))
        .collect();
    assert_eq!(late, []);
}

#[test]
fn new_holder_uses_no_lease_of_the_old_one() {
    let mut rig = Rig::with_run();
    rig.feed(20, LeaseEvent::HolderChanged);
    assert!(!rig.is_usable(20));
    let taken = [LeaseCommand::AcquireLease(rig.key())];
    assert_eq!(rig.feed(30, LeaseEvent::LeaseNeeded(rig.key())), taken);
    rig.feed(40, LeaseEvent::HolderChanged);
    // The answer belongs to a request of the holder before, so the lease is asked for again.
    assert_eq!(rig.grant(50, 30, 0), taken);
    assert!(!rig.is_usable(50));
}

#[test]
fn stale_holder_takes_leases_only_from_the_boots_that_it_knows() {
    let mut rig = Rig::stale();
    let refused = [LeaseCommand::RejectWaiting(rig.key())];
    let wanted = LeaseEvent::LeaseNeeded(rig.key());
    assert_eq!(rig.feed(0, wanted.clone()), refused);
    let until = rig.at(1_000);
    rig.feed(0, LeaseEvent::ReadingFresh { until });
    let taken = [LeaseCommand::AcquireLease(rig.key())];
    assert_eq!(rig.feed(0, wanted.clone()), taken);
    rig.grant(10, 0, 0);
    let ended = LeaseEvent::LeaseEnded {
        key: rig.key(),
        lease: LEASE,
    };
    rig.feed(2_000, ended);
    let key = rig.key();
    let retaken = [LeaseCommand::ReacquireLease { key, boot: BOOT }];
    assert_eq!(rig.feed(2_000, wanted), retaken);
}
