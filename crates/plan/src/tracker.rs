//! What the planner has seen: machines, and how long each has been in its state.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::machine::{ChangeCursor, MachineChanges, MachineState};

/// Machines as last reported, and how long instances have been in their phases.
///
/// Ages are counted from when this planner first saw a state, so that a planner that takes over
/// waits anew and never acts too early.
#[derive(Debug, Default)]
pub struct MachineTracker {
    machines: IndexMap<WorkerId, SeenMachine>,
    phases: IndexMap<WorkerId, SeenPhase>,
    first_read: Option<Instant>,
    last_read: Option<Instant>,
    cursor: ChangeCursor,
}

/// What a machine was last seen to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineView {
    /// Boot that it runs.
    pub boot: BootId,
    /// What it does.
    pub state: MachineState,
    /// Operation of the last order that it carried out.
    pub operation: LogOffset,
    /// Time since it was first seen so.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct SeenMachine {
    boot: BootId,
    state: MachineState,
    operation: LogOffset,
    since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct SeenPhase {
    changed: LogOffset,
    since: Instant,
}

impl MachineTracker {
    /// Takes what the platform reports.
    pub fn apply_changes(&mut self, now: Instant, changes: MachineChanges) {
        self.first_read.get_or_insert(now);
        self.last_read = Some(now);
        let restarted = changes.next < self.cursor;
        self.cursor = if restarted { 0 } else { changes.next };
        for report in changes.machines {
            let seen = SeenMachine {
                boot: report.boot,
                state: report.state,
                operation: report.operation,
                since: now,
            };
            let last = self.machines.get(&report.worker);
            let same = last.filter(|last| (last.boot, last.state) == (seen.boot, seen.state));
            let since = same.map_or(now, |last| last.since);
            self.machines
                .insert(report.worker, SeenMachine { since, ..seen });
        }
    }

    /// Returns the cursor of the next reading; 0 after the platform began its list anew.
    pub fn cursor(&self) -> ChangeCursor {
        self.cursor
    }

    /// Returns whether the machines were read within `validity`.
    pub fn is_fresh(&self, now: Instant, validity: Duration) -> bool {
        self.last_read.is_some_and(|read| now < read + validity)
    }

    /// Notes when each instance was first seen in its phase.
    pub fn record_phases(&mut self, now: Instant, pools: &PoolLedger) {
        self.phases
            .retain(|worker, _| pools.instance(worker).is_some());
        for instance in pools.instances() {
            let changed = instance.changed;
            let seen = self.phases.get_mut(&instance.worker);
            match seen {
                Some(seen) if seen.changed == changed => {}
                Some(seen) => {
                    *seen = SeenPhase {
                        changed,
                        since: now,
                    }
                }
                None => {
                    let seen = SeenPhase {
                        changed,
                        since: now,
                    };
                    self.phases.insert(instance.worker.clone(), seen);
                }
            }
        }
    }

    /// Returns what the machine of an instance was last seen to do.
    ///
    /// A machine that the platform does not report counts as lost since the first reading.
    /// `None` before that.
    pub fn machine(&self, now: Instant, instance: &PoolInstance) -> Option<MachineView> {
        let absent = SeenMachine {
            boot: instance.boot.unwrap_or_default(),
            state: MachineState::Lost,
            operation: 0,
            since: self.first_read?,
        };
        let seen = *self.machines.get(&instance.worker).unwrap_or(&absent);
        Some(MachineView {
            boot: seen.boot,
            state: seen.state,
            operation: seen.operation,
            age: now.saturating_duration_since(seen.since),
        })
    }

    /// Returns how long the instance has been as it is.
    pub fn phase_age(&self, now: Instant, worker: &str) -> Duration {
        self.phases.get(worker).map_or(Duration::ZERO, |seen| {
            now.saturating_duration_since(seen.since)
        })
    }
}
