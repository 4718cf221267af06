//! What a shard's controller takes and gives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

use crate::config::FleetConfig;
use crate::worker::WorkerEntry;

/// What a shard's controller is told.
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// The workers that the platform lists for the shard's pools, all of them.
    Workers {
        /// The workers.
        entries: Vec<WorkerEntry>,
        /// Latest life on each machine of the whole fleet.
        lives: Arc<IndexMap<MachineId, LifeStart>>,
    },
    /// A submission is in the store.
    Submitted(JobId, Arc<SubmissionRecord>),
    /// A cancellation is in the store.
    Cancelled(JobId),
    /// The records of [`ShardCommand::Store`] are in the store.
    Stored(u64),
    /// The ownership of the shard was proved at this time.
    OwnershipConfirmed(Instant),
    /// A worker answered a look, or did not.
    Polled {
        /// What was asked.
        order: PollOrder,
        /// The answer.
        result: Result<PollReport, CallFault>,
    },
    /// A worker answered a start, or did not.
    Started {
        /// What was asked.
        order: StartOrder,
        /// The answer.
        outcome: StartOutcome,
    },
    /// A worker answered a stop, or did not.
    Stopped {
        /// What was asked.
        order: StopOrder,
        /// The answer.
        result: Result<(), CallFault>,
    },
    /// A worker answered a change of pace, or did not.
    Paced {
        /// What was asked.
        order: PaceOrder,
        /// The answer.
        result: Result<(), CallFault>,
    },
    /// The service that knows which workers may run a step answered, or did not.
    Advised {
        /// What was asked.
        order: AdviceOrder,
        /// The answer.
        result: Result<AdviceReport, CallFault>,
    },
    /// The keeper of machines asks.
    Surveyed(SurveyOrder),
    /// Time has passed.
    Tick,
}

/// What a shard's controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardCommand {
    /// Store these records, all or none, and answer with [`ShardEvent::Stored`].
    Store {
        /// Number of the request.
        sequence: u64,
        /// What is to be stored.
        records: Vec<StoreRecord>,
    },
    /// Ask a worker what it runs, and renew its lease.
    Poll(PollOrder),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Slow a run down or let it go on.
    Pace(PaceOrder),
    /// Ask which workers may run a step.
    Advise(AdviceOrder),
    /// A worker has heard of a later owner, so the ownership is to be checked.
    CheckOwnership,
}

/// What is stored for one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRecord {
    /// The job's state.
    State(JobId, Vec<u8>),
    /// Nothing is kept of the job any more.
    Remove(JobId),
}

/// A shard as the store holds it.
#[derive(Debug, Clone, Default)]
pub struct ShardImage {
    /// Submissions in the order of the store.
    pub submissions: Vec<(JobId, Arc<SubmissionRecord>)>,
    /// Jobs that their callers cancelled.
    pub cancelled: Vec<JobId>,
    /// States of jobs.
    pub states: Vec<(JobId, JobState)>,
    /// How long the leases on workers last at most, if the owner before released the shard.
    pub leases: Option<IndexMap<WorkerId, Duration>>,
}

/// Asks a worker what it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollOrder {
    /// Worker that is asked.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Life that is meant; `None` while it is not known.
    pub life: Option<LifeStart>,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Ends up to this one are stored and may be forgotten.
    pub acknowledged: EndNumber,
    /// End of the lease on the worker's clock; `None` renews nothing.
    pub lease_until: Option<WorkerMillis>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
    /// When it was asked.
    pub sent_at: Instant,
}

/// What a worker runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollReport {
    /// The worker's clock at the answer.
    pub clock: WorkerMillis,
    /// The worker's life.
    pub life: LifeStart,
    /// Runs on the worker.
    pub running: Vec<ActiveRun>,
    /// Runs that have ended, in the order of their numbers.
    pub finished: Vec<FinishedRun>,
}

/// A run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Progress that was saved.
    pub checkpoint: Option<Arc<str>>,
    /// Work done, in percent.
    pub percent: u8,
    /// Tail of response times of a task that serves in milliseconds, thousandths of a core in use
    /// of another one; over the last half second.
    pub load: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRun {
    /// Number in the worker's list.
    pub number: EndNumber,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// Progress that was saved.
    pub checkpoint: Option<Arc<str>>,
}

/// Asks which workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceOrder {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: OccurrenceNumber,
    /// The step.
    pub step: u32,
    /// Workers that are asked about.
    pub workers: Vec<WorkerId>,
}

/// Which workers may run a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdviceReport {
    /// Tickets of the workers that may.
    pub tickets: IndexMap<WorkerId, Arc<str>>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// Starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker that is to run it.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Life that is meant.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Text for the task.
    pub payload: Arc<str>,
    /// Progress from which it goes on.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket for the step on the worker, where one is needed.
    pub ticket: Option<Arc<str>>,
    /// End of the lease on the worker's clock.
    pub lease_until: WorkerMillis,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartOutcome {
    /// It runs, or has run.
    Accepted,
    /// The worker has heard of a later owner.
    Fenced,
    /// A run as late as this one was stopped or has ended there.
    Superseded,
    /// The lease was over when the order arrived.
    LeaseOver,
    /// The worker has no room.
    NoRoom,
    /// The worker is not allowed to run the step.
    NotAllowed,
    /// The worker can't make sense of the order.
    Malformed,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker or another life has the address.
    OtherLife,
    /// Not one byte of the order left this process.
    NotSent,
    /// It may have been carried out, or may be later.
    Unanswered,
}

/// Stops a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Life that is meant.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
}

/// Sets how fast a run works.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceOrder {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Life that is meant.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Share of its full speed, in percent.
    pub percent: u8,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
}

/// Why a worker gave no answer to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallFault {
    /// The worker has heard of a later owner.
    Fenced,
    /// Another worker or another life has the address.
    OtherLife,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker refused it for another reason.
    Refused,
    /// No answer came.
    Unanswered,
}

/// What the keeper of machines tells the owner of a shard when it asks for its work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurveyOrder {
    /// Workers that are to be left by their runs; no others are.
    pub vacate: Vec<WorkerId>,
    /// Those of them whose machines were ordered away; what is still shown there is gone or will be.
    pub ordered: Vec<WorkerId>,
    /// Machines that the platform lists as down.
    pub down: Vec<MachineId>,
    /// Lives that are over: the owner named them, and a list of machines that was read after that
    /// shows that they don't run any more.
    pub ended: Vec<WorkerLife>,
}

/// What the owner of a shard answers the keeper of machines.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SurveyReport {
    /// Work of each pool.
    pub pools: Vec<PoolLoad>,
    /// Workers to be vacated that run nothing and take no starts.
    pub clear: Vec<WorkerId>,
    /// Workers that may run something and can't be asked.
    pub silent: Vec<SilentWorker>,
}

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the life.
    pub life: LifeStart,
}

/// A worker that may run something and can't be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorker {
    /// The machine on which the life began.
    pub machine: MachineId,
    /// The life that the owner knows.
    pub life: WorkerLife,
}

/// How much work a pool has.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolId,
    /// Workers that take starts.
    pub workers: u32,
    /// What these workers have in total.
    pub capacity: ResourceSize,
    /// What is set aside for runs on all workers of the pool.
    pub used: ResourceSize,
    /// What the tasks would take that could start now.
    pub waiting: ResourceSize,
    /// Tasks that wait although there is room, as no worker may take them.
    pub blocked: u32,
    /// Workers that run something that lasts.
    pub anchors: u32,
    /// Workers that take starts and run nothing that lasts, those with the fewest runs first.
    pub movable: Vec<WorkerId>,
    /// Workers that take no starts although nobody wants their machines: they leave, can't be asked,
    /// or their availability zone was taken out.
    pub unavailable: Vec<WorkerId>,
    /// Those in an availability zone that was taken out that run nothing that lasts.
    pub evacuated: Vec<WorkerId>,
}

/// What a caller wants to know of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryScope<'a> {
    /// Account of the caller; only its own jobs are shown.
    Account(&'a str),
    /// The queue is open to all.
    Public,
}

/// What the owner knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    /// The job is in this state.
    Known(JobStatus),
    /// There is no such job.
    Unknown,
}
