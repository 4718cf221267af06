//! Decisions about callers' requests: who may submit, and what they are told.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use strum::{AsRefStr, Display};

use crate::message::CallerMessage;
use crate::owners::{OwnerClient, OwnerFault};
use crate::request::{NodeRequest, NodeResponse};
use crate::settings::NodeSettings;
use crate::writer::{SubmissionWriter, SubmitOutcome};

/// End of the key under which a job's cancellation is stored.
pub const CANCEL_SUFFIX: &str = "/cancel";

/// The way in for callers; clones share the same state.
#[derive(Clone)]
pub struct JobService {
    shared: Rc<ServiceState>,
}

struct ServiceState {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    writer: SubmissionWriter,
    owners: OwnerClient,
    /// `None` until the first one is read.
    config: RefCell<Option<Arc<FleetConfig>>>,
    /// When the configuration was asked for last with success.
    requested_at: Cell<Option<Instant>>,
    stopping: Cell<bool>,
}

/// A caller that may use a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    /// The queue.
    pub queue: QueueId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Account of the caller; `None` on a queue open to all.
    pub account: Option<AccountId>,
    /// Rest of the path after the queue's prefix.
    pub rest: String,
    /// Rules of the queue.
    pub rule: QueueRule,
    /// Version of the configuration that admitted it.
    pub version: u64,
}

/// Why a request is not admitted, or has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceRefusal {
    /// The node has no configuration yet.
    NoConfig,
    /// No queue belongs to the host and path.
    NoQueue,
    /// The queue needs a key, and the one shown is not in force.
    NoKey,
    /// The configuration is too old to take a key.
    StaleConfig,
    /// The shard's owner can't be asked now.
    NoOwner,
    /// There is no such job.
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
                requested_at: Cell::default(),
                stopping: Cell::default(),
            }),
        }
    }

    /// Takes what other duties tell.
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
                    state.requested_at.set(Some(requested_at));
                }
            }
            CallerMessage::Owners(rows) => state.owners.set_owners(&rows),
            CallerMessage::Stopping => state.stopping.set(true),
        }
    }

    /// Returns whether new callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.shared.requested_at.get().is_some() && !self.shared.stopping.get()
    }

    /// Returns the age of the configuration; `None` while there is none.
    pub fn config_age(&self) -> Option<Duration> {
        let requested_at = self.shared.requested_at.get()?;
        Some(
            self.shared
                .clock
                .now()
                .saturating_duration_since(requested_at),
        )
    }

    /// Returns when a caller that was turned away may come back.
    pub fn retry_after(&self) -> Duration {
        self.shared.settings.retry_after
    }

    /// Finds the queue of a request and checks its key.
    ///
    /// # Errors
    ///
    /// Fails when the configuration does not admit it, or is not known well enough.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Admission, ServiceRefusal> {
        let state = &self.shared;
        let requested_at = state.requested_at.get().ok_or(ServiceRefusal::NoConfig)?;
        let config = state.config.borrow();
        let config = config.as_ref().ok_or(ServiceRefusal::NoConfig)?;
        let found = config.find_queue(host, path);
        let (queue, rule, rest) = found.ok_or(ServiceRefusal::NoQueue)?;
        let account = if rule.public {
            None
        } else {
            let age = state.clock.now().saturating_duration_since(requested_at);
            if age > state.settings.max_config_age {
                return Err(ServiceRefusal::StaleConfig);
            }
            let account = key.and_then(|key| config.account_of(key));
            Some(account.ok_or(ServiceRefusal::NoKey)?.clone())
        };
        Ok(Admission {
            queue: queue.clone(),
            pool: rule.pool.clone(),
            account,
            rest: rest.to_owned(),
            rule: rule.clone(),
            version: config.version,
        })
    }

    /// Stores a submission.
    pub async fn submit(&self, admission: &Admission, job: &JobId, spec: JobSpec) -> SubmitOutcome {
        let record = SubmissionRecord {
            queue: admission.queue.clone(),
            pool: admission.pool.clone(),
            account: admission.account.clone(),
            accepted: self.shared.clock.wall(),
            terms: terms_of(&spec, &admission.rule),
            spec,
        };
        match encode_submission(&record) {
            Ok(value) => self.store(admission, job.to_string(), value).await,
            Err(error) => {
                let event = EventCode::JobImageRefused.number();
                tracing::error!(event, job = &**job, %error, "submission can't be encoded");
                SubmitOutcome::NotStored
            }
        }
    }

    /// Stores the cancellation of a job that the owner knows, or can't be asked about.
    ///
    /// # Errors
    ///
    /// Fails with [`ServiceRefusal::UnknownJob`] when there is no such job.
    pub async fn cancel(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<SubmitOutcome, ServiceRefusal> {
        match self.status(admission, job).await {
            Err(ServiceRefusal::UnknownJob) => return Err(ServiceRefusal::UnknownJob),
            Ok(JobStatus::Cancelled | JobStatus::Completed | JobStatus::Failed) => {
                return Ok(SubmitOutcome::Stored);
            }
            Ok(_) | Err(_) => {}
        }
        let key = format!("{job}{CANCEL_SUFFIX}");
        Ok(self.store(admission, key, vec![1]).await)
    }

    /// Asks for the state of a job.
    ///
    /// # Errors
    ///
    /// Fails when there is no such job, or its owner can't be asked.
    pub async fn status(
        &self,
        admission: &Admission,
        job: &JobId,
    ) -> Result<JobStatus, ServiceRefusal> {
        let request = NodeRequest::Status {
            shard: self.shard(admission),
            job: job.clone(),
            account: admission.account.clone(),
        };
        match self.shared.owners.request(request).await {
            Some(NodeResponse::Status(status)) => Ok(status),
            Some(NodeResponse::UnknownJob) => Err(ServiceRefusal::UnknownJob),
            _ => Err(ServiceRefusal::NoOwner),
        }
    }

    /// Asks how many jobs of the queue wait.
    ///
    /// # Errors
    ///
    /// Fails when the owner can't be asked.
    pub async fn pending(&self, admission: &Admission) -> Result<u64, ServiceRefusal> {
        let request = NodeRequest::Pending {
            shard: self.shard(admission),
            queue: admission.queue.clone(),
        };
        match self.shared.owners.request(request).await {
            Some(NodeResponse::Pending(pending)) => Ok(pending),
            _ => Err(ServiceRefusal::NoOwner),
        }
    }

    fn shard(&self, admission: &Admission) -> ShardNumber {
        find_shard(&admission.pool, self.shared.settings.shards)
    }

    /// Stores a record, or has the shard's owner store it where the store turns this node away.
    async fn store(&self, admission: &Admission, key: String, value: Vec<u8>) -> SubmitOutcome {
        let shard = self.shard(admission);
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
