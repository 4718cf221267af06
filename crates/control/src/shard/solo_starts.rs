//! Solo starts: a task under which a worker has crashed starts on a worker that has survived all its
//! other starts, and that gets no more of them until it has survived this one too. Tasks of one job
//! may share such a worker: a job fails as a whole, so that a crash still has one culprit only.

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, TaskPosition};
use crate::placement::Candidate;
use crate::run::RunRecord;
use crate::worker::WorkerRecord;

/// Number of workers of a pool that may have solo starts at the same time, at least. The bound limits how
/// fast a pool loses workers to tasks that crash them.
const MIN_SOLO_WORKERS: usize = 3;
/// In a large pool, one worker in this many may have solo starts.
const SOLO_SHARE: usize = 4;
/// Jobs whose starts a worker may have to survive at the same time while workers of its pool crash: the
/// suspects of one more crash.
pub(super) const MAX_SUSPECT_JOBS: usize = 3;
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

    /// Returns whether one more worker of a pool may get solo starts, besides those of the task's gang.
    pub(super) fn may_add_solo_worker(
        &self,
        pool: &PoolId,
        task: &TaskName,
        spec: &StepSpec,
    ) -> bool {
        let answering = self
            .workers
            .values()
            .filter(|worker| worker.entry.pool == *pool && worker.missed_polls <= MAX_SOLO_MISSES);
        let (mut workers, mut busy) = (0, 0);
        for worker in answering {
            let mut runs = worker.runs.iter();
            workers += 1;
            busy += usize::from(
                worker.counts.solo > 0
                    && runs.any(|(name, run)| run.solo && !is_member(name, task, spec)),
            );
        }
        busy < MIN_SOLO_WORKERS.max(workers / SOLO_SHARE)
    }

    /// Keeps the candidates that have solo starts of the job already, or else those with the fewest
    /// runs, which a crash would end.
    pub(super) fn keep_solo_candidates(&self, candidates: &mut Vec<Candidate<'_>>, job: &JobId) {
        let rank = |candidate: &Candidate<'_>| {
            let worker = self.workers.get(candidate.worker);
            worker.map(|worker| (!has_solo_run(worker, job), worker.runs.len()))
        };
        let least = candidates.iter().map(rank).min();
        candidates.retain(|candidate| Some(rank(candidate)) == least);
    }
}

/// Returns whether a worker has a solo start of a job that it has not survived yet.
pub(super) fn has_solo_run(worker: &WorkerRecord, job: &JobId) -> bool {
    let mut runs = worker.runs.iter();
    worker.counts.solo > 0 && runs.any(|(name, run)| run.solo && name.job == *job)
}

/// Returns the number of other jobs with starts that a worker has not survived yet.
pub(super) fn count_suspect_jobs(worker: &WorkerRecord, job: &JobId) -> usize {
    let runs = worker.runs.iter();
    let suspects = runs.filter(|(name, run)| run.is_unconfirmed() && name.job != *job);
    let jobs: IndexSet<&JobId> = suspects.map(|(name, _)| &name.job).collect();
    jobs.len()
}

/// Returns whether a worker may get a start beside those that it has not survived yet.
pub(super) fn admits_start(worker: &WorkerRecord, task: &TaskName, solo: bool) -> bool {
    let mut runs = worker.runs.iter();
    let blocks = |run: &RunRecord| run.solo || solo && run.is_unconfirmed();
    worker.counts.solo == 0 && !solo || runs.all(|(name, run)| !blocks(run) || name.job == task.job)
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
