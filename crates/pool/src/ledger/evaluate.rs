//! Evaluation of single steps.

use pw_base::prelude::*;

use super::PoolLedger;
use crate::instance::{DrainPurpose, InstancePhase, PoolInstance};
use crate::proposal::{PoolChange, PoolStep, StepRejection};

impl PoolLedger {
    /// Returns the instance as changed by the step, or the reason for rejecting it.
    pub(super) fn evaluate(
        &self,
        offset: LogOffset,
        step: &PoolStep,
    ) -> Result<PoolInstance, StepRejection> {
        let instance = self
            .instance(&step.worker)
            .ok_or(StepRejection::UnknownWorker)?;
        if instance.changed != step.base {
            return Err(StepRejection::StaleState);
        }
        let phase = match &step.change {
            PoolChange::Appeared { boot } => {
                return self.evaluate_appeared(offset, instance, *boot);
            }
            PoolChange::Move { from, to } => return self.evaluate_move(instance, from, to),
            PoolChange::Failed => evaluate_failed(instance)?,
            PoolChange::Drain { purpose } => self.evaluate_drain(instance, purpose)?,
            PoolChange::Emptied => evaluate_emptied(instance)?,
            PoolChange::Reboot => evaluate_reboot(instance)?,
            PoolChange::Cancel => evaluate_cancel(instance)?,
            PoolChange::Admit => self.evaluate_admit(instance)?,
        };
        Ok(PoolInstance {
            phase,
            ..instance.clone()
        })
    }

    fn evaluate_appeared(
        &self,
        offset: LogOffset,
        instance: &PoolInstance,
        boot: BootId,
    ) -> Result<PoolInstance, StepRejection> {
        let mut next = PoolInstance {
            boot: Some(boot),
            seen: offset,
            ..instance.clone()
        };
        let same_boot = instance.boot == Some(boot);
        if instance.boot.is_some() && !same_boot {
            next.maintained = self.wave.number;
        }
        next.phase = match (&instance.phase, same_boot) {
            (InstancePhase::Joining, _) => InstancePhase::InService,
            (InstancePhase::Rebooting, true) => return Err(StepRejection::SameBoot),
            (InstancePhase::Failed, true) | (_, false) => InstancePhase::Returning,
            (phase, true) => phase.clone(),
        };
        Ok(next)
    }

    fn evaluate_drain(
        &self,
        instance: &PoolInstance,
        purpose: &DrainPurpose,
    ) -> Result<InstancePhase, StepRejection> {
        if instance.phase != InstancePhase::InService {
            return Err(StepRejection::WrongPhase(instance.kind()));
        }
        if self.is_suspect(instance) {
            return Err(StepRejection::DomainFailing);
        }
        match purpose {
            DrainPurpose::Move { to } if !self.pools.contains_key(to) => {
                return Err(StepRejection::UnknownPool);
            }
            DrainPurpose::Move { to } if *to == instance.pool => {
                return Err(StepRejection::NotLendable);
            }
            DrainPurpose::Move { to } if *to != instance.home => self.check_loan(instance)?,
            _ => self.check_budget(instance)?,
        }
        Ok(InstancePhase::Draining(purpose.clone()))
    }

    fn check_budget(&self, instance: &PoolInstance) -> Result<(), StepRejection> {
        let budget = self.budget(&instance.pool);
        let is_available = self.zone_in_service(&instance.zone);
        let exceeds_budget = budget.present <= budget.required_present
            || is_available && budget.available <= budget.required;
        if exceeds_budget {
            return Err(StepRejection::BudgetExceeded);
        }
        Ok(())
    }

    /// Checks that the instance is a spare worker that its pool can lend now.
    fn check_loan(&self, instance: &PoolInstance) -> Result<(), StepRejection> {
        if !self.is_spare(&instance.home) || instance.pool != instance.home {
            return Err(StepRejection::NotLendable);
        }
        if !self.zone_in_service(&instance.zone) {
            return Err(StepRejection::ZoneOut);
        }
        if self.lendable(&instance.home) == 0 {
            return Err(StepRejection::BudgetExceeded);
        }
        Ok(())
    }

    fn evaluate_move(
        &self,
        instance: &PoolInstance,
        from: &PoolId,
        to: &PoolId,
    ) -> Result<PoolInstance, StepRejection> {
        if instance.pool != *from {
            return Err(StepRejection::NotInPool);
        }
        let purpose = DrainPurpose::Move { to: to.clone() };
        if instance.phase != InstancePhase::Empty(purpose) {
            return Err(StepRejection::WrongPhase(instance.kind()));
        }
        if !self.pools.contains_key(to) {
            return Err(StepRejection::UnknownPool);
        }
        Ok(PoolInstance {
            pool: to.clone(),
            phase: InstancePhase::Arriving,
            ..instance.clone()
        })
    }

    fn evaluate_admit(&self, instance: &PoolInstance) -> Result<InstancePhase, StepRejection> {
        if !instance.awaits_admission() {
            return Err(StepRejection::WrongPhase(instance.kind()));
        }
        if !self.zone_in_service(&instance.zone) {
            return Err(StepRejection::ZoneOut);
        }
        Ok(InstancePhase::InService)
    }
}

fn evaluate_failed(instance: &PoolInstance) -> Result<InstancePhase, StepRejection> {
    match instance.phase {
        InstancePhase::Failed => Err(StepRejection::WrongPhase(instance.kind())),
        _ => Ok(InstancePhase::Failed),
    }
}

fn evaluate_emptied(instance: &PoolInstance) -> Result<InstancePhase, StepRejection> {
    match &instance.phase {
        InstancePhase::Draining(purpose) => Ok(InstancePhase::Empty(purpose.clone())),
        _ => Err(StepRejection::WrongPhase(instance.kind())),
    }
}

fn evaluate_reboot(instance: &PoolInstance) -> Result<InstancePhase, StepRejection> {
    match &instance.phase {
        InstancePhase::Empty(DrainPurpose::Maintenance) => Ok(InstancePhase::Rebooting),
        _ => Err(StepRejection::WrongPhase(instance.kind())),
    }
}

fn evaluate_cancel(instance: &PoolInstance) -> Result<InstancePhase, StepRejection> {
    match &instance.phase {
        InstancePhase::Draining(_) | InstancePhase::Empty(_) => Ok(InstancePhase::Returning),
        _ => Err(StepRejection::WrongPhase(instance.kind())),
    }
}
