//! Runs on workers as their owner knows them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::pace::FULL_PACE;

/// Progress in percent at which a long-running task is ready.
pub(crate) const READY_PERCENT: u8 = 100;

/// State of a run on a worker as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// An earlier owner placed the run; whether it started is unknown.
    Inherited,
    /// The run is placed, but the placement is not stored yet.
    Planned,
    /// The start was sent and is not answered yet.
    Sent,
    /// The start went unanswered; it is sent again if a later poll does not report the run.
    Unanswered,
    /// The worker reported the run as active, or accepted its start.
    Running,
    /// The run has to be stopped.
    Stopping,
}

/// A run that is, or may be, on a worker.
#[derive(Debug, Clone)]
pub(crate) struct RunRecord {
    pub run: RunNumber,
    /// Checkpoint from which it resumes. It stays the same when a start is repeated, as all members of a
    /// gang have to resume from one.
    pub checkpoint: Option<Arc<str>>,
    /// Resources reserved for the run.
    pub size: ResourceSize,
    pub account: Option<AccountId>,
    pub phase: RunPhase,
    /// When the phase began.
    pub since: Instant,
    /// The worker has reported the run as active to this owner.
    pub reported: bool,
    /// When the last start was sent, or the run inherited, until the worker is known to have
    /// survived the start.
    pub unconfirmed_since: Option<Instant>,
    /// The run is under suspicion: no other start is added to the worker until it has survived.
    pub solo: bool,
    /// Number of starts that went unanswered.
    pub start_attempts: u32,
    /// When the last stop was sent.
    pub stop_sent: Option<Instant>,
    /// When the worker acknowledged a stop.
    pub stop_acknowledged: Option<Instant>,
    /// The task uses spare CPU time; no CPU is reserved for it.
    pub best_effort: bool,
    /// Upper bound of the tail latency of a serving task.
    pub target_latency: Option<Duration>,
    /// Pace in percent of full speed.
    pub pace: u8,
    /// When the pace was last changed.
    pub paced_at: Option<Instant>,
    /// Last reported tail latency or CPU use.
    pub load: Option<u64>,
    /// The task runs until its job is cancelled.
    pub long_running: bool,
    /// Maximum number of the step's tasks that planned stops may make unavailable.
    pub max_unavailable: Option<u32>,
    /// Last reported progress; a long-running task is ready at [`READY_PERCENT`].
    pub percent: u8,
}

impl RunRecord {
    /// Returns whether a start of the run may still be executed.
    pub fn is_unanswered(&self) -> bool {
        self.start_attempts > 0 || matches!(self.phase, RunPhase::Sent | RunPhase::Unanswered)
    }

    /// Returns whether the worker may still crash because of the run's start.
    pub fn is_unconfirmed(&self) -> bool {
        self.phase == RunPhase::Planned || self.unconfirmed_since.is_some()
    }

    /// Returns whether the run is, or may be, active on the worker.
    pub fn has_started(&self) -> bool {
        !matches!(self.phase, RunPhase::Planned | RunPhase::Sent)
    }

    /// Returns the record of a run of `size` that was not placed on the worker.
    pub fn orphan(run: RunNumber, size: ResourceSize, now: Instant) -> Self {
        Self {
            run,
            checkpoint: None,
            size,
            account: None,
            phase: RunPhase::Stopping,
            since: now,
            reported: true,
            unconfirmed_since: None,
            solo: false,
            start_attempts: 0,
            stop_sent: None,
            stop_acknowledged: None,
            best_effort: false,
            target_latency: None,
            pace: FULL_PACE,
            paced_at: None,
            load: None,
            percent: 0,
            long_running: false,
            max_unavailable: None,
        }
    }
}

/// Number of a worker's runs of each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RunCounts {
    pub long_running: usize,
    pub best_effort: usize,
    /// Runs with an upper bound of their tail latency.
    pub serving: usize,
    /// Runs under suspicion.
    pub solo: usize,
}

impl RunCounts {
    pub fn add(&mut self, run: &RunRecord) {
        self.long_running += usize::from(run.long_running);
        self.best_effort += usize::from(run.best_effort);
        self.serving += usize::from(run.target_latency.is_some());
        self.solo += usize::from(run.solo);
    }

    pub fn subtract(&mut self, run: &RunRecord) {
        self.long_running -= usize::from(run.long_running);
        self.best_effort -= usize::from(run.best_effort);
        self.serving -= usize::from(run.target_latency.is_some());
        self.solo -= usize::from(run.solo);
    }
}
