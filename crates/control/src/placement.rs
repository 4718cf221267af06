//! Chooses the worker of a run.

use pw_base::prelude::*;
use pw_worker::prelude::*;

/// A worker that could take a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the worker.
    pub worker: &'a WorkerId,
    /// What is free there.
    pub room: ResourceSize,
    /// What it has in total.
    pub capacity: ResourceSize,
    /// It is on the rack where the data lies, or no rack is preferred.
    pub on_preferred_rack: bool,
    /// Runs of the same step there.
    pub siblings: usize,
    /// Runs there whose response times would suffer from a run that fills, and the other way round.
    pub conflicts: usize,
    /// Something that lasts runs there.
    pub has_long_running: bool,
    /// Its machine is to have its upkeep soon.
    pub maintenance_due: bool,
}

/// What is known of a run that is to be placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// What is set aside for it.
    pub size: ResourceSize,
    /// It runs until its job is cancelled.
    pub long_running: bool,
}

/// Way to choose among workers.
pub trait PlacementPolicy {
    /// Returns the index of the candidate that takes a run; `None` when there is none.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// Fills one worker after the other, so that machines of a pool that has more than it needs stand
/// empty and can go to a pool in a surge at once. Spread evenly, each of them would have to wait for
/// the longest of its runs.
///
/// The data's rack goes first, then a worker without runs that would disturb each other. What lasts
/// goes to workers whose machines are not due for upkeep, and then to those where something lasts
/// already, but away from tasks of its own step.
#[derive(Debug, Clone, Copy, Default)]
pub struct PackPlacement;

impl PlacementPolicy for PackPlacement {
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize> {
        let rank = |candidate: &Candidate<'_>| {
            let siblings = if request.long_running {
                candidate.siblings
            } else {
                0
            };
            (
                !candidate.on_preferred_rack,
                candidate.conflicts,
                request.long_running && candidate.maintenance_due,
                request.long_running && !candidate.has_long_running,
                siblings,
                (free_part(candidate) * FREE_STEPS) as u64,
            )
        };
        let numbered = candidates.iter().enumerate();
        let best = numbered.min_by_key(|(_, candidate)| rank(candidate));
        best.map(|(index, _)| index)
    }
}

/// Steps in which free parts are compared.
const FREE_STEPS: f64 = 1e6;

/// Returns the smaller of the free parts of processors and memory.
fn free_part(candidate: &Candidate<'_>) -> f64 {
    let part = |free: u32, total: u32| f64::from(free) / f64::from(total.max(1));
    let Candidate { room, capacity, .. } = candidate;
    part(room.millicores, capacity.millicores).min(part(room.memory_mib, capacity.memory_mib))
}
