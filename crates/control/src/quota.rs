//! What each client account has running in a shard, and how much it may have there.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

/// Use and parts of the accounts in one shard.
#[derive(Debug, Clone, Default)]
pub struct AccountBudget {
    used: IndexMap<AccountId, ResourceSize>,
    parts: IndexMap<AccountId, ResourceSize>,
}

impl AccountBudget {
    /// Sets the part of the account's maximum that the shard may use; a zero in it sets no bound.
    pub fn set_part(&mut self, account: AccountId, part: ResourceSize) {
        self.parts.insert(account, part);
    }

    /// Returns what the account has running in the shard.
    pub fn used(&self, account: &str) -> ResourceSize {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Returns whether a run of `size` keeps the account within its part.
    pub fn allows(&self, account: &str, size: &ResourceSize) -> bool {
        let Some(part) = self.parts.get(account) else {
            return true;
        };
        let sum = self.used(account).plus(size);
        let within = |sum: u32, part: u32| part == 0 || sum <= part;
        within(sum.millicores, part.millicores)
            && within(sum.memory_mib, part.memory_mib)
            && within(sum.accelerators, part.accelerators)
    }

    /// Counts a run.
    pub fn take(&mut self, account: &AccountId, size: &ResourceSize) {
        let used = self.used.entry(account.clone()).or_default();
        *used = used.plus(size);
    }

    /// Counts the end of a run.
    pub fn give_back(&mut self, account: &str, size: &ResourceSize) {
        if let Some(used) = self.used.get_mut(account) {
            *used = used.minus(size);
        }
    }
}
