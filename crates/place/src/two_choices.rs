//! Selection among sampled workers by load, distance and failure domain.

use std::time::Instant;

use indexmap::IndexSet;
use pw_base::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::picker::{PickRequest, WorkerPicker};
use crate::record::WorkerRecord;
use crate::roster::{OpenWorkers, PoolRoster};
use crate::table::WorkerTable;

/// Number of candidates sampled in each zone.
const SAMPLES: usize = 2;
/// Weight of a rack's share of the pool's tasks relative to the load of a worker.
const RACK_WEIGHT: f64 = 0.1;

/// Settings of [`TwoChoices`].
#[derive(Debug, Clone)]
pub struct TwoChoicesSettings {
    /// Availability zone of the entry instance.
    pub home: ZoneId,
    /// Minimum cost advantage of a worker in another zone, as a fraction of its slots.
    pub spill_gap: f64,
    /// Maximum number of workers to examine in one zone in search of one with enough resources.
    pub max_probes: usize,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Power-of-two-choices picker: samples two open workers in the home zone and two in another zone.
///
/// The worker with the lowest cost is selected. A worker in another zone is selected only if its
/// cost is lower by the spill gap. Between workers of equal load, the one in the rack with fewer
/// tasks of the pool is selected.
#[derive(Debug, Clone)]
pub struct TwoChoices {
    settings: TwoChoicesSettings,
    random: SmallRng,
}

struct Candidate<'a> {
    worker: &'a WorkerId,
    cost: f64,
}

impl Default for TwoChoicesSettings {
    fn default() -> Self {
        Self {
            home: ZoneId::from(""),
            spill_gap: 0.5,
            max_probes: 64,
            seed: 1,
        }
    }
}

impl TwoChoices {
    /// Creates a picker.
    pub fn new(settings: TwoChoicesSettings) -> Self {
        let random = SmallRng::seed_from_u64(settings.seed);
        Self { settings, random }
    }

    /// Samples workers of one zone and returns the cheapest one with enough resources.
    fn sample<'a>(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
        roster: &PoolRoster,
        open: &'a IndexSet<WorkerId>,
    ) -> Option<Candidate<'a>> {
        let start = self.random.random_range(0..open.len());
        let stride = 1 + self.random.random_range(0..open.len().max(2) - 1);
        let second = (start + stride) % open.len();
        let rest = (0..open.len()).map(|step| (start + step) % open.len());
        let wanted = |record: &&WorkerRecord| {
            record.has_room(now, &request.size) && request.avoid != Some(&record.spec.id)
        };
        [start, second]
            .into_iter()
            .chain(
                rest.take(self.settings.max_probes)
                    .filter(|index| *index != start && *index != second),
            )
            .filter_map(|index| open.get_index(index))
            .filter_map(|worker| Some((worker, table.worker(worker).filter(wanted)?)))
            .take(SAMPLES)
            .map(|(worker, record)| Candidate {
                worker,
                cost: record.load(now) + rack_cost(roster, record),
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the workers of a random other zone, weighted by its number of open workers.
    fn other_zone<'a>(&mut self, open: &'a OpenWorkers) -> Option<&'a IndexSet<WorkerId>> {
        let home = open.in_zone(&self.settings.home).map_or(0, IndexSet::len);
        let others = open.count().checked_sub(home)?;
        if others == 0 {
            return None;
        }
        let mut index = self.random.random_range(0..others);
        open.zones()
            .filter(|(zone, _)| **zone != self.settings.home)
            .map(|(_, workers)| workers)
            .find(|workers| {
                let is_selected = index < workers.len();
                index = index.saturating_sub(workers.len());
                is_selected
            })
    }
}

impl WorkerPicker for TwoChoices {
    fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
    ) -> Option<WorkerId> {
        let roster = table.roster(request.pool)?;
        let open = roster.open(request.tier);
        if let Some(zone) = request.zone {
            let workers = open.in_zone(zone)?;
            let candidate = self.sample(now, request, table, roster, workers)?;
            return Some(candidate.worker.clone());
        }
        let local = open
            .in_zone(&self.settings.home)
            .and_then(|workers| self.sample(now, request, table, roster, workers));
        let remote = self
            .other_zone(open)
            .and_then(|workers| self.sample(now, request, table, roster, workers));
        let remote = remote.filter(|remote| {
            let gap = self.settings.spill_gap;
            local
                .as_ref()
                .is_none_or(|local| remote.cost + gap < local.cost)
        });
        remote.or(local).map(|candidate| candidate.worker.clone())
    }
}

/// Returns the cost of the rack's share of the pool's tasks, which spreads tasks across racks.
fn rack_cost(roster: &PoolRoster, record: &WorkerRecord) -> f64 {
    let total = roster.in_flight().max(1);
    let in_rack = roster.rack_tasks(&record.spec.rack);
    RACK_WEIGHT * f64::from(in_rack) / f64::from(total)
}
