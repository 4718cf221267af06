//! Choice between sampled workers by load, distance and failure domain.

use std::time::Instant;

use indexmap::IndexSet;
use pw_base::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::picker::{PickRequest, WorkerPicker};
use crate::record::WorkerRecord;
use crate::roster::{OpenWorkers, PoolRoster};
use crate::table::WorkerTable;

/// Candidates that are sampled in the home zone and in another zone.
const SAMPLES: usize = 2;
/// Weight of a rack's share of the pool's tasks against the load of a worker.
const RACK_WEIGHT: f64 = 0.1;

/// Settings of [`TwoChoices`].
#[derive(Debug, Clone)]
pub struct TwoChoicesSettings {
    /// Availability zone of the entry instance.
    pub home: ZoneId,
    /// Load by which a worker in another zone has to be better, as a part of its slots.
    pub spill_gap: f64,
    /// Most workers that are looked at in one zone until one has room.
    pub max_probes: usize,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Samples two open workers in the home zone and two elsewhere, and takes the best.
///
/// A worker elsewhere wins only when its load is better by the spill gap. Between workers of equal
/// load, the one in the rack with fewer tasks of the pool wins.
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

    /// Samples workers of one zone and returns the cheapest that fits.
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

    /// Returns the workers of another zone, chosen with a probability by their number.
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
                let is_hit = index < workers.len();
                index = index.saturating_sub(workers.len());
                is_hit
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
        let near = open
            .in_zone(&self.settings.home)
            .and_then(|workers| self.sample(now, request, table, roster, workers));
        let far = self
            .other_zone(open)
            .and_then(|workers| self.sample(now, request, table, roster, workers));
        let far = far.filter(|far| {
            let gap = self.settings.spill_gap;
            near.as_ref().is_none_or(|near| far.cost + gap < near.cost)
        });
        far.or(near).map(|candidate| candidate.worker.clone())
    }
}

/// Returns the cost of the rack's part of the pool's tasks, so that racks share them.
fn rack_cost(roster: &PoolRoster, record: &WorkerRecord) -> f64 {
    let all = roster.in_flight().max(1);
    let here = roster.rack_tasks(&record.spec.rack);
    RACK_WEIGHT * f64::from(here) / f64::from(all)
}
