//! The border between the dispatch desk and the way in which limits are kept.

use std::time::Instant;

use pw_base::prelude::*;
use pw_team::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Right to have one task of a team running.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskPermit {
    /// Team that the permit counts against.
    pub team: TeamId,
    /// Which of the holder's permits it is.
    pub kind: PermitKind,
}

/// Where a permit may be used and how it can be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitKind {
    /// Usable in the holder's own availability zone; survives an outage of the log.
    Floor,
    /// Usable everywhere while the holder's reading of the log is fresh.
    Float,
}

/// Hands out permits to start tasks.
pub trait PermitGate: Send {
    /// Sets the teams with their limits; tasks that run keep running above a lowered one.
    fn set_teams(&mut self, teams: &[TeamSpec]);

    /// Takes a permit to start a task of `team` on a worker in `zone`.
    fn take(&mut self, now: Instant, team: &TeamId, zone: &ZoneId) -> Option<TaskPermit>;

    /// Gives a permit back once its task has certainly ended.
    fn give_back(&mut self, now: Instant, permit: TaskPermit);

    /// Sets how many tasks of `team` wait for a permit.
    fn set_demand(&mut self, now: Instant, team: &TeamId, waiting: u32);
}
