//! Admission and handling of caller requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use strum::{AsRefStr, Display};

use crate::cancellation::CancellationRecord;
use crate::links::StoreEntry;
use crate::message::CallerMessage;
use crate::owners::{OwnerClient, OwnerFault};
use crate::request::{NodeRequest, NodeResponse};
use crate::settings::NodeSettings;
use crate::writer::{SubmissionWriter, SubmitOutcome, WriteFault};

/// Suffix of the key under which a submission is stored that its intake shard forwards to another one.
/// It takes the place of none that stays in the shard.
pub const REROUTE_SUFFIX: &str = "/reroute";

/// First delay before an owner is asked again whether a job is absent; doubled up to the longest one. An
/// owner reads a stored cancellation within milliseconds.
const ABSENCE_RETRY: Duration = Duration::from_millis(5);
/// Longest delay before an owner is asked again whether a job is absent.
const ABSENCE_RETRY_MAX: Duration = Duration::from_millis(160);

/// Service for caller requests; clones share their state.
#[derive(Clone)]
pub struct JobService {
    shared: Rc<ServiceState>,
}

struct ServiceState {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    writer: SubmissionWriter,
    owners: OwnerClient,
    /// `None` until the first read.
    config: RefCell<Option<Arc<FleetConfig>>>,
    /// When the last successful read of the configuration was sent.
    config_read_at: Cell<Option<Instant>>,
    /// Pools of the queues; `None` until the first read.
    intakes: RefCell<Option<Arc<IntakeTable>>>,
    stopping: Cell<bool>,
}

/// Admission of a caller to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// The queue.
    pub queue: QueueId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Shards that may have its jobs.
    pub shards: QueueShards,
    /// Client account of the caller; `None` on a public queue.
    pub account: Option<AccountId>,
    /// Path after the queue's prefix.
    pub rest: String,
    /// Rules of the queue.
    pub rule: QueueRule,
    /// Version of the configuration that admitted the caller.
    pub version: u64,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceRefusal {
    /// The node has no configuration yet.
    NoConfig,
    /// No queue matches the host and path.
    NoQueue,
    /// The pool of the queue is not registered in the store yet.
    NoIntake,
    /// The queue requires a key, and the request has no valid one.
    NoKey,
    /// The configuration is too old to admit or refuse a request by it.
    StaleConfig,
    /// The shard's owner can't be reached.
    NoOwner,
    /// The job does not exist.
    UnknownJob,
}

/// What the owners of a queue's shards know of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobLocation {
    /// This shard has the job; its owner may not report the status.
    Shard(ShardNumber, Option<JobStatus>),
    /// The job belongs to another client account.
    Hidden,
    /// No owner has read a submission of the job. One that was accepted recently may exist.
    Unread,
    /// The owner of a shard that may have the job can't be asked.
    Unreachable,
}

/// A cancellation that is stored in all shards that may have its job.
struct StoredCancellation<'a> {
    admission: &'a Admission,
    job: &'a JobId,
    /// Where it is stored in each shard; `None` if another node stored it.
    offsets: IndexMap<ShardNumber, Option<LogOffset>>,
}

impl JobService {
    /// Creates the service of a node.
    pub fn new(
        settings: NodeSettings,
        clock: Arc<dyn ClockSource>,
        writer: SubmissionWriter,
        owners: OwnerClient,
    ) -> Self {
        Self {
            shared: Rc::new(ServiceState {
                settings,
                clock,
                writer,
                owners,
                config: RefCell::default(),
                config_read_at: Cell::default(),
                intakes: RefCell::default(),
                stopping: Cell::default(),
            }),
        }
    }

    /// Handles a message of another duty.
    pub fn handle(&self, message: CallerMessage) {
        let state = &self.shared;
        match message {
            CallerMessage::ConfigRead {
                requested_at,
                config,
            } => {
                if config.is_some() {
                    *state.config.borrow_mut() = config;
                }
                if state.config.borrow().is_some() {
                    state.config_read_at.set(Some(requested_at));
                }
            }
            CallerMessage::Intakes(table) => *state.intakes.borrow_mut() = Some(table),
            CallerMessage::Owners(rows) => state.owners.set_owners(&rows),
            CallerMessage::Stopping => state.stopping.set(true),
        }
    }

    /// Returns whether the node is ready for new callers.
    pub fn is_ready(&self) -> bool {
        let state = &self.shared;
        let is_informed = state.config_read_at.get().is_some() && state.intakes.borrow().is_some();
        is_informed && !state.stopping.get()
    }

    /// Returns the age of the configuration; `None` before the first read.
    pub fn config_age(&self) -> Option<Duration> {
        let requested_at = self.shared.config_read_at.get()?;
        Some(
            self.shared
                .clock
                .now()
                .saturating_duration_since(requested_at),
        )
    }

    /// Returns the delay after which a rejected caller may retry.
    pub fn retry_after(&self) -> Duration {
        self.shared.settings.retry_after
    }

    /// Finds the queue of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Fails if the configuration does not admit the request, or is missing or too old.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Admission, ServiceRefusal> {
        let state = &self.shared;
        let requested_at = state.config_read_at.get().ok_or(ServiceRefusal::NoConfig)?;
        let config = state.config.borrow();
        let config = config.as_ref().ok_or(ServiceRefusal::NoConfig)?;
        let age = state.clock.now().saturating_duration_since(requested_at);
        if age > state.settings.max_config_age {
            return Err(ServiceRefusal::StaleConfig);
        }
        let found = config.find_queue(host, path);
        let (queue, rule, rest) = found.ok_or(ServiceRefusal::NoQueue)?;
        let account = if rule.public {
            None
        } else {
            let account = key.and_then(|key| config.account_of(key));
            Some(account.ok_or(ServiceRefusal::NoKey)?.clone())
        };
        let intakes = state.intakes.borrow();
        let shards = intakes
            .as_ref()
            .and_then(|table| table.shards_of(queue, &rule.pool, state.settings.shards));
        Ok(Admission {
            shards: shards.ok_or(ServiceRefusal::NoIntake)?,
            queue: queue.clone(),
            pool: rule.pool.clone(),
            account,
            rest: rest.to_owned(),
            rule: rule.clone(),
            version: config.version,
        })
    }

    /// Stores a submission in the intake shard of its queue.
    ///
    /// Once the queue has led to pools of several shards, they are asked first: the job may have been
    /// submitted before, and only they know of one that was forwarded long ago.
    pub async fn submit(&self, admission: &Admission, job: &JobId, spec: JobSpec) -> SubmitOutcome {
        if !admission.shards.others.is_empty() {
            match self.locate(admission, job).await {
                JobLocation::Shard(..) => return SubmitOutcome::Stored,
                JobLocation::Hidden | JobLocation::Unread => {}
                JobLocation::Unreachable => return SubmitOutcome::NotStored,
            }
        }
        let record = SubmissionRecord {
            queue: admission.queue.clone(),
            pool: admission.pool.clone(),
            account: admission.account.clone(),
            accepted: self.shared.clock.wall(),
            terms: terms_of(&spec, &admission.rule),
            spec,
        };
        let intake = admission.shards.intake;
        let stays = find_shard(&admission.pool, self.shared.settings.shards) == intake;
        let suffix = if stays { "" } else { REROUTE_SUFFIX };
        let key = format!("{job}{suffix}");
        match encode_submission(&record) {
            Ok(value) => match self.store(intake, StoreEntry { key, value }).await {
                Ok(_) => SubmitOutcome::Stored,
                Err(fault) => fault.into(),
            },
            Err(error) => {
                let event = EventCode::JobImageRefused.number();
                tracing::error!(event, job = &**job, %error, "submission can't be encoded");
                SubmitOutcome::TooLarge
            }
        }
    }

    /// Stores the cancellation of a job, unless its owner reports that the job has ended or belongs to
    /// another account.
    ///
    /// An owner that does not know the job may not have read its submission, or the store may execute it
    /// seconds later. The job counts as unknown once its cancellation is stored and the owners have read
    /// up to there; a submission that is accepted after that is a new job.
    ///
    /// # Errors
    ///
    /// Fails if the job does not exist.
    pub async fn cancel(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<SubmitOutcome, ServiceRefusal> {
        let location = self.locate(admission, job).await;
        let shards: IndexSet<ShardNumber> = match location {
            JobLocation::Shard(
                _,
                Some(JobStatus::Cancelled | JobStatus::Completed | JobStatus::Failed),
            ) => return Ok(SubmitOutcome::Stored),
            JobLocation::Shard(shard, _) => IndexSet::from([shard]),
            JobLocation::Hidden => return Err(ServiceRefusal::UnknownJob),
            JobLocation::Unread | JobLocation::Unreachable => admission.shards.all().collect(),
        };
        let offsets = match self
            .store_cancellation(&shards, job, CancellationRecord::All)
            .await
        {
            Ok(offsets) => offsets,
            Err(fault) => return Ok(fault.into()),
        };
        let cancellation = StoredCancellation {
            admission,
            job,
            offsets,
        };
        if location == JobLocation::Unread && self.is_absent(&cancellation).await {
            let earlier = CancellationRecord::Earlier(self.shared.clock.wall());
            let stored = self.store_cancellation(&shards, job, earlier).await;
            if stored.is_ok() {
                return Err(ServiceRefusal::UnknownJob);
            }
        }
        Ok(SubmitOutcome::Stored)
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    ///
    /// Fails if the job does not exist or its owner can't be reached.
    pub async fn status(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<JobStatus, ServiceRefusal> {
        match self.locate(admission, job).await {
            JobLocation::Shard(_, Some(status)) => Ok(status),
            // The platform allows some seconds until an accepted job is visible.
            JobLocation::Hidden | JobLocation::Unread => Err(ServiceRefusal::UnknownJob),
            JobLocation::Shard(_, None) | JobLocation::Unreachable => Err(ServiceRefusal::NoOwner),
        }
    }

    /// Finds the shard that has a job.
    async fn locate(&self, admission: &Admission, job: &JobId) -> JobLocation {
        let mut location = JobLocation::Unread;
        for shard in admission.shards.all() {
            match self.request_status(shard, admission, job).await {
                Some(NodeResponse::Status(status)) => {
                    return JobLocation::Shard(shard, Some(status));
                }
                Some(NodeResponse::Moved(shard)) => {
                    let response = self.request_status(shard, admission, job).await;
                    let status = match response {
                        Some(NodeResponse::Status(status)) => Some(status),
                        // The submission may not have been read there yet.
                        _ => None,
                    };
                    return JobLocation::Shard(shard, status);
                }
                Some(NodeResponse::UnknownJob) => {}
                Some(NodeResponse::HiddenJob) => location = JobLocation::Hidden,
                _ if location == JobLocation::Hidden => {}
                _ => location = JobLocation::Unreachable,
            }
        }
        location
    }

    /// Returns whether the owners report that no submission of the job precedes its cancellation.
    async fn is_absent(&self, cancellation: &StoredCancellation<'_>) -> bool {
        for (shard, offset) in &cancellation.offsets {
            let Some(offset) = offset else {
                return false;
            };
            if !self.is_absent_before(*shard, *offset, cancellation).await {
                return false;
            }
        }
        true
    }

    /// Asks the owner of a shard, until it has read the submissions up to `offset`.
    async fn is_absent_before(
        &self,
        shard: ShardNumber,
        offset: LogOffset,
        cancellation: &StoredCancellation<'_>,
    ) -> bool {
        let request = NodeRequest::StatusBefore {
            shard,
            job: cancellation.job.clone(),
            account: cancellation.admission.account.clone(),
            offset,
        };
        let mut delay = ABSENCE_RETRY;
        loop {
            match self.shared.owners.request(request.clone()).await {
                Some(NodeResponse::AbsentJob) => return true,
                Some(NodeResponse::UnknownJob) if delay <= ABSENCE_RETRY_MAX => {}
                _ => return false,
            }
            Timer::after(delay).await;
            delay *= 2;
        }
    }

    async fn request_status(
        &self,
        shard: ShardNumber,
        admission: &Admission,
        job: &JobId,
    ) -> Option<NodeResponse> {
        let request = NodeRequest::Status {
            shard,
            job: job.clone(),
            account: admission.account.clone(),
        };
        self.shared.owners.request(request).await
    }

    /// Returns the number of pending jobs of the queue.
    ///
    /// # Errors
    ///
    /// Fails if an owner can't be reached.
    pub async fn pending(&self, admission: &Admission) -> Result<u64, ServiceRefusal> {
        let mut sum = 0;
        for shard in admission.shards.all() {
            let request = NodeRequest::Pending {
                shard,
                queue: admission.queue.clone(),
            };
            match self.shared.owners.request(request).await {
                Some(NodeResponse::Pending(pending)) => sum += pending,
                _ => return Err(ServiceRefusal::NoOwner),
            }
        }
        Ok(sum)
    }

    /// Stores the cancellation of a job in several shards and returns where.
    async fn store_cancellation(
        &self,
        shards: &IndexSet<ShardNumber>,
        job: &JobId,
        record: CancellationRecord,
    ) -> Result<IndexMap<ShardNumber, Option<LogOffset>>, WriteFault> {
        let mut offsets = IndexMap::new();
        for shard in shards {
            match self.store(*shard, record.entry(job)).await {
                Ok(offset) => offsets.insert(*shard, offset),
                Err(fault) if offsets.is_empty() => return Err(fault),
                // It is stored in one of the shards.
                Err(_) => return Err(WriteFault::Unknown),
            };
        }
        Ok(offsets)
    }

    /// Stores a record, through the shard's owner if the store rejects calls of this node. Returns where,
    /// unless the owner stored it.
    async fn store(
        &self,
        shard: ShardNumber,
        entry: StoreEntry,
    ) -> Result<Option<LogOffset>, WriteFault> {
        let StoreEntry { key, value } = entry;
        let writer = &self.shared.writer;
        match writer.write(shard, key.clone(), value.clone()).await {
            Err(WriteFault::NotStored) => {}
            result => return result.map(Some),
        }
        let request = NodeRequest::Store { shard, key, value };
        match self.shared.owners.request_peer(request).await {
            Ok(NodeResponse::Stored) => Ok(None),
            Ok(NodeResponse::NotStored | NodeResponse::NotOwner) | Err(OwnerFault::NotSent) => {
                Err(WriteFault::NotStored)
            }
            Ok(_) | Err(OwnerFault::Unanswered) => Err(WriteFault::Unknown),
        }
    }
}
