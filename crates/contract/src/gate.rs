//! The border between the task scheduler and the way in which limits are kept.

use std::time::Instant;

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::ledger::PermitLedger;
use crate::proposal::PermitProposal;

/// Right to have one task of an account running.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskPermit {
    /// Account that the permit counts against.
    pub account: AccountId,
    /// Which of the holder's permits it is.
    pub kind: PermitKind,
    /// Incarnation of the holder that took it.
    pub incarnation: Incarnation,
}

/// Where a permit may be used and how it can be taken back.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitKind {
    /// Usable in the holder's own availability zone; survives an outage of the log.
    Floor,
    /// Usable everywhere while the holder's reading of the log is fresh.
    Float,
}

/// Hands out permits to start tasks.
///
/// Tasks run under leases of their workers. To keep the limits across pauses and partitions, the
/// user of the gate keeps to this order:
///
/// 1. It has the grant of a lease in hand. A start names that grant and a renewal names the last
///    one, so neither can take effect once another grant has replaced it or the lease has ended.
/// 2. With the grant in hand, and not before, it asks [`may_renew`](Self::may_renew) with the
///    permit of each task that runs or is to start under the lease.
/// 3. It sends the start or the renewal. Tasks whose permit may no longer be used are stopped; while
///    one of them may still run, the lease is not renewed.
///
/// So at most one renewal takes effect after the last check that passed, and what runs has ended two
/// lease lengths after it.
pub trait PermitGate: Send {
    /// Sets the accounts with their limits; tasks that run keep running above a lowered one.
    ///
    /// A gate that is told by [`observe`](Self::observe) needs no more.
    fn set_accounts(&mut self, accounts: &[AccountSpec]) {
        _ = accounts;
    }

    /// Takes a permit to start a task of `account` on a worker in `zone`.
    fn acquire(&mut self, now: Instant, account: &AccountId, zone: &ZoneId) -> Option<TaskPermit>;

    /// Gives a permit back once its task has certainly ended.
    fn release(&mut self, now: Instant, permit: TaskPermit);

    /// Sets how many tasks of `account` wait for a permit.
    fn set_demand(&mut self, now: Instant, account: &AccountId, waiting: u32);

    /// Takes in the folded state after a reading of the log.
    ///
    /// `read_sent` is the time at which a read of the log itself was sent that has now been folded to
    /// the end; `None` for records that peers passed on, which prove nothing about freshness.
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

    /// Returns until when leases for float permits may be taken and renewed.
    fn fresh_until(&self) -> Option<Instant> {
        None
    }

    /// Returns the member that takes leases for the permits; `None` while there is none.
    fn member(&self) -> Option<&MemberKey> {
        None
    }

    /// Returns what is to be appended to the log now; each proposal is returned once.
    fn proposals(&mut self, now: Instant) -> Vec<PermitProposal> {
        _ = now;
        Vec::new()
    }

    /// Returns when [`proposals`](Self::proposals) is to be read_sent again at the latest.
    ///
    /// It is later than the last call of `proposals`.
    fn next_deadline(&self) -> Option<Instant> {
        None
    }
}
