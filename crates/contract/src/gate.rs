//! Interface between the task scheduler and the enforcement of account limits.

use std::time::Instant;

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::ledger::PermitLedger;
use crate::proposal::PermitProposal;

/// Permission to run one task of an account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskPermit {
    /// Account that the permit counts against.
    pub account: AccountId,
    /// Kind of the permit.
    pub kind: PermitKind,
    /// Incarnation of the holder that acquired it.
    pub incarnation: Incarnation,
}

/// Where a permit may be used and how it can be reclaimed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitKind {
    /// Usable in the holder's own availability zone; survives an outage of the log.
    Floor,
    /// Usable in every zone while the holder's last read of the log is fresh.
    Float,
}

/// Issues the permits that tasks need to start.
///
/// Tasks run under leases on their workers. To enforce the limits across pauses and partitions, the
/// caller must follow this order:
///
/// 1. Obtain the grant of a lease. A start names that grant and a renewal names the latest one, so
///    neither takes effect once another grant has replaced it or the lease has expired.
/// 2. After receiving the grant, and not before, call [`may_renew`](Self::may_renew) with the
///    permit of each task that runs or is to start under the lease.
/// 3. Send the start or the renewal. Stop tasks whose permit may no longer be used, and don't renew
///    the lease while one of them may still run.
///
/// At most one renewal therefore takes effect after the last successful check, and every task has
/// ended two lease lengths after that check.
pub trait PermitGate: Send {
    /// Sets the accounts with their limits; running tasks continue when a limit is lowered.
    ///
    /// A gate that reads the limits in [`observe`](Self::observe) can ignore this call.
    fn set_accounts(&mut self, accounts: &[AccountSpec]) {
        _ = accounts;
    }

    /// Acquires a permit to start a task of `account` on a worker in `zone`.
    fn acquire(&mut self, now: Instant, account: &AccountId, zone: &ZoneId) -> Option<TaskPermit>;

    /// Releases a permit whose task is known to have ended.
    fn release(&mut self, now: Instant, permit: TaskPermit);

    /// Sets how many tasks of `account` wait for a permit.
    fn set_demand(&mut self, now: Instant, account: &AccountId, waiting: u32);

    /// Updates the gate from the state after new log records were applied.
    ///
    /// `read_sent` is the time at which a read of the log was sent whose result has been applied in
    /// full; `None` for records forwarded by peers, which prove nothing about freshness.
    fn observe(
        &mut self,
        now: Instant,
        read_sent: Option<Instant>,
        permits: &PermitLedger,
        members: &MemberLedger,
    ) {
        _ = (now, read_sent, permits, members);
    }

    /// Returns whether a new lease may be opened now on a worker in `zone` for permits of `kind`.
    fn may_open(&self, now: Instant, kind: PermitKind, zone: &ZoneId) -> bool {
        _ = (now, kind, zone);
        true
    }

    /// Returns whether the lease that the task with `permit` runs under may be renewed now.
    fn may_renew(&self, now: Instant, permit: &TaskPermit) -> bool {
        _ = (now, permit);
        true
    }

    /// Returns until when leases for float permits may be opened and renewed.
    fn fresh_until(&self) -> Option<Instant> {
        None
    }

    /// Returns the member that holds leases for the permits; `None` while there is none.
    fn member(&self) -> Option<&MemberKey> {
        None
    }

    /// Returns the proposals to append to the log now; each one is returned once.
    fn proposals(&mut self, now: Instant) -> Vec<PermitProposal> {
        _ = now;
        Vec::new()
    }

    /// Returns the time by which [`proposals`](Self::proposals) should be called again.
    ///
    /// It is later than the last call of `proposals`.
    fn next_deadline(&self) -> Option<Instant> {
        None
    }
}
