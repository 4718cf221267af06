//! Leases are acquired on demand, renewed while in use, and never used after their expiry.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

const LEASE: LeaseId = 7;
const BOOT: BootId = 3;

struct LeaseFixture {
    manager: LeaseManager,
    start: Instant,
    key: LeaseKey,
}

impl LeaseFixture {
    /// Creates a fixture whose holder has a fresh log read for an hour.
    fn new() -> Self {
        let mut fixture = Self::with_stale_read();
        let until = fixture.at(3_600_000);
        fixture.handle(0, LeaseEvent::ReadingFresh { until });
        fixture
    }

    fn with_stale_read() -> Self {
        Self {
            manager: LeaseManager::default(),
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

    fn handle(&mut self, millis: u64, event: LeaseEvent) -> Vec<LeaseCommand> {
        self.manager.handle(self.at(millis), event)
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
        self.handle(millis, event)
    }

    /// Creates a fixture with one run under a lease requested at 0 ms and granted at 10 ms.
    fn with_run() -> Self {
        let mut fixture = Self::new();
        let key = fixture.key();
        let acquire = fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key()));
        assert_eq!(acquire, [LeaseCommand::AcquireLease(key.clone())]);
        assert_eq!(fixture.grant(10, 0, 0), [LeaseCommand::StartWaiting(key)]);
        fixture.handle(10, LeaseEvent::RunStarted(fixture.key()));
        fixture
    }

    fn renewal(&self, renewal: RenewalCount) -> LeaseCommand {
        LeaseCommand::RenewLease {
            key: self.key(),
            lease: LEASE,
            renewal,
        }
    }

    fn is_usable(&self, millis: u64) -> bool {
        self.manager.usable(self.at(millis), &self.key).is_some()
    }
}

#[test]
fn waiting_runs_share_one_request() {
    let mut fixture = LeaseFixture::new();
    fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key()));
    assert_eq!(
        fixture.handle(1, LeaseEvent::LeaseNeeded(fixture.key())),
        []
    );
    assert_eq!(
        fixture.grant(2, 0, 0),
        [LeaseCommand::StartWaiting(fixture.key())]
    );
    assert_eq!(
        fixture.handle(3, LeaseEvent::LeaseNeeded(fixture.key())),
        [LeaseCommand::StartWaiting(fixture.key())]
    );
}

#[test]
fn lease_duration_counts_from_the_request() {
    let mut fixture = LeaseFixture::new();
    fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key()));
    // The response took 1.5 s, and the worker may have granted the lease right after the request.
    fixture.grant(1_500, 0, 0);
    assert!(fixture.is_usable(1_970));
    assert!(!fixture.is_usable(2_000));
}

#[test]
fn response_after_the_expiry_starts_no_run() {
    let mut fixture = LeaseFixture::new();
    fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key()));
    let commands = fixture.grant(2_500, 0, 0);
    assert_eq!(commands, [LeaseCommand::AcquireLease(fixture.key())]);
    let commands = fixture.handle(3_500, LeaseEvent::RequestFailed(fixture.key()));
    assert_eq!(commands, [LeaseCommand::RejectWaiting(fixture.key())]);
}

#[test]
fn used_lease_is_renewed_after_a_third_of_its_duration() {
    let mut fixture = LeaseFixture::with_run();
    assert_eq!(fixture.handle(660, LeaseEvent::TimePassed), []);
    assert_eq!(
        fixture.handle(670, LeaseEvent::TimePassed),
        [fixture.renewal(0)]
    );
    assert_eq!(
        fixture.handle(700, LeaseEvent::TimePassed),
        [],
        "only one request in flight"
    );
    fixture.grant(710, 670, 1);
    assert_eq!(
        fixture.handle(1_340, LeaseEvent::TimePassed),
        [fixture.renewal(1)]
    );
}

#[test]
fn idle_lease_expires() {
    let mut fixture = LeaseFixture::with_run();
    fixture.handle(100, LeaseEvent::RunEnded(fixture.key()));
    let mut renewal = 0;
    for millis in (0..60_000).step_by(100) {
        for command in fixture.handle(millis, LeaseEvent::TimePassed) {
            assert_eq!(command, fixture.renewal(renewal));
            assert!(millis < 12_000, "idle lease renewed at {millis} ms");
            renewal += 1;
            fixture.grant(millis, millis, renewal);
        }
    }
    assert_eq!(fixture.manager.held_leases(), 0);
    assert_eq!(fixture.manager.next_deadline(), None);
}

#[test]
fn failed_renewal_is_repeated_with_the_same_number_until_the_lease_expires() {
    let mut fixture = LeaseFixture::with_run();
    let mut sent = 0;
    for millis in (0..20_000).step_by(100) {
        for command in fixture.handle(millis, LeaseEvent::TimePassed) {
            assert_eq!(command, fixture.renewal(0));
            sent += 1;
            fixture.handle(millis, LeaseEvent::RequestFailed(fixture.key()));
        }
    }
    assert!((5..=8).contains(&sent), "{sent} renewal requests");
    assert!(!fixture.is_usable(2_000));
    assert_eq!(fixture.manager.expired_by(&fixture.key, LEASE), None);
}

#[test]
fn renewal_number_is_adopted_after_a_lost_response() {
    let mut fixture = LeaseFixture::with_run();
    assert_eq!(
        fixture.handle(670, LeaseEvent::TimePassed),
        [fixture.renewal(0)]
    );
    fixture.handle(1_170, LeaseEvent::RequestFailed(fixture.key()));
    assert_eq!(
        fixture.handle(1_370, LeaseEvent::TimePassed),
        [fixture.renewal(0)]
    );
    let mismatch = LeaseEvent::RenewalMismatch {
        key: fixture.key(),
        lease: LEASE,
        renewal: 1,
    };
    assert_eq!(fixture.handle(1_400, mismatch), [fixture.renewal(1)]);
    assert!(
        !fixture.is_usable(2_000),
        "a mismatched renewal does not extend the lease"
    );
    assert!(fixture.manager.expired_by(&fixture.key, LEASE) >= Some(fixture.at(1_400 + 4_000)));
}

#[test]
fn ended_lease_is_replaced_when_the_next_run_needs_one() {
    let mut fixture = LeaseFixture::with_run();
    let ended = LeaseEvent::LeaseEnded {
        key: fixture.key(),
        lease: LEASE,
    };
    assert_eq!(fixture.handle(200, ended), []);
    assert!(!fixture.is_usable(200));
    assert_eq!(
        fixture.handle(201, LeaseEvent::LeaseNeeded(fixture.key())),
        [LeaseCommand::AcquireLease(fixture.key())]
    );
}

#[test]
fn unresponsive_worker_is_retried_after_a_delay() {
    let mut fixture = LeaseFixture::new();
    fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key()));
    fixture.handle(10, LeaseEvent::RunStarted(fixture.key()));
    fixture.handle(1_000, LeaseEvent::RequestFailed(fixture.key()));
    let needed = || LeaseEvent::LeaseNeeded(fixture.key());
    let (early, late) = (needed(), needed());
    assert_eq!(
        fixture.handle(1_100, early),
        [LeaseCommand::RejectWaiting(fixture.key())]
    );
    assert_eq!(
        fixture.handle(1_300, late),
        [LeaseCommand::AcquireLease(fixture.key())]
    );
}

#[test]
fn while_fresh_lease_requires_a_fresh_log_read() {
    let mut fixture = LeaseFixture::with_stale_read();
    fixture.key.class = LeaseClass::WhileFresh;
    let reject = [LeaseCommand::RejectWaiting(fixture.key())];
    assert_eq!(
        fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key())),
        reject
    );
    let until = fixture.at(1_000);
    fixture.handle(0, LeaseEvent::ReadingFresh { until });
    let acquire = [LeaseCommand::AcquireLease(fixture.key())];
    assert_eq!(
        fixture.handle(0, LeaseEvent::LeaseNeeded(fixture.key())),
        acquire
    );
    fixture.grant(10, 0, 0);
    fixture.handle(10, LeaseEvent::RunStarted(fixture.key()));
    assert_eq!(
        fixture.handle(700, LeaseEvent::TimePassed),
        [fixture.renewal(0)]
    );
    fixture.grant(710, 700, 1);
    let late: Vec<_> = (1_000..10_000)
        .step_by(50)
        .flat_map(|millis| fixture.handle(millis, LeaseEvent::TimePassed))
        .collect();
    assert_eq!(late, []);
}

#[test]
fn new_holder_uses_no_lease_of_the_previous_one() {
    let mut fixture = LeaseFixture::with_run();
    fixture.handle(20, LeaseEvent::HolderChanged);
    assert!(!fixture.is_usable(20));
    let acquire = [LeaseCommand::AcquireLease(fixture.key())];
    assert_eq!(
        fixture.handle(30, LeaseEvent::LeaseNeeded(fixture.key())),
        acquire
    );
    fixture.handle(40, LeaseEvent::HolderChanged);
    // The response belongs to a request of the previous holder, so the lease is requested again.
    assert_eq!(fixture.grant(50, 30, 0), acquire);
    assert!(!fixture.is_usable(50));
}

#[test]
fn stale_holder_acquires_leases_only_on_known_boots() {
    let mut fixture = LeaseFixture::with_stale_read();
    let reject = [LeaseCommand::RejectWaiting(fixture.key())];
    let needed = LeaseEvent::LeaseNeeded(fixture.key());
    assert_eq!(fixture.handle(0, needed.clone()), reject);
    let until = fixture.at(1_000);
    fixture.handle(0, LeaseEvent::ReadingFresh { until });
    let acquire = [LeaseCommand::AcquireLease(fixture.key())];
    assert_eq!(fixture.handle(0, needed.clone()), acquire);
    fixture.grant(10, 0, 0);
    let ended = LeaseEvent::LeaseEnded {
        key: fixture.key(),
        lease: LEASE,
    };
    fixture.handle(2_000, ended);
    let key = fixture.key();
    let reacquire = [LeaseCommand::ReacquireLease { key, boot: BOOT }];
    assert_eq!(fixture.handle(2_000, needed), reacquire);
}
