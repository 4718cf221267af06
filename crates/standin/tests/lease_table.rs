//! A worker runs each task at most once, and nothing after its lease.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_link::lease_wire::StopState;
use pw_standin::prelude::*;

const TTL: Duration = Duration::from_secs(5);
const LEASE: LeaseId = 1;
const BOOT: BootId = 3;
const TASK: TaskId = 10;
const SLOTS: usize = 2;

struct Rig {
    table: LeaseTable,
    start: Instant,
}

impl Rig {
    fn new() -> Self {
        let start = Instant::now();
        let mut table = LeaseTable::new(BOOT);
        table
            .take(start, LEASE, "entry-1".into(), TTL)
            .expect("lease");
        Self { table, start }
    }

    fn at(&self, secs: u64) -> Instant {
        self.start + Duration::from_secs(secs)
    }

    fn run(&mut self, secs: u64, renewal: RenewalCount, task: TaskId) -> Result<(), StartError> {
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
fn start_after_the_lease_is_refused_and_running_tasks_must_stop() {
    let mut rig = Rig::new();
    assert_eq!(rig.run(0, 0, TASK), Ok(()));
    assert!(rig.table.may_run(rig.at(4), LEASE, TASK));
    assert!(!rig.table.may_run(rig.at(5), LEASE, TASK));
    assert_eq!(rig.run(5, 0, TASK + 1), Err(StartError::LeaseEnded));
}

#[test]
fn delayed_duplicates_never_run_a_task_twice() {
    let mut rig = Rig::new();
    assert_eq!(rig.run(0, 0, TASK), Ok(()));
    assert_eq!(rig.run(0, 0, TASK), Err(StartError::DuplicateTask));
    rig.table.end(LEASE, TASK);
    for renewal in 0..10 {
        assert!(
            rig.run(renewal, 0, TASK).is_err(),
            "after renewal {renewal}"
        );
        assert!(rig.renew(renewal, renewal));
    }
}

#[test]
fn only_one_of_two_renewals_with_the_same_number_counts() {
    let mut rig = Rig::new();
    assert!(rig.renew(1, 0));
    assert!(!rig.renew(4, 0));
    assert_eq!(rig.table.expires_at(LEASE), Some(rig.at(6)));
    assert!(!rig.renew(6, 1), "the lease has ended");
}

#[test]
fn stopped_task_never_starts_later() {
    let mut rig = Rig::new();
    let stop = |rig: &mut Rig, task| rig.table.stop(rig.at(1), LEASE, task);
    assert_eq!(stop(&mut rig, TASK), Some(StopState::NeverStarted));
    assert_eq!(rig.run(1, 0, TASK), Err(StartError::Stopped));
    assert_eq!(rig.run(1, 0, TASK + 1), Ok(()));
    assert_eq!(stop(&mut rig, TASK + 1), Some(StopState::Stopped));
    assert_eq!(stop(&mut rig, TASK + 1), Some(StopState::Finished));
    // The identity is forgotten only when no start may name its renewal any more.
    assert!(rig.renew(2, 0) && rig.renew(3, 1) && rig.renew(4, 2));
    assert_eq!(rig.run(4, 0, TASK), Err(StartError::StaleRenewal));
}

#[test]
fn fence_waits_for_the_leases_and_then_holds() {
    let mut rig = Rig::new();
    assert_eq!(rig.run(0, 0, TASK), Ok(()));
    let fence = |rig: &mut Rig, secs| rig.table.fence(rig.at(secs), "entry-1".into()).held_leases;
    assert_eq!(fence(&mut rig, 1), 1);
    assert!(
        rig.table.may_run(rig.at(1), LEASE, TASK),
        "nothing is cut off"
    );
    assert_eq!(fence(&mut rig, 5), 0);
    let again = rig.table.take(rig.at(5), 2, "entry-1".into(), TTL);
    assert_eq!(again, Err(GrantError::Fenced));
    assert!(rig.table.take(rig.at(5), 3, "entry-2".into(), TTL).is_ok());
}

#[test]
fn slots_are_never_overbooked() {
    let mut rig = Rig::new();
    let results: Vec<_> = (0..3).map(|task| rig.run(0, 0, task)).collect();
    assert_eq!(results, [Ok(()), Ok(()), Err(StartError::NoSlot)]);
    rig.table.end(LEASE, 0);
    assert_eq!(rig.run(0, 0, 3), Ok(()));
}

#[test]
fn request_for_an_earlier_boot_is_refused() {
    let rig = Rig::new();
    assert_eq!(rig.table.check_boot(None), Ok(()));
    assert_eq!(rig.table.check_boot(Some(BOOT)), Ok(()));
    let other = rig.table.check_boot(Some(BOOT + 1));
    assert_eq!(other, Err(GrantError::BootMismatch));
}
