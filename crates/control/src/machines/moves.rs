//! Moves of machines between pools.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::message::{MachineAction, MachineState, MachineView};
use super::{MachineController, MachineTask};
use crate::sizing::{PoolClaim, share_machines};

/// Shortest interval between log lines about the size of a pool.
const SIZE_LOG_INTERVAL: Duration = Duration::from_millis(900);

impl MachineController {
    /// Moves machines to pools that need them, and surplus ones to the spare pool.
    pub(super) fn move_machines(&mut self, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        let Some(spare) = self.spare_pool() else {
            return;
        };
        let pools: Vec<PoolId> = self.loads.keys().cloned().collect();
        self.log_sizes(now);
        let targets = self.targets(&pools, &spare);
        let mut short = Vec::new();
        for (pool, target) in &targets {
            let have = self.member_count(pool);
            if *target > have {
                short.push((*target - have, pool.clone()));
            }
        }
        short.sort_by_key(|(missing, _)| std::cmp::Reverse(*missing));
        for (missing, pool) in short {
            for _ in 0..missing {
                let machine = self
                    .find_idle_spare_machine(&spare)
                    .or_else(|| self.find_surplus_machine(&targets));
                let Some(machine) = machine else {
                    return;
                };
                self.start_move(&machine, pool.clone(), now);
            }
        }
        let margin = self.settings.sizing.shrink_margin;
        let sustained = pools.iter().map(|pool| {
            let need = self.sizes.sustained_need(pool).saturating_add(margin);
            (pool.clone(), need)
        });
        let sustained: IndexMap<PoolId, usize> = sustained.collect();
        while let Some(machine) = self.find_surplus_machine(&sustained) {
            self.start_move(&machine, spare.clone(), now);
        }
        for machine in self.evacuated_machines() {
            self.start_move(&machine, spare.clone(), now);
        }
    }

    /// Returns the machines in evacuated zones without long-running tasks: they cost money and are
    /// of no use to their pools.
    fn evacuated_machines(&self) -> Vec<MachineId> {
        let evacuated = self.loads.iter().flat_map(|(pool, load)| {
            let workers = load.evacuated.iter();
            workers.filter_map(|worker| self.free_machine(pool, worker))
        });
        evacuated.collect()
    }

    /// Returns the machine of a worker of a pool; `None` while it has a task or is avoided.
    fn free_machine(&self, pool: &PoolId, worker: &WorkerId) -> Option<MachineId> {
        let mut views = self.machines.values();
        let view = views.find(|view| view.worker.as_ref() == Some(worker))?;
        let free = view.pool == *pool
            && !self.tasks.contains_key(&view.machine)
            && !self.avoided.contains_key(&view.machine);
        free.then(|| view.machine.clone())
    }

    /// Returns whether a machine can serve any pool.
    fn is_usable(&self, view: &MachineView) -> bool {
        let load = self.loads.get(&view.pool);
        let unavailable = load
            .zip(view.worker.as_ref())
            .is_some_and(|(load, worker)| load.unavailable.contains(worker));
        !unavailable && !self.config.evacuated.contains(&view.zone)
    }

    /// Returns the target size of each pool: its need or, when the machines are too few for all
    /// needs, its share.
    pub(super) fn targets(&self, pools: &[PoolId], spare: &PoolId) -> IndexMap<PoolId, usize> {
        let claims = pools.iter().map(|pool| {
            let load = self.loads.get(pool);
            let anchors = load.map_or(0, |load| load.long_running_workers as usize);
            self.sizes.claim(pool, anchors)
        });
        let claims: Vec<PoolClaim> = claims.collect();
        let counts = pools
            .iter()
            .chain([spare])
            .map(|pool| self.member_count(pool));
        let shares = share_machines(&claims, counts.sum());
        pools.iter().cloned().zip(shares).collect()
    }

    /// Logs the pools whose need has changed, each at most once per [`SIZE_LOG_INTERVAL`].
    pub(super) fn log_sizes(&mut self, now: Instant) {
        for (pool, load) in &self.loads {
            let need = self.sizes.need(pool);
            let last_logged = self.logged_needs.get(pool);
            let recent = last_logged.is_some_and(|(at, _)| now < *at + SIZE_LOG_INTERVAL);
            if recent || last_logged.is_some_and(|(_, before)| *before == need) {
                continue;
            }
            self.logged_needs.insert(pool.clone(), (now, need));
            let event = EventCode::PoolSized.number();
            let (workers, anchors, blocked) =
                (load.workers, load.long_running_workers, load.blocked);
            let (used, waiting) = (load.used.millicores, load.waiting.millicores);
            let late = load.late.millicores;
            let have = self.member_count(pool);
            let pool = &**pool;
            tracing::info!(
                event,
                pool,
                need,
                have,
                workers,
                anchors,
                used,
                waiting,
                late,
                blocked,
                "pool sized"
            );
        }
    }

    pub(super) fn spare_pool(&self) -> Option<PoolId> {
        let mut pools = self.config.pools.iter();
        let spare = pools.find(|(_, rule)| rule.spare);
        spare.map(|(pool, _)| pool.clone())
    }

    pub(super) fn is_spare(&self, pool: &PoolId) -> bool {
        self.config.pools.get(pool).is_some_and(|rule| rule.spare)
    }

    /// Counts the machines of a pool, including those moving to it and without those that are
    /// moving away, waiting for maintenance, down or unusable.
    pub(super) fn member_count(&self, pool: &PoolId) -> usize {
        let moves_to = |machine: &MachineId| match self.tasks.get(machine) {
            Some(MachineTask {
                action: MachineAction::Move(to),
                ..
            }) => Some(to),
            _ => None,
        };
        let in_upkeep = |machine: &MachineId| {
            let task = self.tasks.get(machine);
            task.is_some_and(|task| matches!(task.action, MachineAction::Upkeep(_)))
        };
        let machines = self
            .machines
            .values()
            .filter(|view| view.state != MachineState::Down);
        let machines = machines.filter(|view| !in_upkeep(&view.machine) && self.is_usable(view));
        let members = machines.filter(|view| match moves_to(&view.machine) {
            Some(to) => to == pool,
            None => view.pool == *pool,
        });
        members.count()
    }

    /// Returns a machine of the spare pool that is free to move.
    pub(super) fn find_idle_spare_machine(&self, spare: &PoolId) -> Option<MachineId> {
        let idle = self.machines.values().find(|view| {
            let settled = !matches!(view.state, MachineState::Moving | MachineState::Upkeep);
            let free = !self.tasks.contains_key(&view.machine)
                && !self.avoided.contains_key(&view.machine);
            view.pool == *spare && settled && free && self.is_usable(view)
        });
        idle.map(|view| view.machine.clone())
    }

    /// Returns a machine of the pool with the largest surplus over its target.
    pub(super) fn find_surplus_machine(
        &self,
        targets: &IndexMap<PoolId, usize>,
    ) -> Option<MachineId> {
        let surplus = |pool: &&PoolId| self.member_count(pool).saturating_sub(targets[*pool]);
        let pool = targets
            .keys()
            .filter(|pool| surplus(pool) > 0)
            .max_by_key(surplus)?;
        let load = self.loads.get(pool)?;
        let mut movable = load.movable.iter();
        movable.find_map(|worker| self.free_machine(pool, worker))
    }

    pub(super) fn start_move(&mut self, machine: &MachineId, to: PoolId, now: Instant) {
        let Some(view) = self.machines.get(machine) else {
            return;
        };
        let event = EventCode::MachineMoved.number();
        let (from, pool) = (&*view.pool, &*to);
        tracing::info!(
            event,
            machine = &**machine,
            from,
            pool,
            "moving machine to another pool"
        );
        self.start_task(machine.clone(), MachineAction::Move(to), now);
    }
}
