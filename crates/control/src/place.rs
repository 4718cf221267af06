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
    pub near_data: bool,
    /// Runs of the same step there.
    pub siblings: usize,
    /// Runs there whose response times would suffer from a run that fills, and the other way round.
    pub disturbed: usize,
    /// Something that lasts runs there.
    pub anchored: bool,
}

/// What is known of a run that is to be placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// What is set aside for it.
    pub size: ResourceSize,
    /// It runs until its job is cancelled.
    pub lasts: bool,
}

/// Way to choose among workers.
pub trait PlacementPolicy {
    /// Returns the index of the candidate that takes a run; `None` when there is none.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// Prefers the data's rack, then a worker without runs that would disturb each other, then the one
/// with the largest free part, so that load and the loss of a worker spread evenly.
///
/// What lasts goes to workers where something lasts already, so that the machines of the others can
/// be moved to another pool at any time.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpreadPlacement;

impl PlacementPolicy for SpreadPlacement {
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize> {
        let rank = |candidate: &Candidate<'_>| {
            let free = free_part(candidate);
            (
                !candidate.near_data,
                candidate.disturbed,
                request.lasts && !candidate.anchored,
                candidate.siblings,
                u64::MAX - (free * 1e6) as u64,
            )
        };
        let numbered = candidates.iter().enumerate();
        let best = numbered.min_by_key(|(_, candidate)| rank(candidate));
        best.map(|(index, _)| index)
    }
}

/// Returns the smaller of the free parts of processors and memory.
fn free_part(candidate: &Candidate<'_>) -> f64 {
    let part = |free: u32, total: u32| f64::from(free) / f64::from(total.max(1));
    let Candidate { room, capacity, .. } = candidate;
    part(room.millicores, capacity.millicores).min(part(room.memory_mib, capacity.memory_mib))
}
