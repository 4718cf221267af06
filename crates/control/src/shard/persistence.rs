//! What is stored, and what waits until it is.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;
use crate::message::{ShardCommand, StoreRecord};
use crate::worker::RunPhase;

/// Changes that are to be stored; one append is under way at a time.
pub(super) struct StoreDesk {
    sequence: u64,
    changed: IndexSet<JobId>,
    forgotten: Vec<JobId>,
    /// Starts that wait until their placement is stored.
    starts: Vec<PlannedStart>,
    flying: Option<StoreBatch>,
    not_before: Instant,
}

/// A start that waits for the store.
#[derive(Debug, Clone)]
pub(super) struct PlannedStart {
    pub worker: WorkerId,
    pub task: TaskName,
    pub run: RunNumber,
}

/// What follows from an append that is under way.
struct StoreBatch {
    sequence: u64,
    starts: Vec<PlannedStart>,
    /// Status of each job as the batch stores it.
    shown: Vec<(JobId, JobStatus)>,
    /// Ends that the batch makes durable.
    noted: IndexMap<WorkerId, EndNumber>,
}

impl StoreDesk {
    pub fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            changed: IndexSet::new(),
            forgotten: Vec::new(),
            starts: Vec::new(),
            flying: None,
            not_before: now,
        }
    }

    /// The state of a job is to be stored.
    pub fn mark(&mut self, job: &JobId) {
        if !self.changed.contains(job) {
            self.changed.insert(job.clone());
        }
    }

    /// Nothing of a job is to be kept.
    pub fn forget(&mut self, job: JobId) {
        self.changed.swap_remove(&job);
        self.forgotten.push(job);
    }

    /// A start waits until its job's state is stored.
    pub fn plan(&mut self, start: PlannedStart) {
        self.mark(&start.task.job);
        self.starts.push(start);
    }

    /// Returns when the next append may go; `None` when there is nothing to store.
    pub fn due(&self) -> Option<Instant> {
        let idle = self.changed.is_empty() && self.forgotten.is_empty();
        (self.flying.is_none() && !idle).then_some(self.not_before)
    }
}

impl ShardController {
    /// Hands all changes to the store, once the append before has been answered.
    pub(super) fn flush(&mut self, now: Instant) {
        if self.desk.due().is_none_or(|due| now < due) {
            return;
        }
        let mut records = Vec::new();
        let mut shown = Vec::new();
        for job in std::mem::take(&mut self.desk.changed) {
            let Some(record) = self.jobs.get(&job) else {
                continue;
            };
            match encode_state(&record.state) {
                Ok(bytes) => records.push(StoreRecord::State(job.clone(), bytes)),
                Err(error) => {
                    let event = EventCode::JobImageRefused.number();
                    tracing::error!(event, job = &*job, %error, "state of a job can't be encoded");
                    continue;
                }
            }
            shown.push((job, record.state.status(&record.record.spec)));
        }
        let forgotten = std::mem::take(&mut self.desk.forgotten);
        records.extend(forgotten.into_iter().map(StoreRecord::Remove));
        let noted = self.workers.iter().filter(|(_, w)| w.noted > w.stored);
        let noted = noted.map(|(id, worker)| (id.clone(), worker.noted));
        self.desk.sequence += 1;
        let sequence = self.desk.sequence;
        self.desk.flying = Some(StoreBatch {
            sequence,
            starts: std::mem::take(&mut self.desk.starts),
            shown,
            noted: noted.collect(),
        });
        self.desk.not_before = now + self.settings.store_gap;
        self.commands
            .push(ShardCommand::Store { sequence, records });
    }

    /// An append has been answered: what waited for it may go.
    pub(super) fn take_stored(&mut self, sequence: u64, now: Instant) {
        if self
            .desk
            .flying
            .as_ref()
            .is_none_or(|batch| batch.sequence != sequence)
        {
            return;
        }
        let Some(batch) = self.desk.flying.take() else {
            return;
        };
        self.proved = now.max(self.proved);
        for (job, status) in batch.shown {
            if let Some(record) = self.jobs.get_mut(&job) {
                if record.shown != status {
                    let age = now.saturating_duration_since(record.arrived);
                    log_status(&job, record.shown, status, age);
                }
                record.shown = status;
            }
        }
        for (id, noted) in batch.noted {
            if let Some(worker) = self.workers.get_mut(&id) {
                // A new life counts its ends anew.
                worker.stored = worker.stored.max(noted.min(worker.noted));
            }
        }
        for start in batch.starts {
            self.send_start(&start, now);
        }
    }

    fn send_start(&mut self, start: &PlannedStart, now: Instant) {
        let planned = self.workers.get(&start.worker).and_then(|worker| {
            let run = worker.runs.get(&start.task)?;
            let planned = run.run == start.run && run.phase == RunPhase::Planned;
            planned.then(|| worker.takes_starts(now) && !self.is_evacuated(&worker.entry.zone))
        });
        match planned {
            None => {}
            Some(true) => self.order_start(&start.worker, &start.task, now),
            // The worker began to leave, or fell silent, while the placement was being stored.
            Some(false) => {
                self.end_run(
                    &start.worker,
                    &start.task,
                    start.run,
                    RunEnd::Stopped,
                    None,
                    now,
                );
            }
        }
    }

    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.config.evacuated.contains(zone)
    }
}

fn log_status(job: &JobId, from: JobStatus, to: JobStatus, age: Duration) {
    let event = EventCode::JobStatusChanged.number();
    let age_ms = age.as_millis() as u64;
    tracing::info!(event, job = &**job, %from, %to, age_ms, "job changed its state");
    metrics::histogram!("pw_job_age_seconds", "state" => to.to_string()).record(age);
}
