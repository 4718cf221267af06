//! Availability zone as declared by operators.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

/// Drain deadline of an availability zone that declares none.
const DEFAULT_DRAIN_DEADLINE: Duration = Duration::from_secs(10 * 60);

/// Declared availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Name of the availability zone.
    pub id: ZoneId,
    /// Region of the availability zone.
    #[serde(default)]
    pub region: String,
    /// Whether tasks may start in the availability zone.
    #[serde(default)]
    pub status: ZoneStatus,
    /// Time for running tasks to end after the availability zone is taken out of service; the tasks
    /// that still run are then stopped.
    #[serde(default = "default_drain_deadline", with = "humantime_serde")]
    pub drain_deadline: Duration,
}

/// Whether an availability zone is in service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, AsRefStr, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneStatus {
    /// Tasks may start.
    #[default]
    InService,
    /// No task may start.
    OutOfService,
}

impl Default for ZoneSpec {
    fn default() -> Self {
        Self {
            id: ZoneId::from(""),
            region: String::new(),
            status: ZoneStatus::default(),
            drain_deadline: DEFAULT_DRAIN_DEADLINE,
        }
    }
}

fn default_drain_deadline() -> Duration {
    DEFAULT_DRAIN_DEADLINE
}
