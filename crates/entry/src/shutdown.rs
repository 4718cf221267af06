//! State machine for the graceful shutdown of an entry instance.

use std::time::{Duration, Instant};

use pw_link::prelude::*;

/// Time limits of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long the load balancer may keep sending requests after the entry instance reports that
    /// it is not ready.
    pub balancer_lag: Duration,
    /// Maximum time from the first signal to the end of the process.
    pub timeout: Duration,
}

/// Controls the shutdown of an entry instance from the first signal to the end.
///
/// The instance first reports that it is not ready but continues to serve; then it refuses new work
/// and finishes what is running.
#[derive(Debug)]
pub struct ShutdownPlan {
    settings: ShutdownSettings,
    phase: ServePhase,
    started_at: Option<Instant>,
}

/// Input of a [`ShutdownPlan`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownEvent {
    /// A stop signal was received.
    SignalArrived,
    /// All requests are answered and all tasks have ended.
    WorkFinished,
    /// A deadline may have passed.
    TimePassed,
}

/// Action requested by a [`ShutdownPlan`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownCommand {
    /// Enter a phase.
    Enter(ServePhase),
    /// Stop all duties now.
    Stop(ShutdownVerdict),
}

/// Outcome of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownVerdict {
    /// All work was finished.
    Finished,
    /// The timeout expired before all work was finished.
    TimedOut,
    /// A second signal aborted the shutdown.
    Interrupted,
}

impl ShutdownPlan {
    /// Creates the plan of an instance in phase [`ServePhase::Serving`].
    pub fn new(settings: ShutdownSettings) -> Self {
        Self {
            settings,
            phase: ServePhase::Serving,
            started_at: None,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ServePhase {
        self.phase
    }

    /// Handles one event and returns the requested action, if any.
    pub fn handle(&mut self, now: Instant, event: ShutdownEvent) -> Option<ShutdownCommand> {
        match event {
            ShutdownEvent::SignalArrived if self.started_at.is_none() => {
                self.started_at = Some(now);
                Some(self.enter(ServePhase::Lingering))
            }
            ShutdownEvent::SignalArrived => {
                Some(ShutdownCommand::Stop(ShutdownVerdict::Interrupted))
            }
            ShutdownEvent::WorkFinished if self.phase == ServePhase::Draining => {
                Some(ShutdownCommand::Stop(ShutdownVerdict::Finished))
            }
            ShutdownEvent::WorkFinished | ShutdownEvent::TimePassed => self.check_deadline(now),
        }
    }

    /// Returns when [`ShutdownEvent::TimePassed`] is due, if a shutdown is in progress.
    pub fn next_deadline(&self) -> Option<Instant> {
        let started_at = self.started_at?;
        Some(match self.phase {
            ServePhase::Serving | ServePhase::Lingering => started_at + self.settings.balancer_lag,
            ServePhase::Draining => started_at + self.settings.timeout,
        })
    }

    fn check_deadline(&mut self, now: Instant) -> Option<ShutdownCommand> {
        if self.next_deadline().is_none_or(|deadline| now < deadline) {
            return None;
        }
        Some(match self.phase {
            ServePhase::Draining => ShutdownCommand::Stop(ShutdownVerdict::TimedOut),
            ServePhase::Serving | ServePhase::Lingering => self.enter(ServePhase::Draining),
        })
    }

    fn enter(&mut self, phase: ServePhase) -> ShutdownCommand {
        self.phase = phase;
        ShutdownCommand::Enter(phase)
    }
}
