//! What planners propose, and why a proposal has no effect.

use std::time::SystemTime;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

use crate::instance::{DrainPurpose, PhaseKind};

/// Proposal to the pool ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolProposal {
    /// An entry instance takes over the planner duty.
    Claim {
        /// Term that the claim was made in; the new term is the next one.
        base: PlannerTerm,
        /// Entry instance that plans from then on.
        holder: EntryId,
    },
    /// The planner is alive.
    Heartbeat {
        /// Term of the planner.
        term: PlannerTerm,
    },
    /// The planner opens a maintenance wave.
    OpenWave {
        /// Term of the planner.
        term: PlannerTerm,
        /// Number of the wave.
        wave: WaveNumber,
        /// Wall-clock time at the planner; only planners read it, to time the next wave.
        opened: SystemTime,
    },
    /// The planner changes instances; each step is judged by itself, in order.
    Steps {
        /// Term of the planner.
        term: PlannerTerm,
        /// The steps.
        steps: Vec<PoolStep>,
    },
}

/// One change to one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStep {
    /// Worker instance to change.
    pub worker: WorkerId,
    /// Offset of the instance's last change that the planner knew.
    pub base: LogOffset,
    /// The change.
    pub change: PoolChange,
}

/// A change to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolChange {
    /// It was seen alive.
    Appeared {
        /// Boot that was seen.
        boot: BootId,
    },
    /// It is no longer seen alive.
    Failed,
    /// It gets no new tasks.
    Drain {
        /// Why.
        purpose: DrainPurpose,
    },
    /// It runs no task any more.
    Emptied,
    /// Its reboot begins.
    Reboot,
    /// It changes pools.
    Move {
        /// Pool that it leaves.
        from: PoolId,
        /// Pool that it joins.
        to: PoolId,
    },
    /// The drain is given up.
    Cancel,
    /// It goes into service.
    Admit,
}

/// What the ledger did with a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolOutcome {
    /// The proposal is in force, except for the steps listed.
    Accepted {
        /// Steps that have no effect.
        rejected: Vec<(WorkerId, StepRejection)>,
    },
    /// The proposal has no effect.
    Rejected(PoolRejection),
}

/// Why a whole proposal has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolRejection {
    /// The planner's term is over, or another claim came first.
    StaleTerm,
    /// The wave is not the next one, or the one before it is not finished.
    WaveOutOfTurn,
    /// No step of the proposal was accepted.
    NoStepAccepted,
}

/// Why a step has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StepRejection {
    /// No such worker is declared.
    UnknownWorker,
    /// The pool is not declared.
    UnknownPool,
    /// The instance has changed since the step was planned.
    StaleState,
    /// The change does not follow from the instance's phase.
    WrongPhase(PhaseKind),
    /// The pool would have fewer available workers than its availability budget leaves.
    BudgetExceeded,
    /// Half of the instance's rack or zone has failed, and it was not seen alive since.
    DomainFailing,
    /// The instance is not in the pool that the step names.
    NotInPool,
    /// The pool lends no workers, or the worker is not its own.
    NotLendable,
    /// The instance has not rebooted.
    SameBoot,
    /// The instance's availability zone is out of service.
    ZoneOut,
}
