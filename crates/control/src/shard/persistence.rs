//! Persistence of job states, and the starts that wait for it.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;
use crate::message::{ShardCommand, StoreRecord};
use crate::run::RunPhase;
use crate::worker::WorkerRecord;

/// Pause of tasks whose placement did not fit into the state of their job. Other tasks have to end first.
const WITHDRAWN_START_PAUSE: Duration = Duration::from_millis(500);

/// Queue of changes to store; at most one append is in flight.
pub(super) struct StoreQueue {
    sequence: u64,
    changed_jobs: IndexSet<JobId>,
    removed_jobs: Vec<JobId>,
    /// Jobs that were cancelled, but not submitted.
    removed_cancellations: Vec<JobId>,
    /// Jobs to store in the shards of their pools.
    forwards: IndexSet<JobId>,
    /// Starts to send once their placement is stored.
    starts: Vec<PlannedStart>,
    in_flight: Option<StoreBatch>,
    next_append: Instant,
}

/// A start that waits until its placement is stored.
#[derive(Debug, Clone)]
pub(super) struct PlannedStart {
    pub worker: WorkerId,
    pub task: TaskName,
    pub run: RunNumber,
}

/// Effects to apply when the append in flight succeeds.
struct StoreBatch {
    sequence: u64,
    starts: Vec<PlannedStart>,
    /// Status of each job in the batch.
    statuses: Vec<(JobId, JobStatus)>,
    /// Jobs that it forwards, and whether their cancellations are forwarded too.
    forwards: Vec<(JobId, bool)>,
    /// Jobs whose cancellations it removes.
    removed_cancellations: Vec<JobId>,
    /// Last applied run end of each worker's life that the batch makes durable.
    applied_ends: IndexMap<(WorkerId, LifeStart), EndNumber>,
    sent_at: Instant,
}

impl StoreQueue {
    pub fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            changed_jobs: IndexSet::new(),
            removed_jobs: Vec::new(),
            removed_cancellations: Vec::new(),
            forwards: IndexSet::new(),
            starts: Vec::new(),
            in_flight: None,
            next_append: now,
        }
    }

    /// Queues the state of a job.
    pub fn mark_changed(&mut self, job: &JobId) {
        if !self.changed_jobs.contains(job) {
            self.changed_jobs.insert(job.clone());
        }
    }

    /// Queues the removal of a job.
    pub fn remove(&mut self, job: JobId) {
        self.changed_jobs.swap_remove(&job);
        self.removed_jobs.push(job);
    }

    /// Queues the removal of the cancellation of a job that was not submitted.
    pub fn remove_cancellation(&mut self, job: JobId) {
        self.removed_cancellations.push(job);
    }

    /// Queues a job to be stored in the shard of its pool.
    pub fn add_forward(&mut self, job: JobId) {
        self.forwards.insert(job);
    }

    /// Queues a start together with the state of its job.
    pub fn add_start(&mut self, start: PlannedStart) {
        self.mark_changed(&start.task.job);
        self.starts.push(start);
    }

    /// Returns when the next append is due; `None` if there is nothing to store or an append is in
    /// flight.
    pub fn due(&self) -> Option<Instant> {
        let idle = self.changed_jobs.is_empty()
            && self.removed_jobs.is_empty()
            && self.removed_cancellations.is_empty()
            && self.forwards.is_empty();
        (self.in_flight.is_none() && !idle).then_some(self.next_append)
    }
}

impl ShardController {
    /// Sends all queued changes to the store, once the previous append has completed.
    pub(super) fn flush(&mut self, now: Instant) {
        if self.store_queue.due().is_none_or(|due| now < due) {
            return;
        }
        let mut records = Vec::new();
        let mut statuses = Vec::new();
        let mut all_encoded = true;
        for job in std::mem::take(&mut self.store_queue.changed_jobs) {
            let Some(image) = self.encode_image(&job, now) else {
                continue;
            };
            match image {
                Ok((bytes, status)) => {
                    records.push(StoreRecord::State(job.clone(), bytes));
                    statuses.push((job, status));
                }
                Err(error) => {
                    let event = EventCode::JobImageRefused.number();
                    tracing::error!(event, job = &*job, %error, "state of a job can't be encoded");
                    self.store_queue.mark_changed(&job);
                    all_encoded = false;
                }
            }
        }
        let mut forwards = Vec::new();
        for job in std::mem::take(&mut self.store_queue.forwards) {
            let Some(request) = self.forwards.request(&job) else {
                continue;
            };
            if let StoreRecord::Forward { cancelled, .. } = request {
                forwards.push((job, cancelled));
            }
            records.push(request);
        }
        let removed_jobs = std::mem::take(&mut self.store_queue.removed_jobs);
        records.extend(removed_jobs.into_iter().map(StoreRecord::Remove));
        let removed_cancellations = std::mem::take(&mut self.store_queue.removed_cancellations);
        let removed = removed_cancellations.iter().cloned();
        records.extend(removed.map(StoreRecord::RemoveCancellation));
        // Ends in a state that is left out are not durable.
        let applied_ends = self
            .workers
            .iter()
            .filter(|(_, w)| all_encoded && w.applied_end > w.stored_end);
        let applied_ends = applied_ends.filter_map(|(id, worker)| {
            let life = worker.life?;
            Some(((id.clone(), life), worker.applied_end))
        });
        self.store_queue.sequence += 1;
        let sequence = self.store_queue.sequence;
        self.store_queue.in_flight = Some(StoreBatch {
            sequence,
            starts: std::mem::take(&mut self.store_queue.starts),
            statuses,
            forwards,
            removed_cancellations,
            applied_ends: applied_ends.collect(),
            sent_at: now,
        });
        self.store_queue.next_append = now + self.settings.store_interval;
        self.commands
            .push(ShardCommand::Store { sequence, records });
    }

    /// Encodes the state of a job and returns it with the status in it; `None` if the job is gone.
    ///
    /// While the state is too large to be stored, placements that wait for it are withdrawn.
    fn encode_image(
        &mut self,
        job: &JobId,
        now: Instant,
    ) -> Option<Result<(Vec<u8>, JobStatus), ImageError>> {
        loop {
            let record = self.jobs.get(job)?;
            let status = record.state.status(&record.submission.spec);
            let image = encode_state(&record.state, self.settings.max_image_bytes);
            let is_too_large = matches!(image, Err(ImageError::TooLarge(_)));
            if !is_too_large || !self.withdraw_starts(job, now) {
                return Some(image.map(|bytes| (bytes, status)));
            }
        }
    }

    /// Withdraws half of the starts of a job that wait for its state to be stored, and pauses their
    /// tasks; returns whether there are any.
    fn withdraw_starts(&mut self, job: &JobId, now: Instant) -> bool {
        let starts = &mut self.store_queue.starts;
        let of_job = |start: &PlannedStart| start.task.job == *job;
        let kept = starts.iter().filter(|start| of_job(start)).count() / 2;
        let mut seen = 0;
        let withdrawn: Vec<PlannedStart> = starts
            .extract_if(.., |start| {
                seen += usize::from(of_job(start));
                of_job(start) && seen > kept
            })
            .collect();
        if withdrawn.is_empty() {
            return false;
        }
        let pause_end = now + WITHDRAWN_START_PAUSE;
        self.pause_ends.insert(pause_end);
        for PlannedStart { worker, task, run } in &withdrawn {
            self.end_run(worker, task, *run, RunEnd::Stopped, None, now);
            if let Some(record) = self.jobs.get_mut(job) {
                let position = (task.occurrence, task.step, task.index);
                record.retry_after.insert(position, pause_end);
            }
        }
        let event = EventCode::StartsWithdrawn.number();
        let starts = withdrawn.len();
        tracing::warn!(
            event,
            job = &**job,
            starts,
            "state of a job leaves no room for starts"
        );
        true
    }

    /// Handles a completed append: publishes the stored statuses and sends the starts in it.
    pub(super) fn handle_stored(&mut self, sequence: u64, now: Instant) {
        if self
            .store_queue
            .in_flight
            .as_ref()
            .is_none_or(|batch| batch.sequence != sequence)
        {
            return;
        }
        let Some(batch) = self.store_queue.in_flight.take() else {
            return;
        };
        // The append succeeded at some time after it was sent.
        self.record_confirmation(batch.sent_at, now);
        for (job, status) in batch.statuses {
            if let Some(record) = self.jobs.get_mut(&job) {
                if record.stored_status != status {
                    let age = now.saturating_duration_since(record.accepted_at);
                    log_status(&job, record.stored_status, status, age);
                }
                record.stored_status = status;
            }
        }
        for (job, cancelled) in batch.forwards {
            self.forwards.mark_stored(&job, cancelled);
        }
        for job in &batch.removed_cancellations {
            self.early_cancellations.forget_deleted(job);
        }
        for ((id, life), applied) in batch.applied_ends {
            // Each life numbers its run ends from the start.
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.life == Some(life)
            {
                worker.stored_end = worker.stored_end.max(applied);
            }
        }
        for start in batch.starts {
            self.send_stored_start(&start, now);
        }
    }

    fn send_stored_start(&mut self, start: &PlannedStart, now: Instant) {
        let allowed = now < self.start_deadline();
        let planned = self.workers.get(&start.worker).and_then(|worker| {
            let run = worker.runs.get(&start.task)?;
            let planned = run.run == start.run && run.phase == RunPhase::Planned;
            planned.then(|| allowed && self.may_start(worker, now))
        });
        match planned {
            None => {}
            Some(true) => self.send_start(&start.worker, &start.task, now),
            // The worker became unavailable or has shrunk while the placement was being stored.
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

    /// Returns whether a run that is reserved on a worker may start there.
    pub(super) fn may_start(&self, worker: &WorkerRecord, now: Instant) -> bool {
        worker.accepts_starts(now)
            && !self.is_evacuated(&worker.entry.zone)
            && worker.room().is_some()
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
