//! The decision object for the graceful shutdown of an entry instance.

use std::time::{Duration, Instant};

use pw_link::prelude::*;

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long the balancer may go on to send requests after the entry instance is not ready.
    pub balancer_lag: Duration,
    /// Longest time from the first signal to the end.
    pub timeout: Duration,
}

/// Leads an entry instance from its first signal to its end.
///
/// It first serves on while it reports that it is not ready, then takes no new work and finishes
/// what runs.
#[derive(Debug)]
pub struct ShutdownPlan {
    settings: ShutdownSettings,
    phase: ServePhase,
    began: Option<Instant>,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownEvent {
    /// A signal to stop arrived.
    SignalArrived,
    /// All requests have been answered and all tasks have ended.
    WorkFinished,
    /// Time has passed.
    TimePassed,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownCommand {
    /// Enter a phase.
    Enter(ServePhase),
    /// End now.
    Stop(ShutdownVerdict),
}

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownVerdict {
    /// Nothing was cut off.
    Finished,
    /// The time was over before all work had ended.
    TimedOut,
    /// A second signal cut it short.
    Interrupted,
}

impl ShutdownPlan {
    /// Creates the plan of an instance that serves.
    pub fn new(settings: ShutdownSettings) -> Self {
        Self {
            settings,
            phase: ServePhase::Serving,
            began: None,
        }
    }

    /// Returns the phase that the instance is in.
    pub fn phase(&self) -> ServePhase {
        self.phase
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: ShutdownEvent) -> Option<ShutdownCommand> {
        match event {
            ShutdownEvent::SignalArrived if self.began.is_none() => {
                self.began = Some(now);
                Some(self.enter(ServePhase::Lingering))
            }
            ShutdownEvent::SignalArrived => {
                Some(ShutdownCommand::Stop(ShutdownVerdict::Interrupted))
            }
            ShutdownEvent::WorkFinished if self.phase == ServePhase::Draining => {
                Some(ShutdownCommand::Stop(ShutdownVerdict::Finished))
            }
            ShutdownEvent::WorkFinished | ShutdownEvent::TimePassed => self.pass_time(now),
        }
    }

    /// Returns when the plan wants [`ShutdownEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        let began = self.began?;
        Some(match self.phase {
            ServePhase::Serving | ServePhase::Lingering => began + self.settings.balancer_lag,
            ServePhase::Draining => began + self.settings.timeout,
        })
    }

    fn pass_time(&mut self, now: Instant) -> Option<ShutdownCommand> {
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
