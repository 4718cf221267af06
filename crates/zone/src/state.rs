//! An availability zone as the folded log knows it.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::zone::{ZoneSpec, ZoneStatus};

/// Status of an availability zone, and since when it is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Whether tasks may start there.
    pub status: ZoneStatus,
    /// Time for running tasks to end after it was taken out.
    pub drain_deadline: Duration,
    /// Offset of the record that last changed the status.
    pub changed: LogOffset,
}

impl ZoneState {
    /// Returns the state after operators declared `zone` with the record at `offset`.
    pub fn after(last: Option<&Self>, offset: LogOffset, zone: &ZoneSpec) -> Self {
        let same = last.filter(|last| last.status == zone.status);
        Self {
            status: zone.status,
            drain_deadline: zone.drain_deadline,
            changed: same.map_or(offset, |last| last.changed),
        }
    }

    /// Returns whether tasks may start there.
    pub fn is_in_service(&self) -> bool {
        self.status == ZoneStatus::InService
    }
}
