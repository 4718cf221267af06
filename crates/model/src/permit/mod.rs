//! Holders of permits that are paused, cut off, replaced and reclaimed from.
//!
//! An account has an upper limit. Its permits pass between entry instances through the log while
//! tasks run under leases of workers. The first member of a world may be paused between any two
//! steps, its messages may be late, and nobody hears its heartbeats. The others do all they can in
//! every tick, after the first member's steps: they suspect, retire, reclaim and start tasks as early as the rules let them.

pub mod member;
pub mod worker;
pub mod world;

use pw_contract::prelude::*;
use strum::{Display, EnumIter};

/// No account has more running than its upper limit.
pub const WITHIN_LIMIT: &str = "within limit";
/// The permits that the fold grants never exceed the upper limit.
pub const GRANTED_WITHIN_LIMIT: &str = "granted within limit";

/// A mistake that is put into the protocol on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitMistake {
    /// A silent member is retired without a hold-down.
    RetireWithoutHoldDown,
    /// The validity of float permits counts from the arrival of a reading.
    ValidityFromAnswer,
    /// A worker takes a renewal whatever token it carries.
    RenewWithoutToken,
    /// A member renews leases for float permits without a fresh reading.
    RenewWithoutFreshness,
    /// A member checks before it asks the worker for a token.
    CheckBeforeToken,
    /// A worker starts tasks without looking at the lease.
    StartWithoutLease,
    /// A member gives a permit back before its task has certainly ended.
    ReleaseBeforeEnd,
    /// A worker fences a holder whose lease has not ended.
    FenceUnderLease,
    /// A repeated append counts as a new one.
    RepeatCountsAnew,
    /// A suspected member goes on using float permits.
    SuspectedUsesFloat,
}

/// Size of a [`PermitWorld`](world::PermitWorld); times are in ticks of one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitSettings {
    /// Members in all, each in an availability zone of its own.
    pub members: usize,
    /// Whether the zone of the first member has floor permits.
    pub floor: bool,
    /// Upper limit of the account.
    pub limit: u32,
    /// Validity of float permits after the sending of a read.
    pub validity: u32,
    /// Length of a worker's lease.
    pub lease: u32,
    /// Hold-down before a silent member is retired.
    pub hold_down: u32,
    /// Ticks that pass after the start.
    pub horizon: u32,
    /// Readings of the first member that answer.
    pub reads: u32,
    /// Tasks that the first member takes permits for after the start.
    pub tasks: u32,
    /// Tasks of the first member that end before their leases do.
    pub ends: u32,
    /// Messages of the first member that are late.
    pub late: u32,
    /// Records that are appended once more.
    pub repeats: u32,
    /// Replacements of the first member.
    pub crashes: u32,
    /// Whether what the first member appends after the start is lost.
    pub mute: bool,
    /// The mistake, if any.
    pub mistake: Option<PermitMistake>,
}

/// A step of a member, a worker, time or a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAction {
    /// Time passes by one tick.
    Tick,
    /// The other members do all that they can.
    OthersAct,
    /// The first member reads the log to its end and appends what it proposes.
    Read,
    /// The first member sends a read; the answer is late.
    ReadLate,
    /// The first member takes a permit for a task on the worker of its zone.
    Take,
    /// The first member opens or renews its lease on a worker.
    Lease(usize, PermitKind),
    /// The first member sends a lease request to a worker; it is late.
    LeaseLate(usize, PermitKind),
    /// The start of one of the first member's tasks arrives at its worker.
    Start(usize),
    /// One of the first member's tasks ends, and the member learns of it.
    End(usize),
    /// A late message arrives.
    Arrive(usize),
    /// A record is appended once more.
    Repeat(usize),
    /// The first member is replaced; its tasks run on until their leases end.
    Crash,
}

impl Default for PermitSettings {
    fn default() -> Self {
        Self {
            members: 2,
            floor: false,
            limit: 1,
            validity: 1,
            lease: 2,
            hold_down: 5,
            horizon: 7,
            reads: 1,
            tasks: 0,
            ends: 0,
            late: 0,
            repeats: 0,
            crashes: 0,
            mute: false,
            mistake: None,
        }
    }
}

impl PermitSettings {
    /// Returns whether `mistake` is the one that is put in.
    pub fn mistaken(&self, mistake: PermitMistake) -> bool {
        self.mistake == Some(mistake)
    }
}
