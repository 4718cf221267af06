//! Static enforcement of limits: each entry instance has the same part of each limit.

use std::time::Instant;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;

use crate::gate::{PermitGate, PermitKind, TaskPermit};

/// Gate that splits each limit evenly among a fixed number of entry instances.
///
/// It needs no coordination, but parts of entry instances without demand stay unused.
#[derive(Debug, Clone)]
pub struct EvenSplit {
    entries: u32,
    parts: IndexMap<AccountId, AccountPart>,
}

#[derive(Debug, Clone, Copy, Default)]
struct AccountPart {
    limit: u32,
    running: u32,
}

impl EvenSplit {
    /// Creates a gate for one of `entries` entry instances; 0 counts as 1.
    pub fn new(entries: u32) -> Self {
        Self {
            entries: entries.max(1),
            parts: IndexMap::new(),
        }
    }
}

impl PermitGate for EvenSplit {
    fn set_accounts(&mut self, accounts: &[AccountSpec]) {
        self.parts.values_mut().for_each(|part| part.limit = 0);
        for account in accounts {
            let part = self.parts.entry(account.id.clone()).or_default();
            part.limit = account.limit / self.entries;
        }
        self.parts.retain(|id, part| {
            part.running > 0 || accounts.iter().any(|account| account.id == *id)
        });
    }

    fn acquire(
        &mut self,
        _now: Instant,
        account: &AccountId,
        _zone: &ZoneId,
    ) -> Option<TaskPermit> {
        let part = self.parts.get_mut(account)?;
        if part.running >= part.limit {
            return None;
        }
        part.running += 1;
        Some(TaskPermit {
            account: account.clone(),
            kind: PermitKind::Float,
            incarnation: 0,
        })
    }

    fn release(&mut self, _now: Instant, permit: TaskPermit) {
        if let Some(part) = self.parts.get_mut(&permit.account) {
            part.running = part.running.saturating_sub(1);
        }
    }

    fn set_demand(&mut self, _now: Instant, _account: &AccountId, _waiting: u32) {}
}
