//! The controller of one shard.

mod advice;
mod backlog;
mod cancellations;
mod crashes;
mod forwards;
mod persistence;
mod polling;
mod queries;
mod room;
mod run_ends;
mod scheduling;
mod solo_starts;
mod start_stop;
mod survey;
mod takeover;
mod validity;
mod waiting;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use crate::config::FleetConfig;
use crate::message::{ShardCommand, ShardEvent, ShardImage, ShardInput, StartOrder, StopOrder};
use crate::pace::FULL_PACE;
use crate::placement::{PackPlacement, PlacementPolicy};
use crate::quota::AccountBudget;
use crate::run::{RunPhase, RunRecord};
use crate::settings::ControlSettings;
use crate::shard::advice::{StepAdvice, StepKey};
use crate::shard::backlog::{BacklogEntry, BacklogIndex, ReadyStep};
use crate::shard::cancellations::EarlyCancellations;
use crate::shard::crashes::CrashHistory;
use crate::shard::forwards::ForwardTable;
use crate::shard::persistence::StoreQueue;
use crate::shard::solo_starts::postponed_starts;
use crate::shard::survey::STALE_ORDER_TIME;
use crate::shard::waiting::WaitReports;
use crate::urgency::{latest_start, remaining_critical_path};
use crate::worker_table::WorkerTable;

/// Interval of ticks while no event arrives.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Number of ready steps of a job above which no further occurrence of it opens. A pass starts fewer
/// tasks than that, and each ready step adds to the time to index the job.
const MAX_READY_STEPS: usize = 256;

/// Schedules the tasks of one shard's pools and tracks their workers.
pub struct ShardController {
    shard: ShardNumber,
    epoch: OwnerEpoch,
    settings: ControlSettings,
    config: Arc<FleetConfig>,
    placement: Box<dyn PlacementPolicy>,
    jobs: IndexMap<JobId, JobRecord>,
    /// Jobs that are not over or still have placed runs.
    backlog: BacklogIndex,
    /// Jobs whose state has changed since they were indexed in `backlog`.
    changed_jobs: IndexSet<JobId>,
    /// Due times of the next occurrences of the jobs that have more of them.
    due_occurrences: BTreeSet<(SystemTime, JobId)>,
    /// Ends of the pauses of tasks that failed.
    pause_ends: BTreeSet<Instant>,
    /// The remaining jobs with the time at which they left `backlog`, kept for status queries.
    finished_jobs: VecDeque<(Instant, JobId)>,
    /// Jobs of which a record is stored that can't be read; they are left to a build that can.
    unreadable: IndexSet<JobId>,
    forwards: ForwardTable,
    early_cancellations: EarlyCancellations,
    workers: WorkerTable,
    budget: AccountBudget,
    store_queue: StoreQueue,
    /// Latest time at which the ownership was confirmed.
    confirmed_at: Instant,
    /// Number of worker lives that this owner has seen end.
    ended_lives: u64,
    crashes: CrashHistory,
    /// As of when each input is known.
    inputs_read: IndexMap<ShardInput, Instant>,
    /// Offset before which all submissions are known.
    submissions_end: LogOffset,
    /// When the latest answer of a worker that is handled arrived.
    answers_known_at: Instant,
    /// When this owner took the shard over.
    taken_over_at: Instant,
    /// The same, until the first survey of the machine controller.
    unsurveyed_since: Option<Instant>,
    /// A change may allow a waiting task to start.
    placement_needed: bool,
    /// The last pass ended because too many starts had no answer.
    starts_exhausted: bool,
    /// When an account's last job arrived or task was placed.
    allocation_uses: HashMap<AccountId, Instant>,
    /// Accounts of which the last pass refused a task that a worker could start.
    quota_refused: HashSet<AccountId>,
    /// The last pass found no worker for a task that has to start alone.
    solo_waiting: bool,
    /// Earliest time of the next pass over the waiting tasks.
    next_placement: Instant,
    /// End of the next pause, after which a waiting task may start without any other change.
    recheck_at: Option<Instant>,
    /// Latest time of the next tick.
    next_idle_tick: Instant,
    /// When this owner received each maintenance wave.
    waves_received: IndexMap<WaveNumber, SystemTime>,
    /// Tickets of steps that need them.
    advice: HashMap<StepKey, StepAdvice>,
    /// Number of steps per pool with tasks that wait although some worker has room.
    blocked: IndexMap<PoolId, u32>,
    waits: WaitReports,
    commands: Vec<ShardCommand>,
    /// When the last check of the ownership was requested.
    ownership_checked_at: Option<Instant>,
    visits: VisitCount,
}

/// Number of records that the controller has visited to handle its events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VisitCount {
    /// Visits of jobs and of their steps.
    pub jobs: u64,
    /// Visits of workers, apart from the search for a worker with room.
    pub workers: u64,
    /// Visits of runs to find those that have to be stopped.
    pub runs: u64,
}

/// A job and its state.
struct JobRecord {
    submission: Arc<SubmissionRecord>,
    state: JobState,
    /// Last stored status, which callers are shown.
    stored_status: JobStatus,
    accepted_at: Instant,
    /// Earliest time of the next run of tasks that failed.
    retry_after: HashMap<TaskPosition, Instant>,
    /// Runs that counted as lost; their workers may still report how they ended.
    lost_runs: HashSet<(TaskPosition, RunNumber)>,
    /// A worker has refused a start for lack of a ticket.
    ticket_refused: bool,
    /// The job is over and has no placed runs.
    finished: bool,
}

impl JobRecord {
    fn new(
        submission: Arc<SubmissionRecord>,
        state: JobState,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let stored_status = state.status(&submission.spec);
        let age = wall.duration_since(submission.accepted).unwrap_or_default();
        Self {
            stored_status,
            submission,
            state,
            accepted_at: now.checked_sub(age).unwrap_or(now),
            retry_after: HashMap::new(),
            lost_runs: HashSet::new(),
            ticket_refused: false,
            finished: false,
        }
    }

    fn is_over(&self) -> bool {
        self.state.is_over(&self.submission.spec)
    }
}

impl ShardController {
    /// Creates the controller of a shard from its stored state.
    pub fn open(
        (shard, epoch): (ShardNumber, OwnerEpoch),
        image: ShardImage,
        config: Arc<FleetConfig>,
        settings: ControlSettings,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let confirmed_at = image.claimed_at.unwrap_or(now);
        let mut controller = Self {
            shard,
            epoch,
            settings,
            config,
            placement: Box::new(PackPlacement),
            jobs: IndexMap::new(),
            backlog: BacklogIndex::default(),
            changed_jobs: IndexSet::new(),
            due_occurrences: BTreeSet::new(),
            pause_ends: BTreeSet::new(),
            finished_jobs: VecDeque::new(),
            unreadable: IndexSet::new(),
            forwards: ForwardTable::default(),
            early_cancellations: EarlyCancellations::default(),
            workers: WorkerTable::default(),
            budget: AccountBudget::default(),
            store_queue: StoreQueue::new(now),
            confirmed_at,
            ended_lives: 0,
            crashes: CrashHistory::default(),
            inputs_read: IndexMap::new(),
            submissions_end: 0,
            answers_known_at: now,
            taken_over_at: now,
            unsurveyed_since: Some(now),
            placement_needed: true,
            starts_exhausted: false,
            allocation_uses: HashMap::new(),
            quota_refused: HashSet::new(),
            solo_waiting: false,
            next_placement: now,
            recheck_at: None,
            next_idle_tick: now,
            waves_received: IndexMap::new(),
            advice: HashMap::new(),
            blocked: IndexMap::new(),
            waits: WaitReports::new(now),
            commands: Vec::new(),
            ownership_checked_at: None,
            visits: VisitCount::default(),
        };
        controller.load(image, now, wall);
        controller.record_waves(wall);
        controller
    }

    /// Returns the jobs that are not over or still have placed runs.
    fn active_records(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        let active = self.backlog.jobs();
        active.filter_map(|job| Some((job, self.jobs.get(job)?)))
    }

    /// Returns the shard's number.
    pub fn shard(&self) -> ShardNumber {
        self.shard
    }

    /// Returns the epoch of this owner.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns the number of visited records, which measures the work without a clock.
    pub fn visits(&self) -> VisitCount {
        self.visits
    }

    /// Handles an event and returns the commands to execute.
    pub fn handle(
        &mut self,
        now: Instant,
        wall: SystemTime,
        event: ShardEvent,
    ) -> Vec<ShardCommand> {
        match event {
            ShardEvent::Config(config) => {
                self.config = config;
                self.placement_needed = true;
                // The terms of a queue determine the urgency of its jobs.
                self.changed_jobs.extend(self.backlog.jobs().cloned());
                self.record_waves(wall);
            }
            ShardEvent::Workers { entries, lives } => self.update_workers(entries, &lives, now),
            ShardEvent::Submitted(job, record) => self.submit(job, record, now, wall),
            ShardEvent::Unreadable(job) => {
                if !self.jobs.contains_key(&job) {
                    self.early_cancellations.remove(&job);
                    self.unreadable.insert(job);
                }
            }
            ShardEvent::Rerouted(job, record) => self.forward(job, record, now),
            ShardEvent::Cancelled(job) => self.cancel(&job, now),
            ShardEvent::CancelledBefore(job, time) => self.cancel_before(&job, time, now),
            ShardEvent::Stored(sequence) => self.handle_stored(sequence, now),
            ShardEvent::OwnershipConfirmed(at) => self.record_confirmation(at, now),
            ShardEvent::InputRead(input, at) => self.record_read(input, at, now),
            ShardEvent::SubmissionsRead(end, at) => {
                self.submissions_end = end;
                self.record_read(ShardInput::Submissions, at, now);
            }
            ShardEvent::Polled {
                order,
                result,
                answered_at,
            } => {
                self.answers_known_at = self.answers_known_at.max(answered_at);
                self.handle_poll(&order, result, answered_at, now);
            }
            ShardEvent::Started { order, outcome } => {
                self.placement_needed |= self.starts_exhausted;
                self.handle_start(&order, outcome, now);
            }
            ShardEvent::Stopped { order, result } => self.handle_stop(&order, result, now),
            ShardEvent::Advised { order, result } => self.handle_advice(&order, result, now),
            ShardEvent::Surveyed(order) => self.apply_survey(&order, now),
            ShardEvent::Paced { .. } | ShardEvent::Tick => {}
        }
        self.advance(now, wall);
        self.next_idle_tick = now + IDLE_TICK;
        std::mem::take(&mut self.commands)
    }

    /// Returns when the next [`ShardEvent::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let polls = self.workers.next_poll();
        let placement = self.placement_needed.then_some(self.next_placement);
        let recheck_at = self.recheck_at.map(|at| at.max(self.next_placement));
        let due = [polls, placement, recheck_at, self.store_queue.due()];
        let due = due.into_iter().flatten();
        due.fold(self.next_idle_tick, Instant::min)
    }

    fn record_waves(&mut self, wall: SystemTime) {
        for wave in self.config.waves.keys() {
            self.waves_received.entry(*wave).or_insert(wall);
        }
    }

    /// Runs the periodic work that is due and emits the resulting commands.
    fn advance(&mut self, now: Instant, wall: SystemTime) {
        self.expire_leases(now);
        self.review_due_jobs(wall);
        self.review_changed_jobs(now, wall);
        self.stop_runs_to_drain(now);
        let due = self.placement_needed || self.recheck_at.is_some_and(|at| now >= at);
        if due && now >= self.next_placement {
            self.placement_needed = false;
            self.next_placement = now + self.settings.placement_interval;
            self.recheck_at = self.next_pause_end(now);
            if now < self.start_deadline() {
                self.place_waiting(now);
                self.review_changed_jobs(now, wall);
            }
        }
        self.report_waits(now);
        self.send_polls(now);
        self.send_stops(now);
        self.remove_expired_jobs(now);
        self.remove_expired_forwards(now);
        self.remove_expired_cancellations(now);
        self.flush(now);
        self.refresh_workers();
    }

    /// Indexes the workers that have changed.
    fn refresh_workers(&mut self) {
        let count = self.workers.refresh();
        self.visits.workers += count.workers;
        self.visits.runs += count.runs;
    }

    /// Returns when the next pause of a task or a worker ends.
    fn next_pause_end(&mut self, now: Instant) -> Option<Instant> {
        self.pause_ends = self.pause_ends.split_off(&now);
        let after = (Bound::Excluded(now), Bound::Unbounded);
        let tasks = self.pause_ends.range(after).take(1).copied();
        let workers = self.workers.values().flat_map(|worker| {
            let refusal_end = worker.room_refusal.map(|refusal| refusal.until);
            [Some(worker.paused_until), worker.drain_until, refusal_end]
        });
        let unsurveyed = self.unsurveyed_since.map(|since| since + STALE_ORDER_TIME);
        let ends = tasks
            .chain(workers.flatten())
            .chain(self.advice_retry_times())
            .chain(unsurveyed);
        ends.filter(|end| *end > now).min()
    }

    fn run_record(
        &self,
        record: &SubmissionRecord,
        step: usize,
        run: RunNumber,
        phase: RunPhase,
        now: Instant,
    ) -> RunRecord {
        let spec = &record.spec.steps[step];
        RunRecord {
            run,
            checkpoint: None,
            size: reserved_size(spec),
            account: record.account.clone(),
            phase,
            since: now,
            reported: false,
            unconfirmed_since: (phase == RunPhase::Inherited).then_some(now),
            solo: false,
            start_attempts: 0,
            stop_sent: None,
            stop_acknowledged: None,
            best_effort: spec.best_effort,
            target_latency: spec.target_latency,
            pace: FULL_PACE,
            paced_at: None,
            load: None,
            percent: 0,
            long_running: spec.long_running,
            max_unavailable: spec.max_unavailable,
        }
    }

    /// Returns whether an earlier submission of a job counts, or one that can't be read may.
    fn is_decided(&self, job: &str) -> bool {
        self.jobs.contains_key(job) || self.forwards.contains(job) || self.unreadable.contains(job)
    }

    fn submit(
        &mut self,
        job: JobId,
        record: Arc<SubmissionRecord>,
        now: Instant,
        wall: SystemTime,
    ) {
        if self.is_decided(&job) {
            return;
        }
        tracing::info!(
            event = EventCode::JobAccepted.number(),
            job = &*job,
            shard = self.shard,
            queue = &*record.queue,
            "job taken in"
        );
        let (account, accepted) = (record.account.clone(), record.accepted);
        let record = JobRecord::new(record, JobState::default(), now, wall);
        self.changed_jobs.insert(job.clone());
        self.jobs.insert(job.clone(), record);
        match self.early_cancellations.take(&job, accepted) {
            Some(true) => return self.cancel(&job, now),
            // The next owner may find a repetition in its place that was accepted before.
            Some(false) => self.store_queue.mark_changed(&job),
            None => {}
        }
        self.allocation_uses
            .extend(account.map(|account| (account, now)));
        self.placement_needed = true;
    }

    fn cancel(&mut self, job: &JobId, now: Instant) {
        let Some(record) = self.jobs.get_mut(job) else {
            self.cancel_forwarded(job, None, now);
            return;
        };
        if record.is_over() {
            return;
        }
        record.state.cancelled = true;
        record.stored_status = JobStatus::Cancelled;
        self.changed_jobs.insert(job.clone());
        self.stop_job(job, now);
        self.store_queue.mark_changed(job);
        tracing::info!(
            event = EventCode::JobCancelled.number(),
            job = &**job,
            "job cancelled"
        );
    }

    /// Stops all runs of a job.
    fn stop_job(&mut self, job: &JobId, now: Instant) {
        let mut planned = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            let runs = worker.runs.iter_mut().filter(|(name, _)| name.job == *job);
            for (name, run) in runs {
                match run.phase {
                    RunPhase::Planned => planned.push((id.clone(), name.clone(), run.run)),
                    RunPhase::Stopping => {}
                    _ => run.phase = RunPhase::Stopping,
                }
            }
        }
        for (worker, name, run) in planned {
            self.end_run(&worker, &name, run, RunEnd::Stopped, None, now);
        }
    }

    /// Marks the jobs with an occurrence that is due as changed.
    fn review_due_jobs(&mut self, wall: SystemTime) {
        let due_wall = self.due_wall(wall);
        while self
            .due_occurrences
            .first()
            .is_some_and(|(due, _)| *due <= due_wall)
        {
            let first = self.due_occurrences.pop_first();
            self.changed_jobs.extend(first.map(|(_, job)| job));
        }
    }

    /// Opens due occurrences of the changed jobs, within limits, and indexes these jobs again.
    fn review_changed_jobs(&mut self, now: Instant, wall: SystemTime) {
        for job in std::mem::take(&mut self.changed_jobs) {
            self.visits.jobs += 1;
            self.review_job(&job, now, wall);
        }
    }

    fn review_job(&mut self, job: &JobId, now: Instant, wall: SystemTime) {
        let due_wall = self.due_wall(wall);
        let Some(record) = self.jobs.get_mut(job) else {
            return;
        };
        if record.is_over() && !record.state.has_placed_runs() {
            if !record.finished {
                record.finished = true;
                self.backlog.remove(job);
                self.finished_jobs.push_back((now, job.clone()));
            }
            return;
        }
        let spec = &record.submission.spec;
        let first_steps = spec.steps.iter().filter(|s| s.depends_on.is_empty());
        let first_steps = first_steps.count();
        let mut ready_count = None;
        while !record.is_over() && record.state.opened < spec.occurrences {
            if let Some(due) = spec.due(record.state.opened).filter(|due| *due > due_wall) {
                self.due_occurrences.insert((due, job.clone()));
                break;
            }
            // The job is reviewed again when a task of it starts or ends.
            let ready = *ready_count.get_or_insert_with(|| ready_steps(record).len());
            if ready >= MAX_READY_STEPS || !record.state.may_open_next(spec) {
                break;
            }
            ready_count = Some(ready + first_steps);
            record.state.open_next(spec);
            self.placement_needed = true;
            tracing::debug!(
                job = &**job,
                opened = record.state.opened,
                "occurrence is due"
            );
        }
        if let Some(entry) = self.jobs.get(job).map(|record| self.backlog_entry(record)) {
            self.backlog.insert(job, entry);
        }
    }

    /// Returns the latest due time of the occurrences to open.
    fn due_wall(&self, wall: SystemTime) -> SystemTime {
        wall.checked_sub(self.settings.due_margin).unwrap_or(wall)
    }

    fn backlog_entry(&self, job: &JobRecord) -> BacklogEntry {
        let terms = self.terms(job);
        let occurrences = &job.state.occurrences;
        let spec = &job.submission.spec;
        let remaining = occurrences.iter();
        let remaining = remaining.map(|occurrence| remaining_critical_path(spec, occurrence));
        let remaining = remaining.max().unwrap_or_default();
        BacklogEntry {
            pool: job.submission.pool.clone(),
            account: job.submission.account.clone(),
            priority: terms.priority,
            start_by: latest_start(&terms, job.accepted_at, remaining),
            steps: ready_steps(job),
        }
    }

    /// Removes finished jobs after their retention time.
    fn remove_expired_jobs(&mut self, now: Instant) {
        if !self.advice.is_empty() {
            self.prune_advice();
        }
        let retention = self.settings.retention;
        while self
            .finished_jobs
            .front()
            .is_some_and(|(at, _)| now >= *at + retention)
        {
            if let Some((_, job)) = self.finished_jobs.pop_front() {
                self.jobs.swap_remove(&job);
                self.store_queue.remove(job);
            }
        }
    }
}

/// Returns the resources to reserve for a run of a step; best-effort tasks reserve no CPU.
fn reserved_size(step: &StepSpec) -> ResourceSize {
    let millicores = if step.best_effort {
        0
    } else {
        step.size.millicores
    };
    ResourceSize {
        millicores,
        ..step.size
    }
}

/// Returns the ready steps of a job with waiting tasks; none if the job is over.
fn ready_steps(job: &JobRecord) -> Vec<ReadyStep> {
    if job.is_over() {
        return Vec::new();
    }
    let spec = &job.submission.spec;
    let mut ready = Vec::new();
    for occurrence in &job.state.occurrences {
        for (step, tasks) in occurrence.steps.iter().enumerate() {
            let waiting = tasks.iter().filter(|task| task.is_waiting()).count() as u64;
            if waiting > 0 && occurrence.step_ready(spec, step) {
                let postponed = postponed_starts(&job.state, occurrence, step, &spec.steps[step]);
                ready.push(ReadyStep {
                    occurrence: occurrence.number,
                    step: step as u32,
                    size: reserved_size(&spec.steps[step]),
                    waiting: waiting.saturating_sub(postponed),
                    long_running: spec.steps[step].long_running,
                    begun: occurrence.has_begun(),
                });
            }
        }
    }
    ready
}
