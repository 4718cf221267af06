//! Replicated state of pools, drains and availability budgets, derived from the log.

mod declare;
mod evaluate;

use std::time::SystemTime;

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use serde::{Deserialize, Serialize};

use crate::budget::{DomainTally, PoolBudget, RackKey};
use crate::instance::{InstancePhase, PhaseKind, PoolInstance};
use crate::proposal::{
    PoolChange, PoolOutcome, PoolProposal, PoolRejection, PoolStep, StepRejection,
};
use crate::spec::PoolSpec;

/// State of pools and their instances after a prefix of the log has been applied.
///
/// An instance is in exactly one pool, given by [`PoolInstance::pool`]. While the instance is
/// declared, only [`PoolChange::Move`] changes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLedger {
    pools: IndexMap<PoolId, PoolRules>,
    zones: IndexMap<ZoneId, ZoneState>,
    instances: IndexMap<WorkerId, PoolInstance>,
    members: IndexMap<PoolId, IndexSet<WorkerId>>,
    rack_tallies: IndexMap<RackKey, DomainTally>,
    zone_tallies: IndexMap<ZoneId, DomainTally>,
    planner: PlannerRole,
    wave: WaveState,
    last_rejected: IndexMap<WorkerId, RejectedStep>,
}

/// Parts of a declared fleet used by the pool ledger.
#[derive(Debug, Clone, Copy)]
pub struct DeclaredFleet<'a> {
    /// Declared availability zones.
    pub zones: &'a [ZoneSpec],
    /// Declared workers.
    pub workers: &'a [WorkerSpec],
    /// Declared pools.
    pub pools: &'a [PoolSpec],
}

/// Current holder of the planner role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerRole {
    /// Current term; 0 before the first claim.
    pub term: PlannerTerm,
    /// Entry instance that holds the role; `None` before the first claim.
    pub holder: Option<EntryId>,
    /// Offset of the last accepted record of this term; records with steps count even if all steps
    /// were rejected.
    #[serde(rename = "heard")]
    pub last_record: LogOffset,
}

/// Number and start of a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveState {
    /// Number of the wave; 0 before the first one.
    pub number: WaveNumber,
    /// Wall-clock time of the planner that opened it.
    pub opened: SystemTime,
}

/// Last rejected step of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedStep {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Change proposed by the step.
    pub change: PoolChange,
    /// Reason for the rejection.
    pub reason: StepRejection,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PoolRules {
    declared: u32,
    max_unavailable: u32,
    min_workers: u32,
    spare: bool,
}

impl Default for WaveState {
    fn default() -> Self {
        Self {
            number: 0,
            opened: SystemTime::UNIX_EPOCH,
        }
    }
}

impl From<&PoolSpec> for PoolRules {
    fn from(pool: &PoolSpec) -> Self {
        Self {
            declared: to_count(pool.workers.len()),
            max_unavailable: pool.max_unavailable,
            min_workers: pool.min_workers,
            spare: pool.spare,
        }
    }
}

/// Queries.
impl PoolLedger {
    /// Returns the instance of `worker`.
    pub fn instance(&self, worker: &str) -> Option<&PoolInstance> {
        self.instances.get(worker)
    }

    /// Returns all instances in a deterministic order.
    pub fn instances(&self) -> impl Iterator<Item = &PoolInstance> {
        self.instances.values()
    }

    /// Returns the instances that are in `pool`.
    pub fn members(&self, pool: &str) -> impl Iterator<Item = &PoolInstance> {
        let workers = self.members.get(pool).into_iter().flatten();
        workers.filter_map(|worker| self.instances.get(worker))
    }

    /// Returns the declared pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns whether `pool` is declared.
    pub fn is_declared(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns whether `pool` is a spare pool, from which other pools may borrow workers.
    pub fn is_spare(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|rules| rules.spare)
    }

    /// Returns the number of workers declared in `pool`.
    pub fn declared_size(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, |rules| rules.declared)
    }

    /// Returns the pool that the instance of `worker` is in.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        Some(&self.instance(worker)?.pool)
    }

    /// Returns whether tasks may start on the instance of `worker`.
    pub fn may_start(&self, worker: &str) -> bool {
        self.instance(worker).is_some_and(|instance| {
            let open = matches!(instance.kind(), PhaseKind::InService | PhaseKind::Joining);
            open && self.zone_in_service(&instance.zone)
        })
    }

    /// Returns whether `zone` is declared and in service.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(ZoneState::is_in_service)
    }

    /// Returns the availability zone called `zone`.
    pub fn zone(&self, zone: &str) -> Option<&ZoneState> {
        self.zones.get(zone)
    }

    /// Returns the availability zones in the order of their declaration.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &ZoneState)> {
        self.zones.iter()
    }

    /// Returns whether the instance accepts tasks according to the log.
    pub fn is_available(&self, instance: &PoolInstance) -> bool {
        self.is_present(instance) && self.zone_in_service(&instance.zone)
    }

    /// Returns the instance counts of `pool` and the minimums of its availability budget.
    ///
    /// The minimum is based on the declared size, so a borrowed worker replaces an unavailable one.
    /// For a spare pool it is based on the current members whose availability zone is in service,
    /// so that the pool can lend during a zone outage. An undeclared pool requires no workers.
    pub fn budget(&self, pool: &str) -> PoolBudget {
        let mut budget = PoolBudget::default();
        let mut counted = 0;
        let mut counted_in_service = 0;
        for instance in self.members(pool) {
            let is_counted = u32::from(instance.phase != InstancePhase::Arriving);
            budget.members += 1;
            budget.present += u32::from(self.is_present(instance));
            budget.available += u32::from(self.is_available(instance));
            counted += is_counted;
            if self.zone_in_service(&instance.zone) {
                counted_in_service += is_counted;
            }
        }
        if let Some(rules) = self.pools.get(pool) {
            let minimum = |target: u32| target.saturating_sub(rules.max_unavailable);
            let is_spare = rules.spare;
            let declared = rules.declared;
            budget.required = minimum(if is_spare {
                counted_in_service
            } else {
                declared
            });
            budget.required_present = minimum(if is_spare { counted } else { declared });
        }
        budget
    }

    /// Returns how many workers the spare pool `pool` can lend now.
    ///
    /// The availability budget limits concurrent drains, and `min_workers` the remaining workers.
    pub fn lendable(&self, pool: &str) -> u32 {
        let Some(rules) = self.pools.get(pool).filter(|rules| rules.spare) else {
            return 0;
        };
        let budget = self.budget(pool);
        let surplus = budget.available.saturating_sub(rules.min_workers);
        budget.headroom().min(surplus)
    }

    /// Returns whether at least half of the instance's rack or zone has failed and the instance has
    /// not been seen alive since.
    pub fn is_suspect(&self, instance: &PoolInstance) -> bool {
        let rack = self.rack_tallies.get(&rack_key(instance));
        let zone = self.zone_tallies.get(&instance.zone);
        [rack, zone]
            .into_iter()
            .flatten()
            .any(|tally| tally.is_suspect(instance.seen))
    }

    /// Returns the holder of the planner role.
    pub fn planner(&self) -> &PlannerRole {
        &self.planner
    }

    /// Returns the current maintenance wave.
    pub fn wave(&self) -> WaveState {
        self.wave
    }

    /// Returns whether the instance has not completed the current wave.
    pub fn awaits_maintenance(&self, instance: &PoolInstance) -> bool {
        instance.maintained < self.wave.number
    }

    /// Returns whether all instances except failed and joining ones completed the current wave.
    pub fn wave_finished(&self) -> bool {
        self.instances()
            .filter(|instance| !matches!(instance.kind(), PhaseKind::Failed | PhaseKind::Joining))
            .all(|instance| !self.awaits_maintenance(instance))
    }

    /// Returns the last rejected step of `worker` since its last accepted one.
    pub fn last_rejected(&self, worker: &str) -> Option<&RejectedStep> {
        self.last_rejected.get(worker)
    }

    fn is_present(&self, instance: &PoolInstance) -> bool {
        instance.kind() == PhaseKind::InService && !self.is_suspect(instance)
    }
}

/// Proposals.
impl PoolLedger {
    /// Evaluates the proposal of the record at `offset` and applies the accepted changes.
    pub fn advance(&mut self, offset: LogOffset, proposal: &PoolProposal) -> PoolOutcome {
        let accepted = match proposal {
            PoolProposal::Claim { base, holder } => self.claim(*base, holder),
            PoolProposal::Heartbeat { term } => self.check_term(*term),
            PoolProposal::OpenWave { term, wave, opened } => self
                .check_term(*term)
                .and_then(|()| self.open_wave(*wave, *opened)),
            PoolProposal::Steps { term, steps } => {
                return match self.check_term(*term) {
                    Ok(()) => self.apply_steps(offset, steps),
                    Err(reason) => PoolOutcome::Rejected(reason),
                };
            }
        };
        match accepted {
            Ok(()) => {
                self.planner.last_record = offset;
                PoolOutcome::Accepted {
                    rejected: Vec::new(),
                }
            }
            Err(reason) => PoolOutcome::Rejected(reason),
        }
    }

    fn claim(&mut self, base: PlannerTerm, holder: &EntryId) -> Result<(), PoolRejection> {
        self.check_term(base)?;
        self.planner.term += 1;
        self.planner.holder = Some(holder.clone());
        Ok(())
    }

    fn check_term(&self, term: PlannerTerm) -> Result<(), PoolRejection> {
        if term == self.planner.term {
            Ok(())
        } else {
            Err(PoolRejection::StaleTerm)
        }
    }

    fn open_wave(&mut self, wave: WaveNumber, opened: SystemTime) -> Result<(), PoolRejection> {
        if wave != self.wave.number + 1 || !self.wave_finished() {
            return Err(PoolRejection::WaveOutOfTurn);
        }
        self.wave = WaveState {
            number: wave,
            opened,
        };
        Ok(())
    }

    fn apply_steps(&mut self, offset: LogOffset, steps: &[PoolStep]) -> PoolOutcome {
        self.planner.last_record = offset;
        let mut rejected = Vec::new();
        for step in steps {
            match self.evaluate(offset, step) {
                Ok(instance) => self.replace(offset, instance),
                Err(reason) => {
                    self.record_rejection(offset, step, reason);
                    rejected.push((step.worker.clone(), reason));
                }
            }
        }
        if rejected.len() == steps.len() {
            PoolOutcome::Rejected(PoolRejection::NoStepAccepted)
        } else {
            PoolOutcome::Accepted { rejected }
        }
    }

    fn record_rejection(&mut self, offset: LogOffset, step: &PoolStep, reason: StepRejection) {
        if self.instances.contains_key(&step.worker) {
            let change = step.change.clone();
            let rejected = RejectedStep {
                offset,
                change,
                reason,
            };
            self.last_rejected.insert(step.worker.clone(), rejected);
        }
    }

    /// Replaces an instance by its changed state and updates the derived indexes.
    fn replace(&mut self, offset: LogOffset, mut next: PoolInstance) {
        next.changed = offset;
        self.last_rejected.swap_remove(&next.worker);
        let Some(slot) = self.instances.get_mut(&next.worker) else {
            return;
        };
        let last = std::mem::replace(slot, next.clone());
        if last.pool != next.pool {
            if let Some(members) = self.members.get_mut(&last.pool) {
                members.swap_remove(&last.worker);
            }
            let members = self.members.entry(next.pool.clone()).or_default();
            members.insert(next.worker.clone());
        }
        self.update_tallies(offset, &last, &next);
    }

    fn update_tallies(&mut self, offset: LogOffset, last: &PoolInstance, next: &PoolInstance) {
        let was_failed = last.phase == InstancePhase::Failed;
        let is_failed = next.phase == InstancePhase::Failed;
        let rack = self.rack_tallies.entry(rack_key(next)).or_default();
        let zone = self.zone_tallies.entry(next.zone.clone()).or_default();
        for tally in [rack, zone] {
            match (was_failed, is_failed) {
                (false, true) => {
                    tally.failed += 1;
                    tally.last_failure = offset;
                }
                (true, false) => tally.failed = tally.failed.saturating_sub(1),
                _ => {}
            }
        }
    }
}

fn rack_key(instance: &PoolInstance) -> RackKey {
    RackKey {
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
    }
}

fn to_count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
