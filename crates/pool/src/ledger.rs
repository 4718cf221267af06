//! The part of the log's fold that keeps pools, drains and availability budgets.

mod declare;
mod verdict;

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

/// Pools and their instances after a prefix of the log.
///
/// An instance is in exactly one pool: [`PoolInstance::pool`] is the only place that says which,
/// and only [`PoolChange::Move`] changes it while the instance is declared.
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

/// The parts of a fleet that the pool ledger needs.
#[derive(Debug, Clone, Copy)]
pub struct DeclaredFleet<'a> {
    /// Availability zones.
    pub zones: &'a [ZoneSpec],
    /// Workers.
    pub workers: &'a [WorkerSpec],
    /// Pools.
    pub pools: &'a [PoolSpec],
}

/// Who plans.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerRole {
    /// Term of the planner; 0 before the first claim.
    pub term: PlannerTerm,
    /// Entry instance that plans; `None` before the first claim.
    pub holder: Option<EntryId>,
    /// Offset of the last record of this term.
    #[serde(rename = "heard")]
    pub last_record: LogOffset,
}

/// The current maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveState {
    /// Number of the wave; 0 before the first one.
    pub number: WaveNumber,
    /// Wall-clock time at the planner that opened it.
    pub opened: SystemTime,
}

/// The last step of an instance that was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedStep {
    /// Offset of the record.
    pub offset: LogOffset,
    /// The step's change.
    pub change: PoolChange,
    /// Why it has no effect.
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
            declared: count(pool.workers.len()),
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

    /// Returns all instances in a stable order.
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

    /// Returns whether operators declare `pool`.
    pub fn is_declared(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Returns whether other pools borrow workers from `pool`.
    pub fn is_spare(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|rules| rules.spare)
    }

    /// Returns how many workers operators list in `pool`.
    pub fn declared_size(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, |rules| rules.declared)
    }

    /// Returns the one pool that the instance of `worker` is in.
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

    /// Returns whether operators let tasks start in `zone`.
    pub fn zone_in_service(&self, zone: &str) -> bool {
        self.zone(zone).is_some_and(ZoneState::is_in_service)
    }

    /// Returns the availability zone called `zone`.
    pub fn zone(&self, zone: &str) -> Option<&ZoneState> {
        self.zones.get(zone)
    }

    /// Returns the availability zones in the order of the fleet file.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &ZoneState)> {
        self.zones.iter()
    }

    /// Returns whether the instance takes tasks, as far as the log tells.
    pub fn is_available(&self, instance: &PoolInstance) -> bool {
        self.is_present(instance) && self.zone_in_service(&instance.zone)
    }

    /// Returns the standing of `pool` against its availability budget.
    ///
    /// The workers of a pool are those that operators list in it, so that a borrowed worker makes
    /// up for one that is out. The workers of a spare pool are those that are in it and whose
    /// availability zone is in service, so that it can lend while a zone is out.
    /// A pool that operators no longer declare requires nothing.
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
            let least = |target: u32| target.saturating_sub(rules.max_unavailable);
            let is_spare = rules.spare;
            let declared = rules.declared;
            budget.required = least(if is_spare {
                counted_in_service
            } else {
                declared
            });
            budget.required_present = least(if is_spare { counted } else { declared });
        }
        budget
    }

    /// Returns how many workers the spare pool `pool` may start to lend now.
    ///
    /// Its availability budget bounds the loans that drain at once, and its minimum what is left.
    pub fn lendable(&self, pool: &str) -> u32 {
        let Some(rules) = self.pools.get(pool).filter(|rules| rules.spare) else {
            return 0;
        };
        let budget = self.budget(pool);
        let spared = budget.available.saturating_sub(rules.min_workers);
        budget.headroom().min(spared)
    }

    /// Returns whether half of the instance's rack or zone has failed since it was last seen.
    pub fn is_suspect(&self, instance: &PoolInstance) -> bool {
        let rack = self.rack_tallies.get(&rack_key(instance));
        let zone = self.zone_tallies.get(&instance.zone);
        [rack, zone]
            .into_iter()
            .flatten()
            .any(|tally| tally.is_suspect(instance.seen))
    }

    /// Returns who plans.
    pub fn planner(&self) -> &PlannerRole {
        &self.planner
    }

    /// Returns the current maintenance wave.
    pub fn wave(&self) -> WaveState {
        self.wave
    }

    /// Returns whether the instance still has to go through the current wave.
    pub fn awaits_maintenance(&self, instance: &PoolInstance) -> bool {
        instance.maintained < self.wave.number
    }

    /// Returns whether every instance that is alive has been through the current wave.
    pub fn wave_finished(&self) -> bool {
        self.instances()
            .filter(|instance| !matches!(instance.kind(), PhaseKind::Failed | PhaseKind::Joining))
            .all(|instance| !self.awaits_maintenance(instance))
    }

    /// Returns the last step of `worker` that was rejected since its last accepted one.
    pub fn last_rejected(&self, worker: &str) -> Option<&RejectedStep> {
        self.last_rejected.get(worker)
    }

    fn is_present(&self, instance: &PoolInstance) -> bool {
        instance.kind() == PhaseKind::InService && !self.is_suspect(instance)
    }
}

/// Proposals.
impl PoolLedger {
    /// Judges the proposal of the record at `offset` and takes what is accepted of it.
    pub fn advance(&mut self, offset: LogOffset, proposal: &PoolProposal) -> PoolOutcome {
        let accepted = match proposal {
            PoolProposal::Claim { base, holder } => self.claim(*base, holder),
            PoolProposal::Heartbeat { term } => self.check_term(*term),
            PoolProposal::OpenWave { term, wave, opened } => self
                .check_term(*term)
                .and_then(|()| self.open_wave(*wave, *opened)),
            PoolProposal::Steps { term, steps } => {
                return match self.check_term(*term) {
                    Ok(()) => self.take_steps(offset, steps),
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

    fn take_steps(&mut self, offset: LogOffset, steps: &[PoolStep]) -> PoolOutcome {
        self.planner.last_record = offset;
        let mut rejected = Vec::new();
        for step in steps {
            match self.judge(offset, step) {
                Ok(instance) => self.put(offset, instance),
                Err(reason) => {
                    self.note_rejected(offset, step, reason);
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

    fn note_rejected(&mut self, offset: LogOffset, step: &PoolStep, reason: StepRejection) {
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

    /// Puts a changed instance in the place of the one before it.
    fn put(&mut self, offset: LogOffset, mut next: PoolInstance) {
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
        self.tally(offset, &last, &next);
    }

    fn tally(&mut self, offset: LogOffset, last: &PoolInstance, next: &PoolInstance) {
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

fn count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
