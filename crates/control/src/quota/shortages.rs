//! Accounts whose tasks wait because their shard's allocation is too small.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

use super::{AccountDemand, AllocationKey, QuotaTable, fits_within};
use crate::config::AccountRule;

/// How long an allocation has to be too small before it is reported; a growth usually takes 0.1 s.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Shortest interval between reports of the same allocation.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Allocations that are smaller than their demand, and when each was last reported.
#[derive(Debug, Clone, Default)]
pub struct QuotaShortages {
    shortages: IndexMap<AllocationKey, ShortageState>,
}

#[derive(Debug, Clone, Copy)]
struct ShortageState {
    since: Instant,
    report_at: Instant,
}

/// An allocation that has been smaller than its demand for some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortageReport {
    /// The account and the shard.
    pub key: AllocationKey,
    /// When the shortage began.
    pub since: Instant,
    /// Size of the runs and the waiting tasks.
    pub wanted: ResourceSize,
    /// Size that the shard's runs may reach.
    pub allowance: ResourceSize,
    /// Maximum of the account.
    pub maximum: ResourceSize,
    /// All allocations of the account that hold anything.
    pub holders: Vec<(ShardNumber, ResourceSize)>,
}

impl QuotaShortages {
    /// Returns the shortages that are due for a report.
    pub fn review(
        &mut self,
        table: &QuotaTable,
        accounts: &IndexMap<AccountId, AccountRule>,
        demands: &IndexMap<AllocationKey, AccountDemand>,
        now: Instant,
    ) -> Vec<ShortageReport> {
        let short = demands.iter().filter_map(|(key, demand)| {
            let maximum = accounts.get(&key.0)?.maximum;
            let wanted = demand.used.plus(&demand.waiting);
            let allowance = table.allowance(key, &maximum);
            let waits = demand.waiting != ResourceSize::default();
            let is_short = waits && !fits_within(&wanted, &allowance, &maximum);
            is_short.then_some((key, wanted, allowance, maximum))
        });
        let mut reports = Vec::new();
        let mut shortages = IndexMap::new();
        for (key, wanted, allowance, maximum) in short {
            let known = self.shortages.get(key).copied();
            let mut state = known.unwrap_or(ShortageState {
                since: now,
                report_at: now + REPORT_DELAY,
            });
            if now >= state.report_at {
                state.report_at = now + REPORT_INTERVAL;
                reports.push(ShortageReport {
                    key: key.clone(),
                    since: state.since,
                    wanted,
                    allowance,
                    maximum,
                    holders: table.holders(&key.0).collect(),
                });
            }
            shortages.insert(key.clone(), state);
        }
        self.shortages = shortages;
        reports
    }
}
