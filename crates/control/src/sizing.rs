//! Sizing of pools: how many machines each one needs.
//!
//! Peak load rotates among the pools: each has several times its mean demand for some seconds, then
//! almost none. An idle machine in a pool costs money, one in the spare pool does not, and a move
//! takes longer than most tasks. So a pool is sized for its running and waiting work plus headroom,
//! and shrinks only after it has needed less for some time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::message::PoolLoad;

/// Window for measuring the growth of work; long enough to contain several jobs.
const GROWTH_WINDOW: Duration = Duration::from_secs(1);

/// Settings of [`PoolSizes`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizingSettings {
    /// Machines per machine's worth of work. The excess absorbs arrivals until a move completes.
    pub headroom: f64,
    /// Machines added on top of that.
    pub reserve: usize,
    /// Fraction of the waiting work that should start at once; the rest follows as runs end.
    pub backlog_fraction: f64,
    /// Time over which the growth of work is extrapolated. A move takes longer, but a few large
    /// jobs make the work grow in steps, and a longer forecast overshoots.
    pub forecast_horizon: Duration,
    /// Minimum number of machines of a pool.
    pub min_machines: usize,
    /// Machines beyond its need that a pool keeps when it shrinks, so that small changes cause no
    /// moves.
    pub shrink_margin: usize,
    /// How long a pool has to need less before its surplus goes to the spare pool: a move there and
    /// back costs as much as about two seconds in a pool.
    pub shrink_delay: Duration,
}

/// Sizes of the pools, computed from their recent work.
#[derive(Debug, Clone)]
pub struct PoolSizes {
    settings: SizingSettings,
    pools: IndexMap<PoolId, PoolHistory>,
}

#[derive(Debug, Clone, Default)]
struct PoolHistory {
    /// Needs within the last [`SizingSettings::shrink_delay`], oldest first.
    needs: VecDeque<(Instant, usize)>,
    /// Latest need without the waiting work that is late.
    urgent: usize,
    /// Running plus waiting work within the last [`GROWTH_WINDOW`], in millicores.
    work: VecDeque<(Instant, u32)>,
    /// Mean size of a machine that has lost no capacity.
    machine: ResourceSize,
}

impl Default for SizingSettings {
    fn default() -> Self {
        Self {
            headroom: 1.1,
            reserve: 1,
            backlog_fraction: 0.6,
            forecast_horizon: Duration::from_millis(1000),
            min_machines: 2,
            shrink_margin: 1,
            shrink_delay: Duration::from_secs(2),
        }
    }
}

impl PoolHistory {
    fn record_work(&mut self, millicores: u32, now: Instant) {
        self.work.push_back((now, millicores));
        while self
            .work
            .front()
            .is_some_and(|(at, _)| now > *at + GROWTH_WINDOW)
        {
            self.work.pop_front();
        }
    }

    /// Returns the work in millicores expected after `lead`, by linear extrapolation of the recent
    /// growth; 0 when the work does not grow.
    fn forecast(&self, lead: Duration) -> u32 {
        let (Some((first, before)), Some((last, now))) = (self.work.front(), self.work.back())
        else {
            return 0;
        };
        let span = last.saturating_duration_since(*first);
        if span < GROWTH_WINDOW / 2 || now <= before {
            return 0;
        }
        let growth = f64::from(now - before) / span.as_secs_f64();
        now.saturating_add((growth * lead.as_secs_f64()) as u32)
    }
}

impl PoolSizes {
    /// Creates sizes without any history.
    pub fn new(settings: SizingSettings) -> Self {
        Self {
            settings,
            pools: IndexMap::new(),
        }
    }

    /// Records the current load of a pool and computes its need.
    pub fn observe(&mut self, load: &PoolLoad, now: Instant) {
        let settings = self.settings;
        let history = self.pools.entry(load.pool.clone()).or_default();
        let full = load.full();
        let machine = mean_machine(&full, load.workers);
        if machine != ResourceSize::default() {
            history.machine = machine;
        }
        let wanted = load
            .used
            .plus(&scaled(&load.waiting, settings.backlog_fraction));
        let total = load.used.plus(&load.waiting);
        history.record_work(total.millicores, now);
        let wanted = ResourceSize {
            millicores: wanted
                .millicores
                .max(history.forecast(settings.forecast_horizon)),
            ..wanted
        };
        let known = history.machine != ResourceSize::default();
        let machine = history.machine;
        let machines_with_headroom = |wanted: &ResourceSize| {
            let work = if known {
                machines_for(wanted, &machine) * settings.headroom
            } else {
                0.0
            };
            (work.ceil() as usize + settings.reserve).max(settings.min_machines)
        };
        let machines = machines_with_headroom(&wanted);
        let in_time = scaled(&load.waiting.minus(&load.late), settings.backlog_fraction);
        let urgent = machines_with_headroom(&load.used.plus(&in_time));
        let lost = machines_for(&full.minus(&load.capacity), &history.machine);
        let lacks_room = load.blocked > 0 || !known && wanted != ResourceSize::default();
        let need = count_shrunken(machines, load.workers as usize, lost)
            .max(load.long_running_workers as usize)
            .max(if lacks_room {
                load.workers as usize + 1
            } else {
                0
            });
        history.urgent = urgent.min(need);
        history.needs.push_back((now, need));
        while history
            .needs
            .front()
            .is_some_and(|(at, _)| now > *at + settings.shrink_delay)
        {
            history.needs.pop_front();
        }
    }

    /// Returns how many machines a pool needs now; 0 without any history.
    pub fn need(&self, pool: &PoolId) -> usize {
        let history = self.pools.get(pool);
        let latest = history.and_then(|history| history.needs.back());
        latest.map_or(0, |(_, need)| *need)
    }

    /// Returns what a pool with `anchors` long-running machines asks for if there are too few.
    pub fn claim(&self, pool: &PoolId, anchors: usize) -> PoolClaim {
        let history = self.pools.get(pool);
        PoolClaim {
            anchors,
            urgent: history.map_or(0, |history| history.urgent),
            need: self.need(pool),
        }
    }

    /// Returns the largest need of a pool within the shrink delay; `usize::MAX` when its history
    /// does not cover the delay.
    pub fn sustained_need(&self, pool: &PoolId) -> usize {
        let Some(history) = self.pools.get(pool) else {
            return usize::MAX;
        };
        let span = match (history.needs.front(), history.needs.back()) {
            (Some((first, _)), Some((last, _))) => *last - *first,
            _ => Duration::ZERO,
        };
        if span < self.settings.shrink_delay.mul_f64(0.8) {
            return usize::MAX;
        }
        let needs = history.needs.iter().map(|(_, need)| *need);
        needs.max().unwrap_or(usize::MAX)
    }
}

/// What a pool asks for when there are too few machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolClaim {
    /// Machines with long-running tasks, which it keeps.
    pub anchors: usize,
    /// Machines that it needs for running work, and for waiting work that can still be in time.
    pub urgent: usize,
    /// Machines that it needs for all of its work.
    pub need: usize,
}

/// Divides machines among pools, one share for each claim; all needs are met if there are enough.
///
/// Load pattern: one pool's queue asks for several times all machines while the others need a few
/// each, and most of that queue is late already. Machines go to urgent work first, then to the rest,
/// each time to the pool with the smallest share that wants more. So a backlog costs no other pool the
/// machines that its own work takes, and late work none that work in time takes. It gives up the
/// throughput of the largest backlog, and the late jobs of a pool whose neighbours stay overloaded.
pub fn share_machines(claims: &[PoolClaim], machines: usize) -> Vec<usize> {
    let mut shares: Vec<usize> = claims.iter().map(|claim| claim.anchors).collect();
    let mut left = machines.saturating_sub(shares.iter().sum());
    let wants: [fn(&PoolClaim) -> usize; 2] = [|claim| claim.urgent, |claim| claim.need];
    for want in wants {
        while left > 0 {
            let open = (0..claims.len()).filter(|index| shares[*index] < want(&claims[*index]));
            let Some(index) = open.min_by_key(|index| shares[*index]) else {
                break;
            };
            shares[index] += 1;
            left -= 1;
        }
    }
    shares
}

fn scaled(size: &ResourceSize, factor: f64) -> ResourceSize {
    let scale = |amount: u32| (f64::from(amount) * factor) as u32;
    ResourceSize {
        millicores: scale(size.millicores),
        memory_mib: scale(size.memory_mib),
        accelerators: scale(size.accelerators),
    }
}

/// Returns the mean size of a machine; zero if there are none.
fn mean_machine(capacity: &ResourceSize, workers: u32) -> ResourceSize {
    let workers = workers.max(1);
    ResourceSize {
        millicores: capacity.millicores / workers,
        memory_mib: capacity.memory_mib / workers,
        accelerators: capacity.accelerators / workers,
    }
}

/// Returns how many machines a pool needs that takes `needed` full ones, if its `workers` have lost
/// the capacity of `lost` machines. Machines that are added are full.
fn count_shrunken(needed: usize, workers: usize, lost: f64) -> usize {
    let left = (workers as f64 - lost).max(0.0);
    if lost <= 0.0 {
        needed
    } else if left >= needed as f64 {
        (needed as f64 * workers as f64 / left).ceil() as usize
    } else {
        (workers as f64 + needed as f64 - left).ceil() as usize
    }
}

/// Returns how many machines of the given size `wanted` takes.
fn machines_for(wanted: &ResourceSize, machine: &ResourceSize) -> f64 {
    let ratio = |wanted: u32, each: u32| match (wanted, each) {
        (0, _) => 0.0,
        (wanted, each) => f64::from(wanted) / f64::from(each.max(1)),
    };
    let cores = ratio(wanted.millicores, machine.millicores);
    let memory = ratio(wanted.memory_mib, machine.memory_mib);
    let accelerators = ratio(wanted.accelerators, machine.accelerators);
    cores.max(memory).max(accelerators)
}
