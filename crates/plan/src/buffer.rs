//! The spare pool as one buffer for all pools: what it has to hold, and what moves when.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::headroom::PoolHeadroom;
use crate::maintenance::is_in_maintenance;
use crate::settings::PlanSettings;

/// Workers that a buffer has to hold so that each budget survives the loss of one failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BufferNeed {
    /// Workers in one buffer that all pools share.
    pub shared: u32,
    /// Workers in all buffers together when each pool keeps its own.
    pub separate: u32,
}

/// Failure domain that a buffer has to make up for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DomainKind {
    /// A rack.
    Rack,
    /// An availability zone.
    Zone,
}

/// Decides which workers pools borrow and give back.
#[derive(Debug, Default)]
pub struct BorrowPolicy {
    short_since: IndexMap<PoolId, Instant>,
    rich_since: IndexMap<PoolId, Instant>,
}

/// A worker that is to change pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Worker to move.
    pub worker: WorkerId,
    /// Pool that it will be in.
    pub to: PoolId,
}

/// Returns the buffer that `pools` need for the largest failure domain of a kind.
///
/// What is out of service already, drains in flight included, counts as out beside the domain.
pub fn shared_buffer(pools: &PoolLedger, kind: DomainKind) -> BufferNeed {
    let mut losses: IndexMap<RackKey, IndexMap<PoolId, u32>> = IndexMap::new();
    for instance in pools.instances().filter(|one| pools.is_available(one)) {
        let rack = match kind {
            DomainKind::Rack => instance.rack.clone(),
            DomainKind::Zone => RackId::from(""),
        };
        let zone = instance.zone.clone();
        let domain = losses.entry(RackKey { zone, rack }).or_default();
        *domain.entry(instance.pool.clone()).or_default() += 1;
    }
    let mut worst: IndexMap<&PoolId, u32> = IndexMap::new();
    let mut shared = 0;
    for domain in losses.values() {
        let mut sum = 0;
        for (pool, lost) in domain.iter().filter(|(pool, _)| !pools.is_spare(pool)) {
            let budget = pools.budget(pool);
            let short = (budget.required + lost).saturating_sub(budget.available);
            let most = worst.entry(pool).or_default();
            *most = short.max(*most);
            sum += short;
        }
        shared = shared.max(sum);
    }
    BufferNeed {
        shared,
        separate: worst.values().sum(),
    }
}

impl BorrowPolicy {
    /// Picks the moves that are due.
    pub fn plan_moves(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut moves = self.borrow(now, pools, settings);
        moves.extend(self.give_back(now, pools, headroom, settings));
        moves
    }

    fn borrow(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut short: Vec<(PoolId, u32)> = Vec::new();
        for pool in pools.pools().filter(|pool| !pools.is_spare(pool)) {
            let shortfall = shortfall(pools, pool);
            let is_short = shortfall > 0;
            if lasts(
                &mut self.short_since,
                now,
                pool,
                is_short,
                settings.borrow_after,
            ) {
                short.push((pool.clone(), shortfall));
            }
        }
        short.sort_by_key(|(pool, shortfall)| {
            let size = u64::from(pools.declared_size(pool).max(1));
            std::cmp::Reverse(u64::from(*shortfall) * 1_000 / size)
        });
        let spares: Vec<&PoolId> = pools.pools().filter(|pool| pools.is_spare(pool)).collect();
        let mut moves: Vec<PlannedMove> = Vec::new();
        for spare in spares {
            lend(pools, spare, &mut short, &mut moves);
        }
        moves
    }

    fn give_back(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut surplus: IndexMap<PoolId, u32> = IndexMap::new();
        let guests = pools.instances().filter(|one| one.pool != one.home);
        let guests = guests.filter(|one| one.phase == InstancePhase::InService);
        let guests: Vec<&PoolInstance> = guests.collect();
        for guest in &guests {
            if !surplus.contains_key(&guest.pool) {
                let pool = guest.pool.clone();
                let extra = extra_workers(pools, &pool);
                let is_rich = extra > 0;
                let after = settings.give_back_after;
                let lasts = lasts(&mut self.rich_since, now, &pool, is_rich, after);
                surplus.insert(pool, if lasts { extra } else { 0 });
            }
        }
        let mut moves = Vec::new();
        for guest in guests {
            let extra = surplus.entry(guest.pool.clone()).or_default();
            let on_loan = pools.is_spare(&guest.home);
            if (!on_loan || *extra > 0) && headroom.reserve(pools, guest) {
                *extra = extra.saturating_sub(1);
                moves.push(PlannedMove {
                    worker: guest.worker.clone(),
                    to: guest.home.clone(),
                });
            }
        }
        moves
    }
}

/// Lends workers of `spare`, one to each short pool by turns, until it can lend no more.
fn lend(
    pools: &PoolLedger,
    spare: &PoolId,
    short: &mut [(PoolId, u32)],
    moves: &mut Vec<PlannedMove>,
) {
    let mut free = pools.lendable(spare);
    while free > 0 && short.iter().any(|(_, shortfall)| *shortfall > 0) {
        for (pool, shortfall) in short.iter_mut().filter(|(_, shortfall)| *shortfall > 0) {
            let Some(worker) = lent_worker(pools, spare, pool, moves).filter(|_| free > 0) else {
                return;
            };
            let to = pool.clone();
            moves.push(PlannedMove { worker, to });
            *shortfall -= 1;
            free -= 1;
        }
    }
}

/// Returns the worker of `spare` that spreads `pool` most evenly over the availability zones.
///
/// A worker that has been through the maintenance wave goes first, as it needs no second drain.
fn lent_worker(
    pools: &PoolLedger,
    spare: &PoolId,
    pool: &PoolId,
    moves: &[PlannedMove],
) -> Option<WorkerId> {
    let mut per_zone: IndexMap<&ZoneId, u32> = IndexMap::new();
    for member in pools.members(pool).filter(|one| pools.is_available(one)) {
        *per_zone.entry(&member.zone).or_default() += 1;
    }
    pools
        .members(spare)
        .filter(|one| one.home == *spare && pools.is_available(one))
        .filter(|one| moves.iter().all(|planned| planned.worker != one.worker))
        .min_by_key(|one| {
            let in_zone = per_zone.get(&one.zone).copied().unwrap_or_default();
            (in_zone, pools.awaits_maintenance(one))
        })
        .map(|one| one.worker.clone())
}

/// Returns how many workers a pool lacks, those on their way to it counted as there.
///
/// A pool without room for maintenance lacks one while its wave is not finished, unless a drain
/// of its own is what takes the room or an availability zone is out of service.
fn shortfall(pools: &PoolLedger, pool: &PoolId) -> u32 {
    let budget = pools.budget(pool);
    let returning = pools.members(pool).filter(|one| one.awaits_admission());
    let returning = returning.count();
    let coming = |one: &&PoolInstance| one.destination() == Some(pool);
    let coming = pools.instances().filter(coming).count();
    let expected = budget.available as usize + returning + coming;
    let wave_stuck = expected <= budget.required as usize && wave_needs_room(pools, pool);
    let wanted = budget.required as usize + usize::from(wave_stuck);
    u32::try_from(wanted.saturating_sub(expected)).unwrap_or(u32::MAX)
}

fn wave_needs_room(pools: &PoolLedger, pool: &PoolId) -> bool {
    let all_zones = pools.zones().all(|(_, zone)| zone.is_in_service());
    let awaits =
        |one: &PoolInstance| one.phase == InstancePhase::InService && pools.awaits_maintenance(one);
    all_zones && pools.members(pool).any(awaits) && !pools.members(pool).any(is_in_maintenance)
}

/// Returns how many workers a pool has beyond those that operators list in it.
///
/// A pool whose wave is not finished keeps what it borrowed.
fn extra_workers(pools: &PoolLedger, pool: &PoolId) -> u32 {
    if pools.members(pool).any(|one| pools.awaits_maintenance(one)) {
        return 0;
    }
    let available = pools.budget(pool).available;
    available.saturating_sub(pools.declared_size(pool))
}

/// Returns whether `holds` has been so for `pool` for at least `time`.
fn lasts(
    since: &mut IndexMap<PoolId, Instant>,
    now: Instant,
    pool: &PoolId,
    holds: bool,
    time: Duration,
) -> bool {
    if !holds {
        since.swap_remove(pool);
        return false;
    }
    let start = *since.entry(pool.clone()).or_insert(now);
    now.saturating_duration_since(start) >= time
}
