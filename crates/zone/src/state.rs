//! State of an availability zone, folded from the log.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::zone::{ZoneSpec, ZoneStatus};

/// Status of an availability zone, and the record that last changed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Whether tasks may start in the availability zone.
    pub status: ZoneStatus,
    /// Time for running tasks to end after the availability zone is taken out of service.
    pub drain_deadline: Duration,
    /// Log offset of the record that last changed the status.
    pub changed: LogOffset,
}

impl ZoneState {
    /// Returns the state after the record at `offset` declares `zone`; `last` is the one before.
    pub fn after(last: Option<&Self>, offset: LogOffset, zone: &ZoneSpec) -> Self {
        let unchanged = last.filter(|last| last.status == zone.status);
        Self {
            status: zone.status,
            drain_deadline: zone.drain_deadline,
            changed: unchanged.map_or(offset, |last| last.changed),
        }
    }

    /// Returns whether tasks may start in the availability zone.
    pub fn is_in_service(&self) -> bool {
        self.status == ZoneStatus::InService
    }
}
