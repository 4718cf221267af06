//! Choice of the worker for a run.

use pw_base::prelude::*;
use pw_worker::prelude::*;

/// A worker that is eligible for a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the worker.
    pub worker: &'a WorkerId,
    /// Unreserved resources.
    pub room: ResourceSize,
    /// Total resources.
    pub capacity: ResourceSize,
    /// The worker is on the preferred rack, the one that holds the data, or no rack is preferred.
    pub on_preferred_rack: bool,
    /// Number of runs of the same step on the worker.
    pub siblings: usize,
    /// Number of serving runs on the worker if the new run is best-effort, or of best-effort runs
    /// if it serves.
    pub conflicts: usize,
    /// The worker has a long-running task.
    pub has_long_running: bool,
    /// The worker's machine is due for maintenance.
    pub maintenance_due: bool,
    /// Number of other jobs whose starts the worker has not survived yet, while workers of the pool
    /// crash; otherwise 0.
    pub suspect_jobs: usize,
}

/// Requirements of a run to place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Resources to reserve.
    pub size: ResourceSize,
    /// The task runs until its job is cancelled.
    pub long_running: bool,
}

/// Policy that chooses a worker among candidates.
pub trait PlacementPolicy {
    /// Returns the index of the chosen candidate; `None` if there are no candidates.
    fn choose(&self, request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// Packs runs onto the fullest workers, so that surplus machines of a pool stay empty and can move
/// to an overloaded pool at once. With runs spread evenly, each machine would first have to wait
/// for its longest run.
///
/// Workers on the preferred rack rank first, then those with the fewest latency conflicts.
/// Long-running tasks prefer workers whose machines are not due for maintenance, then workers that
/// already have long-running tasks, and among these the ones with the fewest tasks of the same
/// step. While workers of the pool crash, jobs start on workers of their own if they can, so that each
/// crash has few suspects.
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
                candidate.suspect_jobs,
                (free_fraction(candidate) * FRACTION_STEPS) as u64,
            )
        };
        let indexed = candidates.iter().enumerate();
        let best = indexed.min_by_key(|(_, candidate)| rank(candidate));
        best.map(|(index, _)| index)
    }
}

/// Resolution of the comparison of free fractions.
const FRACTION_STEPS: f64 = 1e6;

/// Returns the smaller of the free fractions of CPU and memory.
fn free_fraction(candidate: &Candidate<'_>) -> f64 {
    let fraction = |free: u32, total: u32| f64::from(free) / f64::from(total.max(1));
    let Candidate { room, capacity, .. } = candidate;
    fraction(room.millicores, capacity.millicores)
        .min(fraction(room.memory_mib, capacity.memory_mib))
}
