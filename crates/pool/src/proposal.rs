//! Proposals of planners and the reasons for rejecting them.

use std::time::SystemTime;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

use crate::instance::{DrainPurpose, PhaseKind};

/// Proposal to the pool ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolProposal {
    /// An entry instance claims the planner role.
    Claim {
        /// Term in which the claim was made; an accepted claim starts the next one.
        base: PlannerTerm,
        /// Entry instance that claims the role.
        holder: EntryId,
    },
    /// Renewal of the planner role.
    Heartbeat {
        /// Term of the planner.
        term: PlannerTerm,
    },
    /// Start of a maintenance wave.
    OpenWave {
        /// Term of the planner.
        term: PlannerTerm,
        /// Number of the wave.
        wave: WaveNumber,
        /// Wall-clock time of the planner, read only by planners to schedule the next wave.
        opened: SystemTime,
    },
    /// Changes to instances, each evaluated separately and in order.
    Steps {
        /// Term of the planner.
        term: PlannerTerm,
        /// Steps in order of evaluation.
        steps: Vec<PoolStep>,
    },
}

/// Single change to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStep {
    /// Worker instance to change.
    pub worker: WorkerId,
    /// Offset of the instance's last change known to the planner.
    pub base: LogOffset,
    /// Change to apply.
    pub change: PoolChange,
}

/// Change to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolChange {
    /// The instance was observed alive.
    Appeared {
        /// Observed boot.
        boot: BootId,
    },
    /// The instance is no longer observed alive.
    Failed,
    /// The instance stops accepting tasks.
    Drain {
        /// Purpose of the drain.
        purpose: DrainPurpose,
    },
    /// The drained instance no longer runs tasks.
    Emptied,
    /// The instance starts to reboot.
    Reboot,
    /// The instance moves to another pool.
    Move {
        /// Pool that it leaves.
        from: PoolId,
        /// Pool that it joins.
        to: PoolId,
    },
    /// The drain is cancelled.
    Cancel,
    /// The instance is admitted to service.
    Admit,
}

/// Result of evaluating a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolOutcome {
    /// The proposal was applied, except for the rejected steps.
    Accepted {
        /// Workers and reasons of the rejected steps.
        rejected: Vec<(WorkerId, StepRejection)>,
    },
    /// The proposal was rejected and has no effect.
    Rejected(PoolRejection),
}

/// Reason for rejecting a whole proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolRejection {
    /// The term has ended, or another claim was accepted first.
    StaleTerm,
    /// The wave number is not the next one, or the previous wave is unfinished.
    WaveOutOfTurn,
    /// No step of the proposal was accepted.
    NoStepAccepted,
}

/// Reason for rejecting a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StepRejection {
    /// The worker is not declared.
    UnknownWorker,
    /// The pool is not declared.
    UnknownPool,
    /// The instance has changed since the step was planned.
    StaleState,
    /// The change is not allowed in the instance's phase.
    WrongPhase(PhaseKind),
    /// The pool would have fewer available workers than its availability budget requires.
    BudgetExceeded,
    /// At least half of the instance's rack or zone has failed, and it was not seen alive since.
    DomainFailing,
    /// The instance is not in the source pool of the move.
    NotInPool,
    /// The pool is not a spare pool, or the worker is already on loan or at its destination.
    NotLendable,
    /// The boot has not changed, so the instance has not rebooted.
    SameBoot,
    /// The instance's availability zone is out of service.
    ZoneOut,
}
