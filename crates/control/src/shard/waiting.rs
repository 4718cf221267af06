//! Reports why tasks wait: for the leases on an unreachable worker, or for a placement.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use strum::Display;

use super::scheduling::candidate_for;
use super::solo_starts::admits_start;
use super::{ShardController, TaskPosition, reserved_size};
use crate::worker::{StartRefusal, WorkerRecord};

/// Wait of a task after which it is reported; most waits are shorter.
const REPORTED_WAIT: Duration = Duration::from_secs(1);
/// Interval between the checks for tasks to report, which bounds the log's volume.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Long-running tasks that wait, and when to report them.
#[derive(Debug)]
pub(super) struct WaitReports {
    /// Since when each long-running task has been waiting after a run.
    unplaced: IndexMap<TaskName, Instant>,
    next_report: Instant,
}

/// What the runs on an unreachable worker wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum LeaseBound {
    /// The last lease that this owner granted.
    Granted,
    /// The last lease that an earlier owner, or a start on a later life, may have been granted.
    Inherited,
}

/// Why a worker is not considered for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum PlacementRefusal {
    /// The worker gets no starts at all.
    Closed(StartRefusal),
    Evacuated,
    NoRoom,
    /// An order for the worker's machine may be in flight.
    MachineOrder,
    NoTicket,
    /// The task has to start alone and the worker has unconfirmed starts, or the reverse.
    SoloStart,
    /// The worker lacks the required label or has too many tasks of the step.
    NotEligible,
}

impl WaitReports {
    pub fn new(now: Instant) -> Self {
        Self {
            unplaced: IndexMap::new(),
            next_report: now + REPORT_INTERVAL,
        }
    }

    /// Records that a long-running task waits to be placed again.
    pub fn record_end(&mut self, task: &TaskName, now: Instant) {
        self.unplaced.insert(task.clone(), now);
    }

    /// Records that a task is placed; returns how long it has waited since its last run.
    pub fn record_placement(&mut self, task: &TaskName, now: Instant) -> Option<Duration> {
        let since = self.unplaced.swap_remove(task)?;
        Some(now.saturating_duration_since(since))
    }
}

impl ShardController {
    /// Reports the waits at regular intervals.
    pub(super) fn report_waits(&mut self, now: Instant) {
        if now < self.waits.next_report {
            return;
        }
        self.waits.next_report = now + REPORT_INTERVAL;
        self.report_awaited_leases(now);
        self.report_unplaced_task(now);
    }

    /// Logs the unreachable worker whose runs have the longest wait ahead.
    fn report_awaited_leases(&self, now: Instant) {
        let drift = self.settings.clock_drift;
        let waited = now.saturating_duration_since(self.taken_over_at);
        let awaited = self.workers.values().filter(|worker| {
            let silent = worker.missed_polls > 0 || !worker.synced && waited >= REPORTED_WAIT;
            silent && worker.has_runs()
        });
        let awaited: Vec<&WorkerRecord> = awaited.collect();
        let longest = awaited
            .iter()
            .max_by_key(|worker| worker.latest_lease_end(drift));
        let Some(longest) = longest else {
            return;
        };
        let bound = match longest.lease_end(drift) {
            Some(_) => LeaseBound::Granted,
            None => LeaseBound::Inherited,
        };
        let left = longest.latest_lease_end(drift);
        let left_ms = left.saturating_duration_since(now).as_millis() as u64;
        let runs: usize = awaited.iter().map(|worker| worker.runs.len()).sum();
        let long_running: usize = awaited.iter().map(|w| w.counts.long_running).sum();
        let event = EventCode::LeaseAwaited.number();
        let (workers, misses) = (awaited.len(), longest.missed_polls);
        let (worker, listed) = (&*longest.entry.id, longest.listed);
        tracing::warn!(
            event,
            worker,
            %bound,
            left_ms,
            misses,
            listed,
            workers,
            runs,
            long_running,
            "runs wait for the leases on unreachable workers"
        );
    }

    /// Logs why the long-running task that has waited longest is not placed.
    fn report_unplaced_task(&mut self, now: Instant) {
        let jobs = &self.jobs;
        self.waits.unplaced.retain(|task, _| {
            let job = jobs.get(&task.job).filter(|job| !job.is_over());
            let state = job.and_then(|job| job.state.task(task.occurrence, task.step, task.index));
            state.is_some_and(TaskState::is_waiting)
        });
        let oldest = self.waits.unplaced.iter().min_by_key(|(_, since)| **since);
        let oldest = oldest.filter(|(_, since)| now >= **since + REPORTED_WAIT);
        let Some((task, since)) = oldest.map(|(task, since)| (task.clone(), *since)) else {
            return;
        };
        let Some(record) = self.jobs.get(&task.job).map(|job| job.submission.clone()) else {
            return;
        };
        let spec = &record.spec.steps[task.step as usize];
        let within_quota = self.within_quota(&record, &reserved_size(spec));
        let refusals = self.placement_refusals(&record, &task, spec, now);
        let waited_ms = now.saturating_duration_since(since).as_millis() as u64;
        let startable = now < self.start_deadline();
        let event = EventCode::TaskUnplaced.number();
        let (starts_exhausted, waiting) = (self.starts_exhausted, self.waits.unplaced.len());
        tracing::warn!(
            event,
            %task,
            waited_ms,
            within_quota,
            startable,
            starts_exhausted,
            ?refusals,
            waiting,
            "long-running task is not placed"
        );
    }

    /// Counts the workers of the task's pool by why they are not considered for it; workers that are
    /// considered count under `None`.
    fn placement_refusals(
        &self,
        record: &SubmissionRecord,
        task: &TaskName,
        spec: &StepSpec,
        now: Instant,
    ) -> IndexMap<Option<PlacementRefusal>, usize> {
        let position: TaskPosition = (task.occurrence, task.step, task.index);
        let step_key = (task.job.clone(), task.occurrence, task.step);
        let needs_ticket = self.needs_ticket(&task.job);
        let size = reserved_size(spec);
        let solo = self.is_suspected(&task.job, position, spec);
        let mut refusals = IndexMap::new();
        let members = self.workers.values();
        for worker in members.filter(|worker| worker.entry.pool == record.pool) {
            let refusal = if let Some(refusal) = worker.start_refusal(now) {
                Some(PlacementRefusal::Closed(refusal))
            } else if self.is_evacuated(&worker.entry.zone) {
                Some(PlacementRefusal::Evacuated)
            } else if !worker.has_room(&size, now) {
                Some(PlacementRefusal::NoRoom)
            } else if spec.long_running && self.may_have_machine_order(worker, now) {
                Some(PlacementRefusal::MachineOrder)
            } else if needs_ticket && self.ticket(&step_key, &worker.entry.id, now).is_none() {
                Some(PlacementRefusal::NoTicket)
            } else if !admits_start(worker, task, solo) {
                Some(PlacementRefusal::SoloStart)
            } else if candidate_for(worker, task, spec).is_none() {
                Some(PlacementRefusal::NotEligible)
            } else {
                None
            };
            *refusals.entry(refusal).or_insert(0) += 1;
        }
        refusals
    }
}
