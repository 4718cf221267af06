//! Derives the next state change of one instance and the next order to its machine.

use std::time::Duration;

use pw_pool::prelude::*;
use pw_zone::prelude::*;

use crate::machine::{MachineAction, MachineState};
use crate::settings::PlanSettings;
use crate::tracker::MachineView;

/// Ledger and machine state of one instance.
#[derive(Debug, Clone, Copy)]
pub struct InstanceView<'a> {
    /// Instance in the pool ledger.
    pub instance: &'a PoolInstance,
    /// Time since its last change in the ledger was first observed.
    pub phase_age: Duration,
    /// Last reported state of its machine.
    pub machine: MachineView,
    /// State of its availability zone.
    pub zone: ZoneState,
    /// Time since its availability zone was first observed out of service; zero while in service.
    pub zone_out_age: Duration,
    /// Whether at least half of its rack or zone has failed and it has not been seen alive since.
    pub is_suspect: bool,
    /// Whether its pool's availability budget is met.
    pub budget_met: bool,
    /// Whether the pool that it is moving to is no longer declared.
    pub destination_removed: bool,
}

impl InstanceView<'_> {
    /// Returns the next change to propose, apart from new drains and admissions.
    pub fn next_change(&self, settings: &PlanSettings) -> Option<PoolChange> {
        self.observed_change(settings)
            .or_else(|| self.phase_change(settings))
    }

    /// Returns whether the instance can be admitted to service now.
    pub fn is_admissible(&self) -> bool {
        self.instance.awaits_admission()
            && self.is_same_boot()
            && self.machine.state == MachineState::Serving
            && self.zone.is_in_service()
    }

    /// Returns the next order for the machine, if its state requires one.
    pub fn next_action(&self, settings: &PlanSettings) -> Option<MachineAction> {
        if !self.is_same_boot() {
            return None;
        }
        let zone_in_service = self.zone.is_in_service();
        match self.instance.phase {
            InstancePhase::Failed => None,
            InstancePhase::Rebooting => match self.machine.state {
                MachineState::Drained => Some(MachineAction::Reboot),
                MachineState::Serving => Some(MachineAction::Drain),
                _ => None,
            },
            InstancePhase::Draining(_) | InstancePhase::Empty(_) if zone_in_service => {
                self.drain_action(settings)
            }
            _ if zone_in_service => match self.machine.state {
                MachineState::Draining | MachineState::Drained => Some(MachineAction::Resume),
                _ => None,
            },
            InstancePhase::Draining(_) if !self.has_executed_phase_order() => {
                Some(MachineAction::Drain)
            }
            _ => self.zone_drain_action(),
        }
    }

    fn is_same_boot(&self) -> bool {
        self.instance.boot == Some(self.machine.boot)
    }

    fn observed_change(&self, settings: &PlanSettings) -> Option<PoolChange> {
        let boot = self.machine.boot;
        let appeared = PoolChange::Appeared { boot };
        match self.machine.state {
            MachineState::Lost => self.lost_change(settings),
            MachineState::Rebooting => None,
            _ if !self.is_same_boot() => Some(appeared),
            _ => match self.instance.phase {
                InstancePhase::Joining | InstancePhase::Failed => Some(appeared),
                InstancePhase::InService if self.refuses_tasks() => {
                    (self.machine.age >= settings.failure_grace).then_some(PoolChange::Failed)
                }
                InstancePhase::InService if self.is_suspect => {
                    (self.phase_age >= settings.settle_time).then_some(appeared)
                }
                _ => None,
            },
        }
    }

    /// Returns the failure of a lost machine. Reboots have a separate timeout.
    fn lost_change(&self, settings: &PlanSettings) -> Option<PoolChange> {
        let is_exempt = matches!(
            self.instance.phase,
            InstancePhase::Joining | InstancePhase::Rebooting | InstancePhase::Failed
        );
        let is_overdue = self.machine.age >= settings.failure_grace;
        (is_overdue && !is_exempt).then_some(PoolChange::Failed)
    }

    fn refuses_tasks(&self) -> bool {
        self.zone.is_in_service() && self.machine.state != MachineState::Serving
    }

    fn phase_change(&self, settings: &PlanSettings) -> Option<PoolChange> {
        let is_drained = self.is_same_boot() && self.machine.state == MachineState::Drained;
        match &self.instance.phase {
            InstancePhase::Draining(_) if is_drained && self.has_executed_phase_order() => {
                Some(PoolChange::Emptied)
            }
            InstancePhase::Draining(_) | InstancePhase::Empty(_) if self.destination_removed => {
                Some(PoolChange::Cancel)
            }
            InstancePhase::Draining(DrainPurpose::Maintenance)
                if !self.budget_met && self.zone.is_in_service() =>
            {
                Some(PoolChange::Cancel)
            }
            InstancePhase::Empty(DrainPurpose::Maintenance) if is_drained => {
                Some(PoolChange::Reboot)
            }
            InstancePhase::Empty(DrainPurpose::Move { to }) if is_drained => {
                Some(PoolChange::Move {
                    from: self.instance.pool.clone(),
                    to: to.clone(),
                })
            }
            InstancePhase::Rebooting if self.phase_age >= settings.reboot_timeout => {
                Some(PoolChange::Failed)
            }
            _ => None,
        }
    }

    /// Returns whether the machine has executed an order issued in the current phase.
    ///
    /// A stale report of an earlier drain gives no information about tasks started since.
    fn has_executed_phase_order(&self) -> bool {
        self.machine.operation >= self.instance.changed
    }

    fn drain_action(&self, settings: &PlanSettings) -> Option<MachineAction> {
        let is_draining = matches!(self.instance.phase, InstancePhase::Draining(_));
        match self.machine.state {
            MachineState::Draining | MachineState::Drained
                if is_draining && !self.has_executed_phase_order() =>
            {
                Some(MachineAction::Drain)
            }
            MachineState::Serving => Some(MachineAction::Drain),
            MachineState::Draining if self.machine.age >= settings.drain_patience => {
                Some(MachineAction::Checkpoint)
            }
            _ => None,
        }
    }

    fn zone_drain_action(&self) -> Option<MachineAction> {
        let deadline = self.zone.drain_deadline;
        match self.machine.state {
            MachineState::Serving => Some(MachineAction::Drain),
            MachineState::Draining if self.zone_out_age >= deadline => Some(MachineAction::Stop),
            MachineState::Draining if self.zone_out_age >= deadline / 2 => {
                Some(MachineAction::Checkpoint)
            }
            _ => None,
        }
    }
}
