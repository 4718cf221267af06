//! A worker runs each task at most once and only under an unexpired lease.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_link::lease_wire::StopState;
use pw_standin::prelude::*;

const TTL: Duration = Duration::from_secs(5);
const LEASE: LeaseId = 1;
const BOOT: BootId = 3;
const TASK: TaskId = 10;
const SLOTS: usize = 2;

struct TableFixture {
    table: LeaseTable,
    start: Instant,
}

impl TableFixture {
    fn new() -> Self {
        let start = Instant::now();
        let mut table = LeaseTable::new(BOOT);
        table
            .grant(start, LEASE, "entry-1".into(), TTL)
            .expect("lease");
        Self { table, start }
    }

    fn at(&self, secs: u64) -> Instant {
        self.start + Duration::from_secs(secs)
    }

    fn start_task(
        &mut self,
        secs: u64,
        renewal: RenewalCount,
        task: TaskId,
    ) -> Result<(), StartError> {
        let lease = LEASE;
        let now = self.at(secs);
        self.table
            .start(now, LeaseReference { lease, renewal }, task, SLOTS)
    }

    fn renew(&mut self, secs: u64, renewal: RenewalCount) -> bool {
        self.table.renew(self.at(secs), LEASE, renewal).is_ok()
    }
}

#[test]
fn start_after_the_expiry_is_refused_and_running_tasks_must_stop() {
    let mut fixture = TableFixture::new();
    assert_eq!(fixture.start_task(0, 0, TASK), Ok(()));
    assert!(fixture.table.may_run(fixture.at(4), LEASE, TASK));
    assert!(!fixture.table.may_run(fixture.at(5), LEASE, TASK));
    assert_eq!(
        fixture.start_task(5, 0, TASK + 1),
        Err(StartError::LeaseEnded)
    );
}

#[test]
fn delayed_duplicates_never_run_a_task_twice() {
    let mut fixture = TableFixture::new();
    assert_eq!(fixture.start_task(0, 0, TASK), Ok(()));
    assert_eq!(
        fixture.start_task(0, 0, TASK),
        Err(StartError::DuplicateTask)
    );
    fixture.table.end(LEASE, TASK);
    for renewal in 0..10 {
        assert!(
            fixture.start_task(renewal, 0, TASK).is_err(),
            "after renewal {renewal}"
        );
        assert!(fixture.renew(renewal, renewal));
    }
}

#[test]
fn only_one_of_two_renewals_with_the_same_number_is_applied() {
    let mut fixture = TableFixture::new();
    assert!(fixture.renew(1, 0));
    assert!(!fixture.renew(4, 0));
    assert_eq!(fixture.table.expires_at(LEASE), Some(fixture.at(6)));
    assert!(!fixture.renew(6, 1), "the lease has expired");
}

#[test]
fn stopped_task_never_starts_later() {
    let mut fixture = TableFixture::new();
    let stop = |fixture: &mut TableFixture, task| fixture.table.stop(fixture.at(1), LEASE, task);
    assert_eq!(stop(&mut fixture, TASK), Some(StopState::NeverStarted));
    assert_eq!(fixture.start_task(1, 0, TASK), Err(StartError::Stopped));
    assert_eq!(fixture.start_task(1, 0, TASK + 1), Ok(()));
    assert_eq!(stop(&mut fixture, TASK + 1), Some(StopState::Stopped));
    assert_eq!(stop(&mut fixture, TASK + 1), Some(StopState::Finished));
    // The task is forgotten only once no start with its renewal number is accepted any more.
    assert!(fixture.renew(2, 0) && fixture.renew(3, 1) && fixture.renew(4, 2));
    assert_eq!(
        fixture.start_task(4, 0, TASK),
        Err(StartError::StaleRenewal)
    );
}

#[test]
fn holder_is_fenced_once_its_leases_have_expired() {
    let mut fixture = TableFixture::new();
    assert_eq!(fixture.start_task(0, 0, TASK), Ok(()));
    let fence = |fixture: &mut TableFixture, secs| {
        fixture
            .table
            .fence(fixture.at(secs), "entry-1".into())
            .held_leases
    };
    assert_eq!(fence(&mut fixture, 1), 1);
    assert!(
        fixture.table.may_run(fixture.at(1), LEASE, TASK),
        "a fence stops no running task"
    );
    assert_eq!(fence(&mut fixture, 5), 0);
    let retry = fixture.table.grant(fixture.at(5), 2, "entry-1".into(), TTL);
    assert_eq!(retry, Err(GrantError::Fenced));
    assert!(
        fixture
            .table
            .grant(fixture.at(5), 3, "entry-2".into(), TTL)
            .is_ok()
    );
}

#[test]
fn slots_are_never_overbooked() {
    let mut fixture = TableFixture::new();
    let results: Vec<_> = (0..3).map(|task| fixture.start_task(0, 0, task)).collect();
    assert_eq!(results, [Ok(()), Ok(()), Err(StartError::NoSlot)]);
    fixture.table.end(LEASE, 0);
    assert_eq!(fixture.start_task(0, 0, 3), Ok(()));
}

#[test]
fn request_for_another_boot_is_refused() {
    let fixture = TableFixture::new();
    assert_eq!(fixture.table.check_boot(None), Ok(()));
    assert_eq!(fixture.table.check_boot(Some(BOOT)), Ok(()));
    let other = fixture.table.check_boot(Some(BOOT + 1));
    assert_eq!(other, Err(GrantError::BootMismatch));
}
