//! Which tasks may use which queue, for which account.

use std::sync::Arc;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_pool::prelude::*;

use crate::message::{RefusalReason, TaskRequest};

/// Queues and keys of the configuration in force.
#[derive(Debug, Default)]
pub struct AdmissionRules {
    queues: IndexMap<QueueId, Arc<QueueSpec>>,
    key_accounts: IndexMap<KeyDigest, AccountId>,
}

/// Queue and account that a task counts for.
#[derive(Debug, Clone)]
pub struct AdmittedTask {
    /// Queue that the task uses.
    pub queue: Arc<QueueSpec>,
    /// Account whose key came with the task; `None` on a queue open to all without a known key.
    pub account: ShareAccount,
}

impl AdmissionRules {
    /// Creates the rules of a configuration.
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

    /// Returns what the task counts for.
    ///
    /// # Errors
    ///
    /// Fails when there is no such queue, or when it is not open to all and the task's key is
    /// missing, unknown or withdrawn.
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

    /// Returns the account of a key; `None` when the key is unknown or withdrawn.
    pub fn account_of(&self, key: &KeyDigest) -> Option<AccountId> {
        self.key_accounts.get(key).cloned()
    }
}
