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
    /// Name of the entry instance; not part of the file, as it is the instance's own.
    #[serde(skip)]
    pub entry: EntryId,
    /// Seed of the spread of takeovers; not part of the file.
    #[serde(skip)]
    pub seed: u64,
    /// Time between two looks at the plan.
    #[serde(with = "humantime_serde")]
    pub tick: Duration,
    /// Silence of the planner after which others take over.
    #[serde(with = "humantime_serde")]
    pub takeover_timeout: Duration,
    /// Longest random wait beyond the timeout, so that few claims race.
    #[serde(with = "humantime_serde")]
    pub takeover_spread: Duration,
    /// Longest silence of a planner that has nothing to propose.
    #[serde(with = "humantime_serde")]
    pub heartbeat_interval: Duration,
    /// Age of the last reading of the log past which the planner does nothing.
    #[serde(with = "humantime_serde")]
    pub reading_validity: Duration,
    /// Time after which a step that was not folded is proposed again.
    #[serde(with = "humantime_serde")]
    pub step_timeout: Duration,
    /// Time after which an order without visible effect is sent again.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
    /// Most steps in one record.
    pub max_steps: usize,
    /// Time for which a machine has to be lost before it counts as failed.
    #[serde(with = "humantime_serde")]
    pub failure_grace: Duration,
    /// Time after a failure in a pool or a rack before its other workers are drained.
    #[serde(with = "humantime_serde")]
    pub settle_time: Duration,
    /// Time for running tasks before they are asked to checkpoint.
    #[serde(with = "humantime_serde")]
    pub drain_patience: Duration,
    /// Longest reboot; past it the instance counts as failed.
    #[serde(with = "humantime_serde")]
    pub reboot_timeout: Duration,
    /// Time between two maintenance waves.
    #[serde(with = "humantime_serde")]
    pub wave_period: Duration,
    /// Largest part of the fleet in maintenance at once, in percent; at least one instance.
    pub max_maintenance_percent: usize,
    /// Time for which a pool has to be short before it borrows.
    #[serde(with = "humantime_serde")]
    pub borrow_after: Duration,
    /// Time for which a pool has to do without a borrowed worker before it gives it back.
    #[serde(with = "humantime_serde")]
    pub give_back_after: Duration,
    /// Part of an availability zone that is admitted at once, in percent; at least one instance.
    pub admit_percent: usize,
    /// Time between two admissions in an availability zone.
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
