//! The leases that a stand-in backend server has granted and the tasks under them.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_link::lease_wire::{FenceReply, StopState};
use pw_worker::prelude::*;

/// Grants leases, and decides which starts may run under them.
///
/// A start names the lease and its last renewal. The table takes the current renewal and the one
/// before it, and remembers the identities of tasks for as long, so that no start runs twice.
#[derive(Debug)]
pub struct LeaseTable {
    boot: BootId,
    leases: IndexMap<LeaseId, LeaseState>,
    fenced: IndexSet<HolderId>,
}

/// Lease as a start names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseReference {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// Number of its last renewal that the holder knew.
    pub renewal: RenewalCount,
}

/// Why a lease was not granted or renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantError {
    /// The holder is fenced.
    Fenced,
    /// The request names another boot of the worker.
    BootMismatch,
    /// The lease has ended.
    LeaseEnded,
    /// The renewal named another number; this is the state of the lease.
    RenewalMismatch(LeaseGrant),
}

/// Why a start was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartError {
    /// The lease has ended.
    LeaseEnded,
    /// The start names a renewal that is too old: it was delayed.
    StaleRenewal,
    /// The task was stopped before it started.
    Stopped,
    /// The identity is known: the task runs or has run.
    DuplicateTask,
    /// All slots are taken.
    NoSlot,
}

#[derive(Debug)]
struct LeaseState {
    holder: HolderId,
    grant: LeaseGrant,
    expires_at: Instant,
    tasks: IndexMap<TaskId, TaskRecord>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TaskRecord {
    phase: TaskPhase,
    /// Renewal at which its identity came up last.
    renewal: RenewalCount,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskPhase {
    Blocked,
    Running,
    Ended,
}

impl LeaseTable {
    /// Creates the table of the boot `boot`; it knows nothing of the boots before it.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            leases: IndexMap::new(),
            fenced: IndexSet::new(),
        }
    }

    /// Returns whether a request that names `boot` is for this one.
    ///
    /// # Errors
    ///
    /// Fails when it names another boot.
    pub fn check_boot(&self, boot: Option<BootId>) -> Result<(), GrantError> {
        match boot {
            Some(boot) if boot != self.boot => Err(GrantError::BootMismatch),
            _ => Ok(()),
        }
    }

    /// Grants a new lease with the identity `lease`.
    ///
    /// # Errors
    ///
    /// Fails when the holder is fenced.
    pub fn take(
        &mut self,
        now: Instant,
        lease: LeaseId,
        holder: HolderId,
        ttl: Duration,
    ) -> Result<LeaseGrant, GrantError> {
        self.remove_expired(now);
        if self.fenced.contains(&holder) {
            return Err(GrantError::Fenced);
        }
        let grant = LeaseGrant {
            lease,
            renewal: 0,
            ttl,
            boot: self.boot,
        };
        let state = LeaseState {
            holder,
            grant,
            expires_at: now + ttl,
            tasks: IndexMap::new(),
        };
        self.leases.insert(lease, state);
        Ok(grant)
    }

    /// Renews a lease when `renewal` is the number of its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when the lease has ended or another renewal came first.
    pub fn renew(
        &mut self,
        now: Instant,
        lease: LeaseId,
        renewal: RenewalCount,
    ) -> Result<LeaseGrant, GrantError> {
        self.remove_expired(now);
        let state = self.leases.get_mut(&lease).ok_or(GrantError::LeaseEnded)?;
        if state.grant.renewal != renewal {
            return Err(GrantError::RenewalMismatch(state.grant));
        }
        state.grant.renewal += 1;
        state.expires_at = now + state.grant.ttl;
        state.forget_old_tasks();
        Ok(state.grant)
    }

    /// Marks a task as running when it may start under `lease` on one of `slots` slots.
    ///
    /// # Errors
    ///
    /// Fails when it may not start; only [`StartError::DuplicateTask`] leaves open whether it ran.
    pub fn start(
        &mut self,
        now: Instant,
        reference: LeaseReference,
        task: TaskId,
        slots: usize,
    ) -> Result<(), StartError> {
        self.remove_expired(now);
        self.check_duplicate(task)?;
        let free = self.running_tasks() < slots;
        let state = self
            .leases
            .get_mut(&reference.lease)
            .ok_or(StartError::LeaseEnded)?;
        if reference.renewal + 1 < state.grant.renewal {
            return Err(StartError::StaleRenewal);
        }
        if !free {
            return Err(StartError::NoSlot);
        }
        state.set_phase(task, TaskPhase::Running);
        Ok(())
    }

    /// Notes that a task has ended.
    pub fn end(&mut self, lease: LeaseId, task: TaskId) {
        if let Some(state) = self.leases.get_mut(&lease) {
            state.set_phase(task, TaskPhase::Ended);
        }
    }

    /// Stops a task under `lease`, or bars a late start of it; `None` when the lease has ended.
    pub fn stop(&mut self, now: Instant, lease: LeaseId, task: TaskId) -> Option<StopState> {
        self.remove_expired(now);
        let state = self.leases.get_mut(&lease)?;
        let known = state.tasks.get(&task).map(|known| known.phase);
        let (phase, outcome) = match known {
            None | Some(TaskPhase::Blocked) => (TaskPhase::Blocked, StopState::NeverStarted),
            Some(TaskPhase::Running) => (TaskPhase::Ended, StopState::Stopped),
            Some(TaskPhase::Ended) => (TaskPhase::Ended, StopState::Finished),
        };
        state.set_phase(task, phase);
        Some(outcome)
    }

    /// Bars `holder` from further leases unless it still holds one.
    pub fn fence(&mut self, now: Instant, holder: HolderId) -> FenceReply {
        self.remove_expired(now);
        let held = |state: &&LeaseState| state.holder == holder;
        let held_leases = self.leases.values().filter(held).count();
        if held_leases == 0 {
            self.fenced.insert(holder);
        }
        FenceReply {
            held_leases: u32::try_from(held_leases).unwrap_or(u32::MAX),
        }
    }

    /// Returns when a lease ends unless it is renewed; `None` when it has ended.
    pub fn expires_at(&self, lease: LeaseId) -> Option<Instant> {
        self.leases.get(&lease).map(|state| state.expires_at)
    }

    /// Returns whether the task may go on under `lease`.
    pub fn may_run(&self, now: Instant, lease: LeaseId, task: TaskId) -> bool {
        let running = |known: &TaskRecord| known.phase == TaskPhase::Running;
        self.leases
            .get(&lease)
            .filter(|state| now < state.expires_at)
            .and_then(|state| state.tasks.get(&task))
            .is_some_and(running)
    }

    /// Returns how many tasks run under leases that have not ended.
    pub fn running_tasks(&self) -> usize {
        self.leases
            .values()
            .flat_map(|state| state.tasks.values())
            .filter(|known| known.phase == TaskPhase::Running)
            .count()
    }

    fn check_duplicate(&self, task: TaskId) -> Result<(), StartError> {
        let known = self
            .leases
            .values()
            .filter_map(|state| state.tasks.get(&task));
        let phases: Vec<TaskPhase> = known.map(|known| known.phase).collect();
        match phases.as_slice() {
            [] => Ok(()),
            phases if phases.iter().all(|phase| *phase == TaskPhase::Blocked) => {
                Err(StartError::Stopped)
            }
            _ => Err(StartError::DuplicateTask),
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.leases.retain(|_, state| now < state.expires_at);
    }
}

impl LeaseState {
    fn set_phase(&mut self, task: TaskId, phase: TaskPhase) {
        let renewal = self.grant.renewal;
        self.tasks.insert(task, TaskRecord { phase, renewal });
    }

    /// Forgets the identities that no start may name any more.
    fn forget_old_tasks(&mut self) {
        let renewal = self.grant.renewal;
        self.tasks
            .retain(|_, known| known.phase == TaskPhase::Running || renewal <= known.renewal + 1);
    }
}
