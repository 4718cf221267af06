//! Model of permit holders that are paused, partitioned, replaced and reclaimed from.
//!
//! An account has an upper limit. Its permits move between entry instances through the log while
//! tasks run under leases of workers. The first member of a world may be paused between any two
//! actions, its messages may be delayed, and its heartbeats are lost. In every tick the other
//! members perform all possible actions after those of the first member: they suspect, retire,
//! reclaim and start tasks as early as the rules allow.

pub mod member;
pub mod worker;
pub mod world;

use pw_contract::prelude::*;
use strum::{Display, EnumIter};

/// No account has more running tasks than its upper limit.
pub const WITHIN_LIMIT: &str = "within limit";
/// The permits granted by the fold never exceed the upper limit.
pub const GRANTED_WITHIN_LIMIT: &str = "granted within limit";

/// Deliberate protocol mistake that the search has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitMistake {
    /// A suspected member is retired without a hold-down.
    RetireWithoutHoldDown,
    /// The validity of float permits counts from the response of a log read, not from its request.
    ValidityFromAnswer,
    /// A worker accepts renewals with any token.
    RenewWithoutToken,
    /// A member renews leases for float permits without a fresh log read.
    RenewWithoutFreshness,
    /// A member performs its checks before it requests a token from the worker.
    CheckBeforeToken,
    /// A worker starts tasks without checking the lease.
    StartWithoutLease,
    /// A member releases a permit before its task has certainly ended.
    ReleaseBeforeEnd,
    /// A worker fences a holder whose lease has not expired.
    FenceUnderLease,
    /// A repeated append is applied as a new one.
    RepeatCountsAnew,
    /// A suspected member keeps using float permits.
    SuspectedUsesFloat,
}

/// Parameters of a [`PermitWorld`](world::PermitWorld); times are in ticks of one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitSettings {
    /// Number of members, each in its own availability zone.
    pub members: usize,
    /// Whether the zone of the first member has floor permits.
    pub has_floor: bool,
    /// Upper limit of the account.
    pub limit: u32,
    /// Validity of float permits, from the request of a log read.
    pub validity: u32,
    /// Duration of a worker's lease.
    pub lease: u32,
    /// Hold-down before a suspected member is retired.
    pub hold_down: u32,
    /// Number of ticks after the warm-up.
    pub horizon: u32,
    /// Number of log reads of the first member whose response is not delayed.
    pub reads: u32,
    /// Number of tasks for which the first member acquires permits after the warm-up.
    pub tasks: u32,
    /// Number of tasks of the first member that end before their leases expire.
    pub ends: u32,
    /// Number of delayed messages of the first member.
    pub delayed_messages: u32,
    /// Number of records that are appended a second time.
    pub repeats: u32,
    /// Number of replacements of the first member.
    pub crashes: u32,
    /// Whether the appends of the first member after the warm-up are lost.
    pub loses_appends: bool,
    /// Mistake in the protocol, if any.
    pub mistake: Option<PermitMistake>,
}

/// Action of a member or a worker, the passage of time, or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAction {
    /// Time advances by one tick.
    Tick,
    /// The other members perform all possible actions.
    OthersAct,
    /// The first member reads the log to its end and appends its proposals.
    Read,
    /// The first member sends a log read whose response is delayed.
    ReadLate,
    /// The first member acquires a permit for a task on the worker of its zone.
    Take,
    /// The first member opens or renews its lease on a worker.
    Lease(usize, PermitKind),
    /// The first member sends a lease request to a worker, and the request is delayed.
    LeaseLate(usize, PermitKind),
    /// The start request of one of the first member's tasks is delivered to its worker.
    Start(usize),
    /// One of the first member's tasks ends, and the member is notified.
    End(usize),
    /// A delayed message is delivered.
    Arrive(usize),
    /// A record is appended a second time.
    Repeat(usize),
    /// The first member is replaced; its tasks continue until their leases expire.
    Crash,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            members: 2,
            has_floor: false,
            limit: 1,
            validity: 1,
            lease: 2,
            hold_down: 5,
            horizon: 7,
            reads: 1,
            tasks: 0,
            ends: 0,
            delayed_messages: 0,
            repeats: 0,
            crashes: 0,
            loses_appends: false,
            mistake: None,
        }
    }
}

impl PermitSettings {
    /// Returns whether the protocol contains `mistake`.
    pub fn has_mistake(&self, mistake: PermitMistake) -> bool {
        self.mistake == Some(mistake)
    }
}
