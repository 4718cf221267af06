//! Scheduling of waiting tasks onto workers.

use std::time::{Duration, Instant, SystemTime};

use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::backlog::{NextStep, PoolRooms};
use super::persistence::PlannedStart;
use super::room::PoolRoom;
use super::solo_starts::{MAX_SUSPECT_JOBS, admits_start, count_suspect_jobs, has_solo_run};
use super::{JobRecord, ShardController, TaskPosition, reserved_size};
use crate::placement::{Candidate, PlacementRequest};
use crate::run::{RunPhase, RunRecord};
use crate::urgency::terms_of;
use crate::worker::WorkerRecord;

/// Sizes that no worker of a pool could fit in this pass; tasks at least as large are skipped.
type UnplaceableSizes = Vec<(PoolId, ResourceSize)>;

/// Time after which a start without an answer waits for its worker and no longer for this owner.
/// Otherwise a rack that is cut off would hold up the starts on all other workers.
const OWNER_WAIT: Duration = Duration::from_millis(250);

impl ShardController {
    /// Places as many waiting tasks as fit, the most urgent jobs first.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        let mut unplaceable = UnplaceableSizes::new();
        self.blocked.clear();
        self.solo_waiting = false;
        self.quota_refused.clear();
        // Placing tasks marks their jobs as changed; they are indexed again after the pass.
        let backlog = std::mem::take(&mut self.backlog);
        let rooms = backlog
            .pools()
            .map(|pool| (pool.clone(), self.pool_room(pool, now)));
        let mut rooms: PoolRooms = rooms.collect();
        let mut steps = backlog.ready_steps(now);
        let mut budget = self.start_budget(now);
        while budget > 0
            && let Some(next) = steps.next(&rooms)
        {
            let NextStep {
                pool,
                job,
                occurrence,
                step,
            } = next;
            let placed = self.place_step((job, occurrence, step), budget, &mut unplaceable, now);
            if placed > 0 {
                budget = budget.saturating_sub(placed);
                rooms.insert(pool.clone(), self.pool_room(pool, now));
            }
        }
        self.starts_exhausted = budget == 0;
        if self.starts_exhausted {
            let retry_at = now + OWNER_WAIT;
            self.recheck_at = Some(self.recheck_at.map_or(retry_at, |at| at.min(retry_at)));
        }
        self.visits.jobs += steps.visits;
        self.backlog = backlog;
    }

    /// Returns the number of starts that may be added to those without an answer.
    fn start_budget(&self, now: Instant) -> usize {
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let unanswered = runs.filter(|run| match run.phase {
            RunPhase::Planned => true,
            RunPhase::Sent => now < run.since + OWNER_WAIT,
            _ => false,
        });
        let limit = self.settings.max_unanswered_starts;
        limit.saturating_sub(unanswered.count())
    }

    /// Returns the room on the workers of a pool that accept starts.
    fn pool_room(&self, pool: &PoolId, now: Instant) -> PoolRoom {
        PoolRoom::of(self.open_workers(pool, now).filter_map(WorkerRecord::room))
    }

    /// Returns the workers of a pool that accept starts.
    pub(super) fn open_workers<'a>(
        &'a self,
        pool: &'a PoolId,
        now: Instant,
    ) -> impl Iterator<Item = &'a WorkerRecord> {
        self.workers.values().filter(move |worker| {
            worker.entry.pool == *pool
                && worker.accepts_starts(now)
                && worker.counts.solo == 0
                && !self.is_evacuated(&worker.entry.zone)
        })
    }

    /// Returns the terms of a job by its queue's current rule, or those of its submission if this
    /// owner does not know the queue.
    pub(super) fn terms(&self, job: &JobRecord) -> JobTerms {
        let rule = self.config.queues.get(&job.submission.queue);
        rule.map_or(job.submission.terms, |rule| {
            terms_of(&job.submission.spec, rule)
        })
    }

    /// Places up to `limit` tasks of a step, or all tasks of a gang; returns how many were placed.
    fn place_step(
        &mut self,
        (job, occurrence, step): (&JobId, OccurrenceNumber, u32),
        limit: usize,
        unplaceable: &mut UnplaceableSizes,
        now: Instant,
    ) -> usize {
        let Some(record) = self.jobs.get(job) else {
            return 0;
        };
        let spec = record.submission.spec.steps[step as usize].clone();
        let count = spec.count;
        if spec.gang {
            let placed = self.place_gang(job, occurrence, step, &spec, now);
            return if placed { count as usize } else { 0 };
        }
        let mut placed = 0;
        for index in 0..count {
            if placed == limit {
                break;
            }
            let position = (occurrence, step, index);
            if !self.is_startable(job, position, now) {
                continue;
            }
            match self.find_worker(job, position, &spec, unplaceable, now) {
                Some(worker) => {
                    self.place_task(job, position, &worker, now);
                    placed += 1;
                }
                None => {
                    self.record_quota_refusal(job, position, &spec, now);
                    if self.needs_ticket(job) {
                        self.request_advice(&(job.clone(), occurrence, step), &spec, now);
                    }
                    if self.is_suspected(job, position, &spec) {
                        self.solo_waiting = true;
                        continue;
                    }
                    self.count_blocked(job, &spec, now);
                    break;
                }
            }
        }
        placed
    }

    /// Returns whether a run keeps the job's client account within this shard's allocation.
    pub(super) fn within_quota(&self, record: &SubmissionRecord, size: &ResourceSize) -> bool {
        let Some(account) = &record.account else {
            return true;
        };
        let rule = self.config.accounts.get(account);
        rule.is_none_or(|rule| self.budget.allows(account, size, &rule.maximum))
    }

    /// Records that a task finds no worker, if one could start it within a larger allocation.
    fn record_quota_refusal(
        &mut self,
        job: &JobId,
        position: TaskPosition,
        spec: &StepSpec,
        now: Instant,
    ) {
        let Some(record) = self.jobs.get(job).map(|job| &job.submission) else {
            return;
        };
        let size = reserved_size(spec);
        let Some(account) = record.account.as_ref() else {
            return;
        };
        if self.quota_refused.contains(account) || self.within_quota(record, &size) {
            return;
        }
        let name = task_name(job, position);
        let is_startable = self.open_workers(&record.pool, now).any(|worker| {
            worker.has_room(&size, now) && candidate_for(worker, &name, spec).is_some()
        });
        if is_startable {
            let account = account.clone();
            self.quota_refused.insert(account);
        }
    }

    /// Returns whether a worker's machine may still be due for maintenance in a wave. A worker that
    /// started after this owner received the wave counts as maintained.
    fn is_maintenance_due(&self, worker: &WorkerRecord) -> bool {
        let Some(machine) = &worker.entry.machine else {
            return false;
        };
        let life = Duration::from_millis(worker.entry.life);
        let started_at = SystemTime::UNIX_EPOCH + life;
        let waves = self.config.waves.iter();
        let mut waves = waves.filter(|(_, wave)| wave.machines.contains(machine));
        waves.any(|(number, _)| {
            self.waves_received
                .get(number)
                .is_none_or(|received| started_at < *received)
        })
    }

    /// Counts a step as blocked if it waits although some worker of its pool has room for a task. While
    /// workers of the pool crash, it may wait only until that worker has survived other starts.
    fn count_blocked(&mut self, job: &JobId, spec: &StepSpec, now: Instant) {
        let Some(record) = self.jobs.get(job).map(|job| &job.submission) else {
            return;
        };
        if self.crashes.is_watched(&record.pool, now) {
            return;
        }
        let size = reserved_size(spec);
        if !self.within_quota(record, &size) {
            return;
        }
        if self.pool_room(&record.pool, now).fits(&size) {
            *self.blocked.entry(record.pool.clone()).or_default() += 1;
        }
    }

    /// Returns whether a task waits and its retry pause has ended.
    fn is_startable(&self, job: &JobId, position: TaskPosition, now: Instant) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let task = record.state.task(position.0, position.1, position.2);
        let waits = task.is_some_and(TaskState::is_waiting);
        waits
            && record
                .retry_after
                .get(&position)
                .is_none_or(|until| now >= *until)
    }

    /// Places all tasks of a gang, or none; returns whether they were placed.
    fn place_gang(
        &mut self,
        job: &JobId,
        occurrence: OccurrenceNumber,
        step: u32,
        spec: &StepSpec,
        now: Instant,
    ) -> bool {
        let positions: Vec<TaskPosition> = (0..spec.count).map(|i| (occurrence, step, i)).collect();
        if !positions
            .iter()
            .all(|position| self.is_startable(job, *position, now))
        {
            return false;
        }
        self.align_tasks(job, &positions);
        let mut placed = Vec::new();
        for position in &positions {
            let worker = self.find_worker(job, *position, spec, &mut UnplaceableSizes::new(), now);
            let Some(worker) = worker else {
                self.record_quota_refusal(job, *position, spec, now);
                break;
            };
            self.place_task(job, *position, &worker, now);
            placed.push((worker, *position));
        }
        let fits = placed.len() == positions.len();
        if !fits {
            for (worker, position) in placed {
                let name = task_name(job, position);
                let run = self.workers.get(&worker).and_then(|w| w.runs.get(&name));
                if let Some(run) = run.map(|run| run.run) {
                    self.end_run(&worker, &name, run, RunEnd::Stopped, None, now);
                }
            }
            self.placement_needed = false;
        }
        fits
    }

    /// Sets the same last run number and checkpoint for all tasks of a gang, so that their next runs
    /// share them.
    fn align_tasks(&mut self, job: &JobId, positions: &[TaskPosition]) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let state = &mut record.state;
        let tasks = positions.iter().filter_map(|p| state.task(p.0, p.1, p.2));
        let last = tasks.clone().map(|task| task.last_run).max();
        let last = last.unwrap_or_default();
        // They differ in a state that an earlier build has stored.
        let checkpoint = tasks.filter_map(|task| task.checkpoint.clone()).next();
        for position in positions {
            if let Some(task) = state.task_mut(position.0, position.1, position.2) {
                task.last_run = last;
                task.checkpoint.clone_from(&checkpoint);
            }
        }
    }

    fn find_worker(
        &self,
        job: &JobId,
        position: TaskPosition,
        spec: &StepSpec,
        unplaceable: &mut UnplaceableSizes,
        now: Instant,
    ) -> Option<WorkerId> {
        let record = &self.jobs.get(job)?.submission;
        let size = reserved_size(spec);
        if !self.within_quota(record, &size) {
            return None;
        }
        let needs_ticket = self.needs_ticket(job);
        let step_key = (job.clone(), position.0, position.1);
        let solo = self.is_suspected(job, position, spec);
        let watched = self.crashes.is_watched(&record.pool, now);
        let is_constrained = spec.required_label.is_some()
            || spec.max_per_worker > 0
            || needs_ticket
            || solo
            || watched;
        let is_unplaceable =
            |(pool, tried): &(PoolId, ResourceSize)| *pool == record.pool && tried.fits_into(&size);
        if unplaceable.iter().any(is_unplaceable) {
            return None;
        }
        let name = task_name(job, position);
        let adds_solo_worker = solo && self.may_add_solo_worker(&record.pool, &name, spec);
        let open = self.workers.values().filter(|worker| {
            worker.entry.pool == record.pool
                && worker.accepts_starts(now)
                && !self.is_evacuated(&worker.entry.zone)
                && worker.has_room(&size, now)
                && admits_start(worker, &name, solo)
                && (!solo || adds_solo_worker || has_solo_run(worker, job))
                && !(spec.long_running && self.may_have_machine_order(worker, now))
                && (!needs_ticket || self.ticket(&step_key, &worker.entry.id, now).is_some())
        });
        let candidates = open.filter_map(|worker| {
            let candidate = candidate_for(worker, &name, spec)?;
            let maintenance_due = self.is_maintenance_due(worker);
            let suspect_jobs = if watched {
                count_suspect_jobs(worker, job)
            } else {
                0
            };
            (suspect_jobs < MAX_SUSPECT_JOBS).then_some(Candidate {
                maintenance_due,
                suspect_jobs,
                ..candidate
            })
        });
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        if solo {
            self.keep_solo_candidates(&mut candidates, job);
        }
        let request = PlacementRequest {
            size,
            long_running: spec.long_running,
        };
        let chosen = self.placement.choose(&request, &candidates);
        if chosen.is_none() && !is_constrained {
            unplaceable.push((record.pool.clone(), size));
        }
        chosen.map(|index| candidates[index].worker.clone())
    }

    fn place_task(&mut self, job: &JobId, position: TaskPosition, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Some(life) = worker.life else {
            return;
        };
        let machine = worker.entry.machine.clone();
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let placement = TaskPlacement {
            worker: id.clone(),
            life,
            machine,
        };
        let Some(run) = record.state.place(position, placement) else {
            return;
        };
        record.retry_after.remove(&position);
        let task = record.state.task(position.0, position.1, position.2);
        let checkpoint = task.and_then(|task| task.checkpoint.clone());
        self.changed_jobs.insert(job.clone());
        let submission = record.submission.clone();
        let step = position.1 as usize;
        let solo = self.is_suspected(job, position, &submission.spec.steps[step]);
        let run_record = RunRecord {
            solo,
            checkpoint,
            ..self.run_record(&submission, step, run, RunPhase::Planned, now)
        };
        if let Some(account) = &run_record.account {
            self.budget.reserve(account, &run_record.size);
            self.allocation_uses.insert(account.clone(), now);
        }
        let task = task_name(job, position);
        let waited = self.waits.record_placement(&task, now);
        if let Some(waited) = waited {
            metrics::histogram!("pw_long_running_wait_seconds").record(waited);
        }
        if run > 1 {
            let event = EventCode::RunRepeated.number();
            let waited_ms = waited.map(|waited| waited.as_millis() as u64);
            tracing::info!(
                event, %task, run, worker = &**id, life, waited_ms, solo, "task is placed again"
            );
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(task.clone(), run_record);
        }
        self.store_queue.add_start(PlannedStart {
            worker: id.clone(),
            task,
            run,
        });
    }
}

fn task_name(job: &JobId, (occurrence, step, index): TaskPosition) -> TaskName {
    TaskName {
        job: job.clone(),
        occurrence,
        step,
        index,
    }
}

/// Returns a worker as a candidate for a task; `None` if the step may not run there, or the worker's
/// runs exceed its capacity.
pub(super) fn candidate_for<'a>(
    worker: &'a WorkerRecord,
    task: &TaskName,
    spec: &StepSpec,
) -> Option<Candidate<'a>> {
    let entry = &worker.entry;
    let has_label = |label| entry.labels.iter().any(|own| own == label);
    if spec
        .required_label
        .as_ref()
        .is_some_and(|label| !has_label(label))
    {
        return None;
    }
    // The siblings are counted only where the count matters, to save time.
    let counts_siblings = spec.max_per_worker > 0 || spec.long_running;
    let siblings = if counts_siblings {
        count_siblings(worker, task)
    } else {
        0
    };
    if spec.max_per_worker > 0 && siblings >= spec.max_per_worker as usize {
        return None;
    }
    let preferred = spec.preferred_rack.as_ref();
    let is_serving = spec.target_latency.is_some();
    let counts = worker.counts;
    let serving = if spec.best_effort { counts.serving } else { 0 };
    let best_effort = if is_serving { counts.best_effort } else { 0 };
    Some(Candidate {
        worker: &entry.id,
        room: worker.room()?,
        capacity: entry.capacity,
        on_preferred_rack: preferred.is_none_or(|rack| entry.rack.as_ref() == Some(rack)),
        siblings,
        conflicts: serving + best_effort,
        has_long_running: counts.long_running > 0,
        maintenance_due: false,
        suspect_jobs: 0,
    })
}

/// Returns the number of other tasks of the step on a worker.
fn count_siblings(worker: &WorkerRecord, task: &TaskName) -> usize {
    let siblings = worker.runs.keys().filter(|other| {
        other.step == task.step && other.occurrence == task.occurrence && other.job == task.job
    });
    siblings.count()
}
