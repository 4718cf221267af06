//! Admission and handling of caller requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use strum::{AsRefStr, Display};

use crate::links::StoreEntry;
use crate::message::CallerMessage;
use crate::owners::{OwnerClient, OwnerFault};
use crate::request::{NodeRequest, NodeResponse};
use crate::settings::NodeSettings;
use crate::writer::{SubmissionWriter, SubmitOutcome};

/// Suffix of the key under which a job's cancellation is stored.
pub const CANCEL_SUFFIX: &str = "/cancel";
/// Suffix of the key under which a submission is stored that its intake shard forwards to another one.
/// It takes the place of none that stays in the shard.
pub const REROUTE_SUFFIX: &str = "/reroute";

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
                Ok(_) => return SubmitOutcome::Stored,
                Err(ServiceRefusal::UnknownJob) => {}
                Err(_) => return SubmitOutcome::NotStored,
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
            Ok(value) => self.store(intake, StoreEntry { key, value }).await,
            Err(error) => {
                let event = EventCode::JobImageRefused.number();
                tracing::error!(event, job = &**job, %error, "submission can't be encoded");
                SubmitOutcome::TooLarge
            }
        }
    }

    /// Stores the cancellation of a job, unless its owner reports that the job has ended or does
    /// not exist.
    ///
    /// # Errors
    ///
    /// Fails if the job does not exist, or if it is not known which shard has it.
    pub async fn cancel(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<SubmitOutcome, ServiceRefusal> {
        let shard = match self.locate(admission, job).await {
            Ok((_, Some(JobStatus::Cancelled | JobStatus::Completed | JobStatus::Failed))) => {
                return Ok(SubmitOutcome::Stored);
            }
            Ok((shard, _)) => shard,
            // The owner may be lost, and the next one reads the cancellation.
            Err(ServiceRefusal::NoOwner) if admission.shards.others.is_empty() => {
                admission.shards.intake
            }
            Err(refusal) => return Err(refusal),
        };
        Ok(self.store(shard, cancellation(job)).await)
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
        let (_, status) = self.locate(admission, job).await?;
        status.ok_or(ServiceRefusal::NoOwner)
    }

    /// Finds the shard that has a job; returns it with the job's status, if its owner reports it.
    async fn locate(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<(ShardNumber, Option<JobStatus>), ServiceRefusal> {
        let mut refusal = ServiceRefusal::UnknownJob;
        for shard in admission.shards.all() {
            match self.request_status(shard, admission, job).await {
                Some(NodeResponse::Status(status)) => return Ok((shard, Some(status))),
                Some(NodeResponse::Moved(shard)) => {
                    let response = self.request_status(shard, admission, job).await;
                    let status = match response {
                        Some(NodeResponse::Status(status)) => Some(status),
                        // The submission may not have been read there yet.
                        _ => None,
                    };
                    return Ok((shard, status));
                }
                Some(NodeResponse::UnknownJob) => {}
                _ => refusal = ServiceRefusal::NoOwner,
            }
        }
        Err(refusal)
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

    /// Stores a record, through the shard's owner if the store rejects calls of this node.
    async fn store(&self, shard: ShardNumber, entry: StoreEntry) -> SubmitOutcome {
        let StoreEntry { key, value } = entry;
        let writer = &self.shared.writer;
        let outcome = writer.write(shard, key.clone(), value.clone()).await;
        if outcome != SubmitOutcome::NotStored {
            return outcome;
        }
        let request = NodeRequest::Store { shard, key, value };
        match self.shared.owners.request_peer(request).await {
            Ok(NodeResponse::Stored) => SubmitOutcome::Stored,
            Ok(NodeResponse::NotStored | NodeResponse::NotOwner) | Err(OwnerFault::NotSent) => {
                SubmitOutcome::NotStored
            }
            Ok(_) | Err(OwnerFault::Unanswered) => SubmitOutcome::Unknown,
        }
    }
}

/// Returns the record of a job's cancellation.
pub(crate) fn cancellation(job: &JobId) -> StoreEntry {
    StoreEntry {
        key: format!("{job}{CANCEL_SUFFIX}"),
        value: vec![1],
    }
}
