//! Solo starts: a task under which a worker has crashed starts on a worker that has survived all its
//! other starts, and that gets no more of them until it has survived this one too.

use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, TaskPosition};
use crate::placement::Candidate;
use crate::worker::{RunRecord, WorkerRecord};

/// Maximum number of workers of a pool with a solo start. It bounds how fast a pool loses workers to
/// tasks that crash them.
const MAX_SOLO_STARTS: usize = 3;
/// Unanswered polls in a row, within about a second, up to which a worker counts towards this maximum.
const MAX_SOLO_MISSES: u32 = 3;

impl ShardController {
    /// Returns whether a worker crashed when it started the task, or a member of its gang.
    pub(super) fn is_suspected(
        &self,
        job: &JobId,
        position: TaskPosition,
        spec: &StepSpec,
    ) -> bool {
        let Some(job) = self.jobs.get(job) else {
            return false;
        };
        let (occurrence, step, _) = position;
        let members = if spec.gang { spec.count } else { 0 };
        job.state.is_suspected(position)
            || (0..members).any(|index| job.state.is_suspected((occurrence, step, index)))
    }

    /// Returns whether one more task may start alone in a pool, besides the other members of its
    /// gang.
    pub(super) fn may_start_solo(&self, pool: &PoolId, task: &TaskName, spec: &StepSpec) -> bool {
        let busy = self.workers.values().filter(|worker| {
            let mut runs = worker.runs.iter();
            worker.counts.solo > 0
                && worker.entry.pool == *pool
                && worker.missed_polls <= MAX_SOLO_MISSES
                && runs.any(|(name, run)| run.solo && !is_member(name, task, spec))
        });
        busy.count() < MAX_SOLO_STARTS
    }

    /// Keeps the candidates with the fewest runs, which a crash would end.
    pub(super) fn keep_emptiest(&self, candidates: &mut Vec<Candidate<'_>>) {
        let run_count = |candidate: &Candidate<'_>| {
            let worker = self.workers.get(candidate.worker);
            worker.map_or(0, |worker| worker.runs.len())
        };
        let fewest = candidates.iter().map(run_count).min();
        candidates.retain(|candidate| Some(run_count(candidate)) == fewest);
    }
}

/// Returns whether a worker may get a start beside those that it has not survived yet.
pub(super) fn admits_start(
    worker: &WorkerRecord,
    task: &TaskName,
    spec: &StepSpec,
    solo: bool,
) -> bool {
    let mut runs = worker.runs.iter();
    let blocks = |run: &RunRecord| run.solo || solo && run.is_unconfirmed();
    worker.counts.solo == 0 && !solo
        || runs.all(|(name, run)| !blocks(run) || is_member(name, task, spec))
}

/// Returns the number of waiting tasks of a step that start only after others of it, as each of them
/// starts alone. They need no room yet.
pub(super) fn postponed_starts(
    state: &JobState,
    occurrence: &OccurrenceState,
    step: usize,
    spec: &StepSpec,
) -> u64 {
    if spec.gang || state.crashes.is_empty() {
        return 0;
    }
    let waiting = occurrence.steps[step].iter().enumerate();
    let waiting = waiting.filter(|(_, task)| task.is_waiting());
    let alone = waiting.filter(|(index, _)| {
        let position = (occurrence.number, step as u32, *index as u32);
        state.is_suspected(position)
    });
    (alone.count() as u64).saturating_sub(1)
}

/// Returns whether another run is one of the same gang.
fn is_member(other: &TaskName, task: &TaskName, spec: &StepSpec) -> bool {
    spec.gang
        && other.step == task.step
        && other.occurrence == task.occurrence
        && other.job == task.job
}
