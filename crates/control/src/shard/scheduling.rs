//! Places waiting tasks on workers.

use std::time::{Duration, Instant, SystemTime};

use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::persistence::PlannedStart;
use super::{JobRecord, ShardController, TaskPlace, reserved_size};
use crate::placement::{Candidate, PlacementRequest};
use crate::urgency::{JobUrgency, remaining_chain, terms_of, urgency};
use crate::worker::{RunPhase, WorkerRecord};

/// Sizes that found no room in this pass, by pool; what is as large is not tried again.
type FullSizes = Vec<(PoolId, ResourceSize)>;

impl ShardController {
    /// Places as many waiting tasks as fit, the most urgent jobs first.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        let mut waiting = self.waiting_jobs(now);
        waiting.sort_by_key(|(urgency, _)| *urgency);
        let mut full = FullSizes::new();
        self.blocked.clear();
        for (_, job) in waiting {
            for (occurrence, step) in self.ready_steps(&job) {
                self.place_step(&job, occurrence, step, &mut full, now);
            }
        }
    }

    fn waiting_jobs(&self, now: Instant) -> Vec<(JobUrgency, JobId)> {
        let jobs = self.open_records().filter(|(_, job)| !job.is_over());
        let waiting = jobs.filter_map(|(id, job)| {
            let spec = &job.record.spec;
            let mut waits = false;
            let mut left = std::time::Duration::ZERO;
            for occurrence in &job.state.occurrences {
                waits |= occurrence.steps.iter().flatten().any(TaskState::is_waiting);
                left = left.max(remaining_chain(spec, occurrence));
            }
            waits.then(|| {
                (
                    urgency(&self.terms(job), job.arrived, left, now),
                    id.clone(),
                )
            })
        });
        waiting.collect()
    }

    /// Returns the rules of a job: those of its queue today, or those of its acceptance where this
    /// owner does not know the queue.
    pub(super) fn terms(&self, job: &JobRecord) -> JobTerms {
        let rule = self.config.queues.get(&job.record.queue);
        rule.map_or(job.record.terms, |rule| terms_of(&job.record.spec, rule))
    }

    /// Returns the steps of a job with tasks that wait and may start.
    fn ready_steps(&self, job: &JobId) -> Vec<(OccurrenceNumber, u32)> {
        let Some(job) = self.jobs.get(job) else {
            return Vec::new();
        };
        let spec = &job.record.spec;
        let mut ready = Vec::new();
        for occurrence in &job.state.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                let waits = tasks.iter().any(TaskState::is_waiting);
                if waits && occurrence.step_ready(spec, step) {
                    ready.push((occurrence.number, step as u32));
                }
            }
        }
        ready
    }

    fn place_step(
        &mut self,
        job: &JobId,
        occurrence: OccurrenceNumber,
        step: u32,
        full: &mut FullSizes,
        now: Instant,
    ) {
        let Some(record) = self.jobs.get(job) else {
            return;
        };
        let spec = record.record.spec.steps[step as usize].clone();
        let count = spec.count;
        if spec.gang {
            return self.place_gang(job, occurrence, step, &spec, now);
        }
        for index in 0..count {
            let place = (occurrence, step, index);
            if !self.may_start(job, place, now) {
                continue;
            }
            match self.find_worker(job, place, &spec, full, now) {
                Some(worker) => self.place_task(job, place, &worker, now),
                None => {
                    let queue = self.jobs.get(job).map(|job| job.record.queue.clone());
                    if queue.is_some_and(|queue| self.advice_rule(&queue).is_some()) {
                        self.ask_advice(&(job.clone(), occurrence, step), &spec, now);
                    }
                    return self.note_blocked(job, &spec, now);
                }
            }
        }
    }

    /// Returns whether a run keeps the job's account within its part of its maximum.
    fn within_maximum(&self, record: &SubmissionRecord, size: &ResourceSize) -> bool {
        let Some(account) = &record.account else {
            return true;
        };
        let rule = self.config.accounts.get(account);
        rule.is_none_or(|rule| self.budget.allows(account, size, &rule.maximum))
    }

    /// Returns whether a worker's machine is in a maintenance wave and may not have had its upkeep:
    /// a worker that began its life after this owner heard of the wave has.
    fn is_maintenance_due(&self, worker: &WorkerRecord) -> bool {
        let Some(machine) = &worker.entry.machine else {
            return false;
        };
        let life = Duration::from_millis(worker.entry.life);
        let born = SystemTime::UNIX_EPOCH + life;
        let waves = self.config.waves.iter();
        let mut waves = waves.filter(|(_, wave)| wave.machines.contains(machine));
        waves.any(|(number, _)| {
            self.waves_heard
                .get(number)
                .is_none_or(|heard| born < *heard)
        })
    }

    /// Counts a task that waits although some worker of its pool has room for it.
    fn note_blocked(&mut self, job: &JobId, spec: &StepSpec, now: Instant) {
        let Some(record) = self.jobs.get(job).map(|job| &job.record) else {
            return;
        };
        let size = reserved_size(spec);
        if !self.within_maximum(record, &size) {
            return;
        }
        let room = self.workers.values().any(|worker| {
            let open = worker.entry.pool == record.pool
                && worker.takes_starts(now)
                && !self.is_evacuated(&worker.entry.zone);
            open && size.fits_into(&worker.room())
        });
        if room {
            *self.blocked.entry(record.pool.clone()).or_default() += 1;
        }
    }

    /// Returns whether a task waits and its pause is over.
    fn may_start(&self, job: &JobId, place: TaskPlace, now: Instant) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let task = record.state.task(place.0, place.1, place.2);
        let waits = task.is_some_and(TaskState::is_waiting);
        waits && record.delays.get(&place).is_none_or(|until| now >= *until)
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        job: &JobId,
        occurrence: OccurrenceNumber,
        step: u32,
        spec: &StepSpec,
        now: Instant,
    ) {
        let places: Vec<TaskPlace> = (0..spec.count).map(|i| (occurrence, step, i)).collect();
        if !places.iter().all(|place| self.may_start(job, *place, now)) {
            return;
        }
        self.align_runs(job, &places);
        let mut placed = Vec::new();
        for place in &places {
            let worker = self.find_worker(job, *place, spec, &mut FullSizes::new(), now);
            let Some(worker) = worker else {
                break;
            };
            self.place_task(job, *place, &worker, now);
            placed.push((worker, *place));
        }
        if placed.len() < places.len() {
            for (worker, place) in placed {
                let name = task_name(job, place);
                let run = self.workers.get(&worker).and_then(|w| w.runs.get(&name));
                if let Some(run) = run.map(|run| run.run) {
                    self.end_run(&worker, &name, run, RunEnd::Stopped, None, now);
                }
            }
            self.changed = false;
        }
    }

    /// Gives all members of a gang the same last run, so that they share the next one.
    fn align_runs(&mut self, job: &JobId, places: &[TaskPlace]) {
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        let state = &mut record.state;
        let runs = places.iter().filter_map(|p| state.task(p.0, p.1, p.2));
        let last = runs.map(|task| task.last_run).max().unwrap_or_default();
        for place in places {
            if let Some(task) = state.task_mut(place.0, place.1, place.2) {
                task.last_run = last;
            }
        }
    }

    fn find_worker(
        &self,
        job: &JobId,
        place: TaskPlace,
        spec: &StepSpec,
        full: &mut FullSizes,
        now: Instant,
    ) -> Option<WorkerId> {
        let record = &self.jobs.get(job)?.record;
        let size = reserved_size(spec);
        if !self.within_maximum(record, &size) {
            return None;
        }
        let ticketed = self.advice_rule(&record.queue).is_some();
        let step_key = (job.clone(), place.0, place.1);
        let bound = spec.required_label.is_some() || spec.max_per_worker > 0 || ticketed;
        let is_full =
            |(pool, tried): &(PoolId, ResourceSize)| *pool == record.pool && tried.fits_into(&size);
        if full.iter().any(is_full) {
            return None;
        }
        let name = task_name(job, place);
        let open = self.workers.values().filter(|worker| {
            worker.entry.pool == record.pool
                && worker.takes_starts(now)
                && !self.is_evacuated(&worker.entry.zone)
                && size.fits_into(&worker.room())
                && !(spec.long_running && self.may_be_taken(worker, now))
                && (!ticketed || self.ticket(&step_key, &worker.entry.id, now).is_some())
        });
        let candidates = open.filter_map(|worker| {
            let candidate = candidate(worker, &name, spec)?;
            let maintenance_due = self.is_maintenance_due(worker);
            Some(Candidate {
                maintenance_due,
                ..candidate
            })
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let request = PlacementRequest {
            size,
            long_running: spec.long_running,
        };
        let chosen = self.placement.choose(&request, &candidates);
        if chosen.is_none() && !bound {
            full.push((record.pool.clone(), size));
        }
        chosen.map(|index| candidates[index].worker.clone())
    }

    fn place_task(&mut self, job: &JobId, place: TaskPlace, id: &WorkerId, now: Instant) {
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
        let Some(run) = record.state.place(place, placement) else {
            return;
        };
        record.delays.remove(&place);
        let submission = record.record.clone();
        let step = place.1 as usize;
        let run_record = self.run_record(&submission, step, run, RunPhase::Planned, now);
        if let Some(account) = &run_record.account {
            self.budget.reserve(account, &run_record.size);
        }
        let task = task_name(job, place);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(task.clone(), run_record);
        }
        self.desk.plan(PlannedStart {
            worker: id.clone(),
            task,
            run,
        });
    }
}

fn task_name(job: &JobId, (occurrence, step, index): TaskPlace) -> TaskName {
    TaskName {
        job: job.clone(),
        occurrence,
        step,
        index,
    }
}

/// Returns a worker as a candidate for a task; `None` when the step may not run there.
fn candidate<'a>(
    worker: &'a WorkerRecord,
    task: &TaskName,
    spec: &StepSpec,
) -> Option<Candidate<'a>> {
    let entry = &worker.entry;
    let labelled = |label| entry.labels.iter().any(|own| own == label);
    if spec
        .required_label
        .as_ref()
        .is_some_and(|label| !labelled(label))
    {
        return None;
    }
    // Counting is only worth its time where the count matters.
    let counted = spec.max_per_worker > 0 || spec.long_running;
    let siblings = if counted {
        count_siblings(worker, task)
    } else {
        0
    };
    if spec.max_per_worker > 0 && siblings >= spec.max_per_worker as usize {
        return None;
    }
    let preferred = spec.preferred_rack.as_ref();
    let serves = spec.target_latency.is_some();
    let conflicts = worker
        .runs
        .values()
        .filter(|run| spec.best_effort && run.target.is_some() || serves && run.best_effort);
    Some(Candidate {
        worker: &entry.id,
        room: worker.room(),
        capacity: entry.capacity,
        on_preferred_rack: preferred.is_none_or(|rack| entry.rack.as_ref() == Some(rack)),
        siblings,
        conflicts: conflicts.count(),
        has_long_running: worker.runs.values().any(|run| run.lasts),
        maintenance_due: false,
    })
}

/// Returns how many other tasks of the step run on a worker.
fn count_siblings(worker: &WorkerRecord, task: &TaskName) -> usize {
    let siblings = worker.runs.keys().filter(|other| {
        other.step == task.step && other.occurrence == task.occurrence && other.job == task.job
    });
    siblings.count()
}
