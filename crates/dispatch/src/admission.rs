//! Admission of tasks to queues, and the account that each task is charged to.

use std::sync::Arc;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;

use crate::message::{RefusalReason, TaskRequest};

/// Queues and API keys of the current configuration.
#[derive(Debug, Default)]
pub struct AdmissionRules {
    queues: IndexMap<QueueId, Arc<QueueSpec>>,
    key_accounts: IndexMap<KeyDigest, AccountId>,
}

/// Queue and account of an admitted task.
#[derive(Debug, Clone)]
pub struct AdmittedTask {
    /// Queue that the task uses.
    pub queue: Arc<QueueSpec>,
    /// Account of the task's API key; `None` for a task without a known key on an open queue.
    pub account: ShareAccount,
}

impl AdmissionRules {
    /// Creates the rules of a fleet configuration.
    pub fn new(spec: &FleetSpec) -> Self {
        let queues = spec.queues.iter();
        let accounts = spec.accounts.iter();
        Self {
            queues: queues
                .map(|queue| (queue.id.clone(), Arc::new(queue.clone())))
                .collect(),
            key_accounts: accounts
                .flat_map(|account| {
                    account
                        .keys
                        .iter()
                        .map(|key| (key.sha256, account.id.clone()))
                })
                .collect(),
        }
    }

    /// Returns the queue and the account of a task.
    ///
    /// # Errors
    ///
    /// Fails if the queue does not exist, or if it is not open and the API key is missing, unknown
    /// or revoked.
    pub fn admit(&self, request: &TaskRequest) -> Result<AdmittedTask, RefusalReason> {
        let queue = self
            .queues
            .get(&request.queue)
            .ok_or(RefusalReason::UnknownQueue)?;
        let account = request.key.as_ref().and_then(|key| self.account_of(key));
        if account.is_none() && !queue.open {
            return Err(RefusalReason::KeyRejected);
        }
        Ok(AdmittedTask {
            queue: Arc::clone(queue),
            account,
        })
    }

    /// Returns the account of an API key; `None` if the key is unknown or revoked.
    pub fn account_of(&self, key: &KeyDigest) -> Option<AccountId> {
        self.key_accounts.get(key).cloned()
    }
}
