//! Numbered log events, documented in `docs/EVENTS.md`.

use strum::{AsRefStr, EnumIter, EnumMessage};

/// Numbered log event; a number never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, EnumIter, EnumMessage)]
#[repr(u16)]
pub enum EventCode {
    /// An entry instance started serving callers.
    #[strum(message = "An entry instance started serving callers.")]
    EntryStarted = 100,
    /// An entry instance begins its graceful shutdown.
    #[strum(message = "An entry instance begins its graceful shutdown.")]
    EntryStopping = 101,
    /// An entry instance has finished its graceful shutdown.
    #[strum(message = "An entry instance has finished its graceful shutdown.")]
    EntryStopped = 102,
    /// A configuration came into force.
    #[strum(message = "A configuration came into force.")]
    FleetAccepted = 200,
    /// A log record was rejected by the fold.
    #[strum(message = "A log record was rejected by the fold.")]
    RecordRejected = 201,
    /// A log record could not be decoded and was skipped.
    #[strum(message = "A log record could not be decoded and was skipped.")]
    RecordMalformed = 202,
    /// The platform's log cannot be reached.
    #[strum(message = "The platform's log cannot be reached.")]
    LogUnreachable = 203,
    /// The platform's instance list cannot be reached.
    #[strum(message = "The platform's instance list cannot be reached.")]
    InstancesUnreachable = 204,
    /// The platform's log no longer keeps the records that this entry instance needs next.
    #[strum(message = "The platform's log no longer keeps the records that are needed next.")]
    LogExpired = 205,
    /// An append to the platform's log failed and is retried.
    #[strum(message = "An append to the platform's log failed.")]
    AppendFailed = 206,
    /// Proposals of a retired incarnation were dropped.
    #[strum(message = "Proposals of a retired incarnation were dropped.")]
    ProposalsDropped = 207,
    /// A log record of a newer format stopped the fold; the entry instance must be replaced.
    #[strum(
        message = "A log record of a newer format was not read; the fold stops there if a member announced it."
    )]
    RecordUnread = 208,
    /// An entry instance starts from a snapshot in the log.
    #[strum(message = "An entry instance starts from a snapshot in the log.")]
    SnapshotTaken = 209,
    /// Peers retired this entry instance; it rejoins with a new incarnation.
    #[strum(message = "Peers retired this entry instance; it rejoins.")]
    MemberRetired = 210,
    /// A caller's connection ended with an error.
    #[strum(message = "A caller's connection ended with an error.")]
    CallerFailed = 300,
    /// A backend server's answer was discarded: it was incomplete or belonged to another task.
    #[strum(message = "A backend server's answer was discarded.")]
    AnswerDiscarded = 400,
    /// A backend server could not be reached or broke the connection.
    #[strum(message = "A backend server could not be reached or broke the connection.")]
    BackendFailed = 401,
    /// A worker did not answer a request for a lease or its renewal.
    #[strum(message = "A worker did not answer a request for a lease or its renewal.")]
    LeaseUnanswered = 402,
    /// A worker failed too often and temporarily gets no tasks.
    #[strum(message = "A worker failed too often and temporarily gets no tasks.")]
    WorkerEjected = 410,
    /// A task reached its limit of failures and was given up.
    #[strum(message = "A task reached its limit of failures and was given up.")]
    TaskGivenUp = 411,
    /// A retry was refused because the retry budget is spent.
    #[strum(message = "A retry was refused because the retry budget is spent.")]
    RetryRefused = 412,
    /// A machine accepted an order from the planner.
    #[strum(message = "A machine accepted an order from the planner.")]
    MachineOrdered = 500,
    /// A machine refused an order from the planner that is outdated or can't be executed now.
    #[strum(message = "A machine refused an order from the planner.")]
    MachineRefused = 501,
    /// The platform's machine control did not answer.
    #[strum(message = "The platform's machine control did not answer.")]
    MachinesUnreachable = 502,
    /// A shard accepted a job.
    #[strum(message = "A shard accepted a job.")]
    JobAccepted = 600,
    /// A job was cancelled by its caller.
    #[strum(message = "A job was cancelled by its caller.")]
    JobCancelled = 601,
    /// A job changed its state.
    #[strum(message = "A job changed its state.")]
    JobStatusChanged = 602,
    /// The state of a job can't be encoded.
    #[strum(message = "The state of a job can't be encoded.")]
    JobImageRefused = 603,
    /// A job was forwarded to the shard of its pool, since its queue leads there now.
    #[strum(
        message = "A job was forwarded to the shard of its pool, since its queue leads there now."
    )]
    JobForwarded = 604,
    /// Starts were withdrawn, since the state of their job would be too large to be stored.
    #[strum(
        message = "Starts were withdrawn, since the state of their job would be too large to be stored."
    )]
    StartsWithdrawn = 605,
    /// A cancellation was stored of a job that the shard does not know.
    #[strum(message = "A cancellation was stored of a job that the shard does not know.")]
    CancellationEarly = 606,
    /// A request to start a run was answered or failed.
    #[strum(message = "A request to start a run was answered or failed.")]
    RunStart = 610,
    /// A run ended.
    #[strum(message = "A run ended.")]
    RunEnded = 611,
    /// A worker reported an unexpected run, which is stopped.
    #[strum(message = "A worker reported an unexpected run, which is stopped.")]
    StrayRun = 612,
    /// The pace of a run was changed.
    #[strum(message = "The pace of a run was changed.")]
    RunPaced = 613,
    /// A run was stopped to drain its worker.
    #[strum(message = "A run was stopped to drain its worker.")]
    RunMoved = 614,
    /// The service that advises which workers may run a step did not answer.
    #[strum(message = "The service that advises which workers may run a step did not answer.")]
    AdviceMissing = 615,
    /// A worker reported the end of a run that is not placed there.
    #[strum(message = "A worker reported the end of a run that is not placed there.")]
    EndDiscarded = 616,
    /// A task whose earlier run did not end as done is placed again.
    #[strum(message = "A task whose earlier run did not end as done is placed again.")]
    RunRepeated = 617,
    /// A long-running task has been waiting for a worker.
    #[strum(message = "A long-running task has been waiting for a worker.")]
    TaskUnplaced = 618,
    /// A job fails because the workers that started one of its tasks crashed.
    #[strum(message = "A job fails because the workers that started one of its tasks crashed.")]
    TaskCrashing = 619,
    /// A worker's life ended; its runs are lost.
    #[strum(message = "A worker's life ended; its runs are lost.")]
    WorkerLifeEnded = 620,
    /// A worker was unreachable until its leases expired.
    #[strum(message = "A worker was unreachable until its leases expired.")]
    WorkerLapsed = 621,
    /// A worker did not answer a poll.
    #[strum(message = "A worker did not answer a poll.")]
    WorkerSilent = 622,
    /// Runs wait until the leases on an unreachable worker have expired.
    #[strum(message = "Runs wait until the leases on an unreachable worker have expired.")]
    LeaseAwaited = 623,
    /// A worker crashed before it had confirmed a run, which may be the cause.
    #[strum(message = "A worker crashed before it had confirmed a run, which may be the cause.")]
    RunSuspected = 624,
    /// Tasks wait because other shards hold the maximum of their client account.
    #[strum(message = "Tasks wait because other shards hold the maximum of their client account.")]
    QuotaAwaited = 625,
    /// A node took over a shard.
    #[strum(message = "A node took over a shard.")]
    ShardTaken = 630,
    /// A node no longer owns a shard.
    #[strum(message = "A node no longer owns a shard.")]
    ShardLost = 631,
    /// A record in the store can't be read and is skipped.
    #[strum(message = "A record in the store can't be read and is skipped.")]
    RecordSkipped = 632,
    /// The platform's store became unreachable or reachable again.
    #[strum(message = "The platform's store became unreachable or reachable again.")]
    StoreReach = 633,
    /// A node read other members of the group than before.
    #[strum(message = "A node read other members of the group than before.")]
    GroupRead = 634,
    /// A node replaced the assignment of shards to nodes, or failed to.
    #[strum(message = "A node replaced the assignment of shards to nodes, or failed to.")]
    ShardsAssigned = 635,
    /// The pools of a queue were registered in the store.
    #[strum(message = "The pools of a queue were registered in the store.")]
    QueueRegistered = 636,
    /// A caller's request was answered.
    #[strum(message = "A caller's request was answered.")]
    RequestAnswered = 640,
    /// The settings were read again.
    #[strum(message = "The settings were read again.")]
    SettingsReloaded = 641,
    /// Log lines were suppressed to bound their volume.
    #[strum(message = "Log lines were suppressed to bound their volume.")]
    LinesSuppressed = 642,
    /// The control duty handles events late.
    #[strum(message = "The control duty handles events late.")]
    DutyLate = 643,
    /// The platform answered an order for a machine.
    #[strum(message = "The platform answered an order for a machine.")]
    MachineAnswered = 650,
    /// All machines of a maintenance wave have begun their maintenance.
    #[strum(message = "All machines of a maintenance wave have begun their maintenance.")]
    WaveCompleted = 651,
    /// A node started or stopped running the machine controller.
    #[strum(message = "A node started or stopped running the machine controller.")]
    KeeperRole = 652,
    /// A machine moves to another pool.
    #[strum(message = "A machine moves to another pool.")]
    MachineMoved = 653,
    /// The number of machines that a pool needs changed.
    #[strum(message = "The number of machines that a pool needs changed.")]
    PoolSized = 654,
    /// A completed maintenance wave has another machine.
    #[strum(message = "A completed maintenance wave has another machine.")]
    WaveReopened = 655,
    /// A message from a peer was refused.
    #[strum(message = "A message from a peer was refused.")]
    PeerRefused = 700,
    /// A peer could not be reached or broke the connection.
    #[strum(message = "A peer could not be reached or broke the connection.")]
    PeerFailed = 701,
    /// A stand-in for a platform service is listening.
    #[strum(message = "A stand-in for a platform service is listening.")]
    StandinStarted = 900,
}

impl EventCode {
    /// Returns the number of the event in logs.
    pub fn number(self) -> u16 {
        self as u16
    }
}
