//! Settings of a planner.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

const MINUTE: Duration = Duration::from_secs(60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Settings of a planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanSettings {
    /// Name of this entry instance; not read from the settings file.
    #[serde(skip)]
    pub entry: EntryId,
    /// Seed of the random takeover delay; not read from the settings file.
    #[serde(skip)]
    pub seed: u64,
    /// Interval between planning passes.
    #[serde(with = "humantime_serde")]
    pub tick: Duration,
    /// Time without records from the current planner after which others claim the role.
    #[serde(with = "humantime_serde")]
    pub takeover_timeout: Duration,
    /// Upper bound of the random delay added to the timeout, which reduces competing claims.
    #[serde(with = "humantime_serde")]
    pub takeover_spread: Duration,
    /// Interval at which a planner without proposals appends a heartbeat.
    #[serde(with = "humantime_serde")]
    pub heartbeat_interval: Duration,
    /// Maximum age of the last read of the log or the machines on which decisions are based.
    #[serde(with = "humantime_serde")]
    pub reading_validity: Duration,
    /// Time after which a step that has not been applied is proposed again.
    #[serde(with = "humantime_serde")]
    pub step_timeout: Duration,
    /// Time after which an order without an observed effect is sent again.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
    /// Maximum number of steps in one record.
    pub max_steps: usize,
    /// Time for which a machine must be lost before its instance is marked as failed.
    #[serde(with = "humantime_serde")]
    pub failure_grace: Duration,
    /// Time after a failure in a pool or rack during which no maintenance drains start there.
    #[serde(with = "humantime_serde")]
    pub settle_time: Duration,
    /// Time for running tasks to finish before the machine is ordered to checkpoint them.
    #[serde(with = "humantime_serde")]
    pub drain_patience: Duration,
    /// Maximum duration of a reboot, after which the instance is marked as failed.
    #[serde(with = "humantime_serde")]
    pub reboot_timeout: Duration,
    /// Minimum interval between the starts of maintenance waves.
    #[serde(with = "humantime_serde")]
    pub wave_period: Duration,
    /// Maximum share of the fleet in maintenance at once, in percent; at least one instance.
    pub max_maintenance_percent: usize,
    /// Time for which a pool must have a shortfall before it borrows workers.
    #[serde(with = "humantime_serde")]
    pub borrow_after: Duration,
    /// Time for which a pool must have a surplus before it returns borrowed workers.
    #[serde(with = "humantime_serde")]
    pub give_back_after: Duration,
    /// Share of an availability zone admitted at once, in percent; at least one instance.
    pub admit_percent: usize,
    /// Minimum interval between admissions in an availability zone.
    #[serde(with = "humantime_serde")]
    pub admit_interval: Duration,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            entry: EntryId::from("entry"),
            seed: 0,
            tick: Duration::from_secs(2),
            takeover_timeout: Duration::from_secs(30),
            takeover_spread: Duration::from_secs(10),
            heartbeat_interval: Duration::from_secs(10),
            reading_validity: Duration::from_secs(10),
            step_timeout: Duration::from_secs(5),
            order_timeout: Duration::from_secs(5),
            max_steps: 256,
            failure_grace: Duration::from_secs(30),
            settle_time: MINUTE,
            drain_patience: 10 * MINUTE,
            reboot_timeout: 20 * MINUTE,
            wave_period: 14 * DAY,
            max_maintenance_percent: 10,
            borrow_after: Duration::from_secs(30),
            give_back_after: 10 * MINUTE,
            admit_percent: 25,
            admit_interval: Duration::from_secs(5),
        }
    }
}
