//! How many machines each pool needs.
//!
//! Demand goes round the pools: for some seconds one of them has several times its mean, and then
//! next to nothing. A machine that stands idle in a pool is paid for, one in the spare pool is not,
//! and a move takes longer than most tasks. So a pool is sized for what waits and runs now, with
//! some room, and shrinks only when it has needed less for a while.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::message::PoolLoad;

/// Time over which the growth of work is taken: long enough for several jobs to fall into it.
const GROWTH_SPAN: Duration = Duration::from_secs(1);

/// Settings of [`PoolSizes`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizingSettings {
    /// Machines for each machine's worth of work. What is over takes arrivals until a move is done.
    pub headroom: f64,
    /// Machines that a pool has beyond that.
    pub reserve: usize,
    /// Part of the waiting work that is to run at once; the rest follows when that has ended.
    pub backlog_fraction: f64,
    /// Time for which the growth of work is taken to go on. A move takes longer, but the work of few
    /// large jobs comes in steps, and a longer forecast overshoots.
    pub forecast_horizon: Duration,
    /// Fewest machines of a pool.
    pub min_machines: usize,
    /// Machines that a pool keeps beyond its need when it shrinks, so that small changes move none.
    pub shrink_margin: usize,
    /// How long a pool has to need less before it shrinks to the spare pool: a move there and back
    /// costs as much as about two seconds in a pool.
    pub shrink_delay: Duration,
}

/// Sizes of the pools, from what their work was in the last seconds.
#[derive(Debug, Clone)]
pub struct PoolSizes {
    settings: SizingSettings,
    pools: IndexMap<PoolId, PoolHistory>,
}

#[derive(Debug, Clone, Default)]
struct PoolHistory {
    /// Needs of the last seconds, the latest one last.
    needs: VecDeque<(Instant, usize)>,
    /// Work that ran and waited lately, in thousandths of a core.
    work: VecDeque<(Instant, u32)>,
    /// Size of one machine.
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
    fn note_work(&mut self, millicores: u32, now: Instant) {
        self.work.push_back((now, millicores));
        while self
            .work
            .front()
            .is_some_and(|(at, _)| now > *at + GROWTH_SPAN)
        {
            self.work.pop_front();
        }
    }

    /// Returns the work that is expected after `lead`: as much as it has grown lately, it goes on
    /// to grow. Work that does not grow gives no forecast.
    fn forecast(&self, lead: Duration) -> u32 {
        let (Some((first, before)), Some((last, now))) = (self.work.front(), self.work.back())
        else {
            return 0;
        };
        let span = last.saturating_duration_since(*first);
        if span < GROWTH_SPAN / 2 || now <= before {
            return 0;
        }
        let growth = f64::from(now - before) / span.as_secs_f64();
        now.saturating_add((growth * lead.as_secs_f64()) as u32)
    }
}

impl PoolSizes {
    /// Creates sizes of which nothing is known.
    pub fn new(settings: SizingSettings) -> Self {
        Self {
            settings,
            pools: IndexMap::new(),
        }
    }

    /// Takes the work of a pool.
    pub fn observe(&mut self, load: &PoolLoad, now: Instant) {
        let settings = self.settings;
        let history = self.pools.entry(load.pool.clone()).or_default();
        if load.workers > 0 {
            history.machine = mean_machine(&load.capacity, load.workers);
        }
        let wanted = load
            .used
            .plus(&scaled(&load.waiting, settings.backlog_fraction));
        let all = load.used.plus(&load.waiting);
        history.note_work(all.millicores, now);
        let wanted = ResourceSize {
            millicores: wanted
                .millicores
                .max(history.forecast(settings.forecast_horizon)),
            ..wanted
        };
        let known = history.machine != ResourceSize::default();
        let work = if known {
            machines_for(&wanted, &history.machine) * settings.headroom
        } else {
            0.0
        };
        let need = (work.ceil() as usize + settings.reserve)
            .max(load.anchors as usize)
            .max(if load.blocked > 0 {
                load.workers as usize + 1
            } else {
                0
            })
            .max(settings.min_machines);
        history.needs.push_back((now, need));
        while history
            .needs
            .front()
            .is_some_and(|(at, _)| now > *at + settings.shrink_delay)
        {
            history.needs.pop_front();
        }
    }

    /// Returns how many machines a pool needs now; without any knowledge it needs none.
    pub fn need(&self, pool: &PoolId) -> usize {
        let history = self.pools.get(pool);
        let latest = history.and_then(|history| history.needs.back());
        latest.map_or(0, |(_, need)| *need)
    }

    /// Returns the most machines that a pool has needed in the last seconds; without knowledge of
    /// all of them no bound.
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

fn scaled(size: &ResourceSize, part: f64) -> ResourceSize {
    let scale = |amount: u32| (f64::from(amount) * part) as u32;
    ResourceSize {
        millicores: scale(size.millicores),
        memory_mib: scale(size.memory_mib),
        accelerators: scale(size.accelerators),
    }
}

fn mean_machine(capacity: &ResourceSize, workers: u32) -> ResourceSize {
    ResourceSize {
        millicores: capacity.millicores / workers,
        memory_mib: capacity.memory_mib / workers,
        accelerators: capacity.accelerators / workers,
    }
}

/// Returns how many machines of a size hold `wanted`.
fn machines_for(wanted: &ResourceSize, machine: &ResourceSize) -> f64 {
    let part = |wanted: u32, each: u32| match (wanted, each) {
        (0, _) => 0.0,
        (wanted, each) => f64::from(wanted) / f64::from(each.max(1)),
    };
    let cores = part(wanted.millicores, machine.millicores);
    let memory = part(wanted.memory_mib, machine.memory_mib);
    let accelerators = part(wanted.accelerators, machine.accelerators);
    cores.max(memory).max(accelerators)
}
