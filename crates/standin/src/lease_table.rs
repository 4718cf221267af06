//! Leases that a stand-in backend server has granted, and the tasks under them.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_link::lease_wire::{FenceReply, StopState};
use pw_worker::prelude::*;

/// Grants leases and decides which tasks may start under them.
///
/// A start request contains the lease and its last renewal number. The table accepts the current
/// renewal number and the previous one, and remembers the identities of tasks for as long as a
/// start request for them may be accepted, so that no task runs twice.
#[derive(Debug)]
pub struct LeaseTable {
    boot: BootId,
    leases: IndexMap<LeaseId, LeaseState>,
    fenced: IndexSet<HolderId>,
}

/// Reference of a start request to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseReference {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// Last renewal number known to the holder.
    pub renewal: RenewalCount,
}

/// Reason why a lease was not granted or renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantError {
    /// The holder is fenced.
    Fenced,
    /// The request is for another boot of the worker.
    BootMismatch,
    /// The lease has ended.
    LeaseEnded,
    /// The request had another renewal number; contains the last grant of the lease.
    RenewalMismatch(LeaseGrant),
}

/// Reason why a start was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartError {
    /// The lease has ended.
    LeaseEnded,
    /// The renewal number is too old, because the request was delayed.
    StaleRenewal,
    /// The task was stopped before it started.
    Stopped,
    /// The task is running or has already run.
    DuplicateTask,
    /// All slots are in use.
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
    /// Renewal number of the lease at the last change of the phase.
    renewal: RenewalCount,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskPhase {
    Blocked,
    Running,
    Ended,
}

impl LeaseTable {
    /// Creates an empty table for `boot`, without any state of earlier boots.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            leases: IndexMap::new(),
            fenced: IndexSet::new(),
        }
    }

    /// Checks that a request for `boot` is for the current boot.
    ///
    /// # Errors
    ///
    /// Fails when it is for another boot.
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
    pub fn grant(
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

    /// Renews a lease if `renewal` is its current renewal number.
    ///
    /// # Errors
    ///
    /// Fails when the lease has ended or another renewal was applied first.
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

    /// Marks a task as running if it may start under the lease with a total of `slots` slots.
    ///
    /// # Errors
    ///
    /// Fails when it may not start. Only [`StartError::DuplicateTask`] leaves open whether it ran.
    pub fn start(
        &mut self,
        now: Instant,
        reference: LeaseReference,
        task: TaskId,
        slots: usize,
    ) -> Result<(), StartError> {
        self.remove_expired(now);
        self.check_duplicate(task)?;
        let has_free_slot = self.running_tasks() < slots;
        let state = self
            .leases
            .get_mut(&reference.lease)
            .ok_or(StartError::LeaseEnded)?;
        if reference.renewal + 1 < state.grant.renewal {
            return Err(StartError::StaleRenewal);
        }
        if !has_free_slot {
            return Err(StartError::NoSlot);
        }
        state.set_phase(task, TaskPhase::Running);
        Ok(())
    }

    /// Marks a task as ended.
    pub fn end(&mut self, lease: LeaseId, task: TaskId) {
        if let Some(state) = self.leases.get_mut(&lease) {
            state.set_phase(task, TaskPhase::Ended);
        }
    }

    /// Stops a task under `lease` or blocks its delayed start; `None` when the lease has ended.
    pub fn stop(&mut self, now: Instant, lease: LeaseId, task: TaskId) -> Option<StopState> {
        self.remove_expired(now);
        let state = self.leases.get_mut(&lease)?;
        let phase = state.tasks.get(&task).map(|record| record.phase);
        let (phase, outcome) = match phase {
            None | Some(TaskPhase::Blocked) => (TaskPhase::Blocked, StopState::NeverStarted),
            Some(TaskPhase::Running) => (TaskPhase::Ended, StopState::Stopped),
            Some(TaskPhase::Ended) => (TaskPhase::Ended, StopState::Finished),
        };
        state.set_phase(task, phase);
        Some(outcome)
    }

    /// Denies `holder` further leases unless it still holds one.
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

    /// Returns when a lease expires unless it is renewed; `None` when it has ended.
    pub fn expires_at(&self, lease: LeaseId) -> Option<Instant> {
        self.leases.get(&lease).map(|state| state.expires_at)
    }

    /// Returns whether the task may continue under `lease`.
    pub fn may_run(&self, now: Instant, lease: LeaseId, task: TaskId) -> bool {
        let running = |record: &TaskRecord| record.phase == TaskPhase::Running;
        self.leases
            .get(&lease)
            .filter(|state| now < state.expires_at)
            .and_then(|state| state.tasks.get(&task))
            .is_some_and(running)
    }

    /// Returns the number of tasks that run under the known leases.
    pub fn running_tasks(&self) -> usize {
        self.leases
            .values()
            .flat_map(|state| state.tasks.values())
            .filter(|record| record.phase == TaskPhase::Running)
            .count()
    }

    fn check_duplicate(&self, task: TaskId) -> Result<(), StartError> {
        let records = self
            .leases
            .values()
            .filter_map(|state| state.tasks.get(&task));
        let phases: Vec<TaskPhase> = records.map(|record| record.phase).collect();
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

    /// Forgets the tasks for which no start request can be accepted any more.
    fn forget_old_tasks(&mut self) {
        let renewal = self.grant.renewal;
        self.tasks.retain(|_, record| {
            record.phase == TaskPhase::Running || renewal <= record.renewal + 1
        });
    }
}
