//! Events, commands and reports of a shard's controller.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

use crate::config::FleetConfig;
use crate::worker::WorkerEntry;

/// An input of a shard's controller.
#[derive(Debug, Clone)]
pub enum ShardEvent {
    /// A new configuration took effect.
    Config(Arc<FleetConfig>),
    /// The complete list of workers that the platform reports for the shard's pools.
    Workers {
        /// The workers.
        entries: Vec<WorkerEntry>,
        /// Start of the latest worker life on each machine of the whole fleet.
        lives: Arc<IndexMap<MachineId, LifeStart>>,
    },
    /// A submission was stored.
    Submitted(JobId, Arc<SubmissionRecord>),
    /// A submission was stored that this build can't read.
    Unreadable(JobId),
    /// A submission was stored whose job runs in a pool of another shard.
    Rerouted(JobId, Arc<SubmissionRecord>),
    /// A cancellation was stored.
    Cancelled(JobId),
    /// The cancellation of a job was stored whose caller was told that it did not exist. Submissions that
    /// were accepted up to this time are cancelled.
    CancelledBefore(JobId, SystemTime),
    /// The records of the [`ShardCommand::Store`] with this sequence number are stored.
    Stored(u64),
    /// The ownership of the shard was confirmed as of this time.
    OwnershipConfirmed(Instant),
    /// All changes of an input that were in force at this time have been handed over.
    InputRead(ShardInput, Instant),
    /// All submissions and cancellations before an offset have been handed over, and all that were
    /// stored at this time.
    SubmissionsRead(LogOffset, Instant),
    /// A poll of a worker completed or failed.
    Polled {
        /// The request.
        order: PollOrder,
        /// Its result.
        result: Result<PollReport, CallFault>,
        /// When the result arrived.
        answered_at: Instant,
    },
    /// A start completed or failed.
    Started {
        /// The request.
        order: StartOrder,
        /// Its result.
        outcome: StartOutcome,
    },
    /// A stop completed or failed.
    Stopped {
        /// The request.
        order: StopOrder,
        /// Its result.
        result: Result<(), CallFault>,
    },
    /// A change of pace completed or failed.
    Paced {
        /// The request.
        order: PaceOrder,
        /// Its result.
        result: Result<(), CallFault>,
    },
    /// A request to the advice service completed or failed.
    Advised {
        /// The request.
        order: AdviceOrder,
        /// Its result.
        result: Result<AdviceReport, CallFault>,
    },
    /// The machine controller requested a report.
    Surveyed(SurveyOrder),
    /// The controller's next deadline has passed.
    Tick,
}

/// What an owner has to know recently in order to start tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ShardInput {
    /// The configuration with the evacuated availability zones.
    Config,
    /// The list of workers with those that drain.
    Workers,
    /// The submissions and cancellations.
    Submissions,
}

impl ShardInput {
    /// All inputs.
    pub const ALL: [Self; 3] = [Self::Config, Self::Workers, Self::Submissions];
}

/// An output of a shard's controller.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardCommand {
    /// Store these records atomically, then send [`ShardEvent::Stored`].
    Store {
        /// Sequence number of the request.
        sequence: u64,
        /// Records to store.
        records: Vec<StoreRecord>,
    },
    /// Poll a worker for its runs and renew its lease.
    Poll(PollOrder),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set how fast a run works.
    Pace(PaceOrder),
    /// Ask the advice service which workers may run a step.
    Advise(AdviceOrder),
    /// Check the ownership, because a worker reported a later owner.
    CheckOwnership,
}

/// A change to the stored records of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRecord {
    /// Store the job's encoded state.
    State(JobId, Vec<u8>),
    /// Delete all records of the job.
    Remove(JobId),
    /// Delete the cancellation of a job that was not submitted, and no other record of the job.
    RemoveCancellation(JobId),
    /// Store the job's submission in the shard of its pool, before the other records.
    Forward {
        /// The job.
        job: JobId,
        /// Its submission.
        record: Arc<SubmissionRecord>,
        /// Store its cancellation as well.
        cancelled: bool,
    },
}

/// The stored state of a shard.
#[derive(Debug, Clone, Default)]
pub struct ShardImage {
    /// Submissions in the order of the store.
    pub submissions: Vec<(JobId, Arc<SubmissionRecord>)>,
    /// Submissions of jobs that run in pools of other shards.
    pub rerouted: Vec<(JobId, Arc<SubmissionRecord>)>,
    /// Jobs that their callers cancelled.
    pub cancelled: Vec<JobId>,
    /// Jobs of which the submissions accepted up to a time are cancelled.
    pub cancelled_before: Vec<(JobId, SystemTime)>,
    /// States of jobs.
    pub states: Vec<(JobId, JobState)>,
    /// Jobs whose submission or state is stored, but can't be read.
    pub unreadable: IndexSet<JobId>,
    /// Longest remaining time of each worker's lease, if the previous owner released the shard.
    pub leases: Option<IndexMap<WorkerId, Duration>>,
    /// When the claim was requested, which confirms the ownership; `None` if the claim is as recent
    /// as the opening.
    pub claimed_at: Option<Instant>,
}

/// Polls a worker for its runs and renews its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollOrder {
    /// Worker to poll.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected life of the worker; `None` while it is unknown.
    pub life: Option<LifeStart>,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Fence of the order; the worker rejects orders with a lower one than it has seen.
    pub fence: OrderFence,
    /// Run ends up to this number are stored, so the worker may discard them.
    pub acknowledged: EndNumber,
    /// Time after which the acknowledgement must not be sent: a later life of the worker, which counts
    /// its ends anew, may have ended a run by then.
    pub acknowledge_by: Instant,
    /// End of the lease on the worker's clock; `None` does not renew it.
    pub lease_until: Option<WorkerMillis>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
    /// When the poll was sent.
    pub sent_at: Instant,
}

/// Answer of a worker to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PollReport {
    /// The worker's clock when it answered.
    pub clock: WorkerMillis,
    /// The worker's life.
    pub life: LifeStart,
    /// Runs on the worker.
    pub running: Vec<ActiveRun>,
    /// Ended runs, in the order of their numbers.
    pub finished: Vec<FinishedRun>,
    /// Why a run on the worker is missing from `running`, if its row could not be decoded.
    pub malformed_run: Option<String>,
    /// Why an ended run is missing from `finished`, if its row could not be decoded.
    pub malformed_end: Option<String>,
    /// Further ended runs may be missing from `finished`: a worker lists a limited number at a time,
    /// the next ones once these are acknowledged.
    pub more_ends: bool,
}

/// The runs that an answer of a worker lists.
///
/// A run that is missing is gone only if the answer lists all runs and all ends: otherwise it may be
/// active, or it may have ended in any way.
#[derive(Debug, Clone)]
pub struct ListedRuns<'a> {
    active: HashSet<(&'a TaskName, RunNumber)>,
    is_complete: bool,
}

impl PollReport {
    /// Returns the runs that the answer lists.
    pub fn listed_runs(&self) -> ListedRuns<'_> {
        let active = self.running.iter().map(|run| (&run.task, run.run));
        let has_malformed = self.malformed_run.is_some() || self.malformed_end.is_some();
        ListedRuns {
            active: active.collect(),
            is_complete: !has_malformed && !self.more_ends,
        }
    }
}

impl ListedRuns<'_> {
    /// Returns whether a run is active on the worker.
    pub fn is_active(&self, task: &TaskName, run: RunNumber) -> bool {
        self.active.contains(&(task, run))
    }

    /// Returns whether a run, whose end is not among those applied, is certainly no longer on the
    /// worker, nor its end left to be listed.
    pub fn is_gone(&self, task: &TaskName, run: RunNumber) -> bool {
        self.is_complete && !self.is_active(task, run)
    }
}

/// A run that is active on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Latest saved checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u8,
    /// Tail latency in milliseconds of a task that serves requests, CPU use in millicores of any
    /// other task; over the last half second.
    pub load: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedRun {
    /// Sequence number of the end on the worker.
    pub number: EndNumber,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// How the run ended.
    pub end: RunEnd,
    /// Latest saved checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Asks the advice service which workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceOrder {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: OccurrenceNumber,
    /// Index of the step.
    pub step: u32,
    /// Workers to check.
    pub workers: Vec<WorkerId>,
}

/// Answer of the advice service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdviceReport {
    /// Tickets of the workers that may run the step.
    pub tickets: IndexMap<WorkerId, Arc<str>>,
    /// How long the tickets are valid.
    pub validity: Duration,
    /// Why a ticket is missing, if its row could not be decoded.
    pub malformed_ticket: Option<String>,
}

/// Starts a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker that executes the run.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected life of the worker.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// The task runs until its job is cancelled, and starts again after each end.
    pub long_running: bool,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket for the step on the worker, if its queue requires one.
    pub ticket: Option<Arc<str>>,
    /// End of the lease on the worker's clock.
    pub lease_until: WorkerMillis,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Fence of the order; the worker rejects orders with a lower one than it has seen.
    pub fence: OrderFence,
    /// Time up to which the owner had handled the answers of workers.
    pub decided_as_of: Instant,
    /// Time after which the start must not be sent, because a cancellation, a drain or a change of
    /// owner may be in force that this owner has not seen.
    pub send_by: Instant,
}

/// Result of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartOutcome {
    /// The run is active or has already ended.
    Accepted,
    /// The worker knows a later owner.
    Fenced,
    /// This run or a later one of the task was stopped or has ended on the worker.
    Superseded,
    /// The lease had expired when the order arrived.
    LeaseOver,
    /// The worker lacks free resources.
    NoRoom,
    /// The worker is not allowed to run the step.
    NotAllowed,
    /// The worker could not parse the order.
    Malformed,
    /// The worker is unhealthy and did not execute the order.
    Unhealthy,
    /// Another worker, or another life of this one, answered at the address.
    OtherLife,
    /// No byte of the order left this process.
    NotSent,
    /// No answer came; the order may have been executed, or may still be.
    Unanswered,
}

/// Stops a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected life of the worker.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Fence of the order; the worker rejects orders with a lower one than it has seen.
    pub fence: OrderFence,
}

/// Sets how fast a run works.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceOrder {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected life of the worker.
    pub life: LifeStart,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Pace in percent of full speed.
    pub percent: u8,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Fence of the order; the worker rejects orders with a lower one than it has seen.
    pub fence: OrderFence,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallFault {
    /// The worker knows a later owner.
    Fenced,
    /// Another worker, or another life of this one, answered at the address.
    OtherLife,
    /// The worker is unhealthy and did not execute the order.
    Unhealthy,
    /// The worker refused the call for another reason.
    Refused,
    /// No answer came.
    Unanswered,
}

/// Request of the machine controller for a [`SurveyReport`] of a shard, with the machines it needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurveyOrder {
    /// All workers to drain: they get no starts, and their runs move away.
    pub drain: Vec<WorkerId>,
    /// Those of them whose machines already have an order; runs that are still reported there are
    /// lost, or are about to be.
    pub ordered: Vec<WorkerId>,
    /// Machines that the platform lists as down.
    pub down: Vec<MachineId>,
    /// Lives that have ended: the owner reported them as unreachable, and a list of machines read
    /// after that report shows that they no longer run.
    pub ended: Vec<WorkerLife>,
}

/// Report of a shard's owner to the machine controller.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SurveyReport {
    /// Load of each pool.
    pub pools: Vec<PoolLoad>,
    /// Workers to drain that have no runs left; they accept no starts.
    pub drained: Vec<WorkerId>,
    /// Unreachable workers that may have runs.
    pub unreachable: Vec<UnreachableWorker>,
}

/// One life of a worker: its process from start to exit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLife {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the life.
    pub life: LifeStart,
}

/// An unreachable worker that may have runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableWorker {
    /// Machine on which the life started.
    pub machine: MachineId,
    /// Last known life of the worker.
    pub life: WorkerLife,
}

/// Load of a pool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolId,
    /// Number of workers that accept starts.
    pub workers: u32,
    /// Total capacity of these workers.
    pub capacity: ResourceSize,
    /// The same without what they have lost since they started.
    pub full_capacity: ResourceSize,
    /// Resources reserved for runs on all workers of the pool.
    pub used: ResourceSize,
    /// Resources that the waiting tasks need that are ready to start.
    pub waiting: ResourceSize,
    /// The part of it whose jobs can no longer meet their objectives.
    pub late: ResourceSize,
    /// Number of steps with tasks that wait although some worker has room, because no such worker
    /// is eligible, or that are too large for all workers since these have shrunk.
    pub blocked: u32,
    /// Number of workers with long-running tasks.
    pub long_running_workers: u32,
    /// Workers that accept starts and have no long-running tasks, those with the fewest runs first,
    /// and among these the ones that have lost capacity.
    pub movable: Vec<WorkerId>,
    /// Workers that accept no starts for another reason than a drain request: they leave, are
    /// unreachable or down, or are in an evacuated availability zone.
    pub unavailable: Vec<WorkerId>,
    /// Workers in an evacuated availability zone without long-running tasks.
    pub evacuated: Vec<WorkerId>,
}

impl PoolLoad {
    /// Returns the total capacity without what the workers have lost since they started.
    pub(crate) fn full(&self) -> ResourceSize {
        self.full_capacity.max(&self.capacity)
    }
}

/// Which jobs a caller may query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryScope<'a> {
    /// Only jobs of this client account.
    Account(&'a str),
    /// Only jobs without a client account, those of public queues.
    Public,
}

impl<'a> From<Option<&'a AccountId>> for QueryScope<'a> {
    fn from(account: Option<&'a AccountId>) -> Self {
        account.map_or(Self::Public, |account| Self::Account(account))
    }
}

impl QueryScope<'_> {
    /// Returns whether the caller may query a job.
    pub(crate) fn includes(self, record: &SubmissionRecord) -> bool {
        match self {
            Self::Public => record.account.is_none(),
            Self::Account(account) => record.account.as_deref() == Some(account),
        }
    }
}

/// Result of a query for a job's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobAnswer {
    /// Status of the job.
    Known(JobStatus),
    /// The owner has read no submission of the job. One that was accepted recently may exist.
    Unknown,
    /// No submission of the job precedes the offset of the query.
    Absent,
    /// The job belongs to another client account.
    Hidden,
    /// The job was forwarded to the shard of this pool.
    Moved(PoolId),
    /// The job is not known, but may have been submitted or may belong to another owner by now.
    Uncertain,
}
