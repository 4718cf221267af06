//! Tracks reported machine states, and how long machines and instances have been unchanged.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::machine::{ChangeCursor, MachineChanges, MachineState};

/// Last reported state of each machine, and the time of each instance's last change.
///
/// Ages are measured from when this planner first observed a state, so after a takeover all
/// timeouts start again and never expire early.
#[derive(Debug, Default)]
pub struct MachineTracker {
    machines: IndexMap<WorkerId, ObservedMachine>,
    phases: IndexMap<WorkerId, ObservedPhase>,
    first_read: Option<Instant>,
    last_read: Option<Instant>,
    cursor: ChangeCursor,
}

/// Last reported state of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineView {
    /// Current boot of the machine.
    pub boot: BootId,
    /// State of the machine.
    pub state: MachineState,
    /// Operation of the last order that the machine executed.
    pub operation: LogOffset,
    /// Time since this planner first observed this boot and state.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct ObservedMachine {
    boot: BootId,
    state: MachineState,
    operation: LogOffset,
    since: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ObservedPhase {
    changed: LogOffset,
    since: Instant,
}

impl MachineTracker {
    /// Applies the machine changes reported by the platform.
    pub fn apply_changes(&mut self, now: Instant, changes: MachineChanges) {
        self.first_read.get_or_insert(now);
        self.last_read = Some(now);
        let was_reset = changes.next < self.cursor;
        self.cursor = if was_reset { 0 } else { changes.next };
        for report in changes.machines {
            let observed = ObservedMachine {
                boot: report.boot,
                state: report.state,
                operation: report.operation,
                since: now,
            };
            let last = self.machines.get(&report.worker);
            let same =
                last.filter(|last| (last.boot, last.state) == (observed.boot, observed.state));
            let since = same.map_or(now, |last| last.since);
            self.machines
                .insert(report.worker, ObservedMachine { since, ..observed });
        }
    }

    /// Returns the cursor for the next read; 0 after the platform has reset its list.
    pub fn cursor(&self) -> ChangeCursor {
        self.cursor
    }

    /// Returns whether the machines were read within the last `validity`.
    pub fn is_fresh(&self, now: Instant, validity: Duration) -> bool {
        self.last_read.is_some_and(|read| now < read + validity)
    }

    /// Records when the last change of each instance was first observed.
    pub fn record_phases(&mut self, now: Instant, pools: &PoolLedger) {
        self.phases
            .retain(|worker, _| pools.instance(worker).is_some());
        for instance in pools.instances() {
            let changed = instance.changed;
            let observed = self.phases.get_mut(&instance.worker);
            match observed {
                Some(observed) if observed.changed == changed => {}
                Some(observed) => {
                    *observed = ObservedPhase {
                        changed,
                        since: now,
                    }
                }
                None => {
                    let observed = ObservedPhase {
                        changed,
                        since: now,
                    };
                    self.phases.insert(instance.worker.clone(), observed);
                }
            }
        }
    }

    /// Returns the last reported state of an instance's machine.
    ///
    /// A machine that the platform does not report counts as lost since the first read. Returns
    /// `None` before the first read.
    pub fn machine(&self, now: Instant, instance: &PoolInstance) -> Option<MachineView> {
        let absent = ObservedMachine {
            boot: instance.boot.unwrap_or_default(),
            state: MachineState::Lost,
            operation: 0,
            since: self.first_read?,
        };
        let observed = *self.machines.get(&instance.worker).unwrap_or(&absent);
        Some(MachineView {
            boot: observed.boot,
            state: observed.state,
            operation: observed.operation,
            age: now.saturating_duration_since(observed.since),
        })
    }

    /// Returns the time since the last change of the instance of `worker` was first observed.
    pub fn phase_age(&self, now: Instant, worker: &str) -> Duration {
        self.phases.get(worker).map_or(Duration::ZERO, |observed| {
            now.saturating_duration_since(observed.since)
        })
    }
}
