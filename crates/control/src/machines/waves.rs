//! Maintenance waves: which machine has its upkeep next, and when a wave is completed.

use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;

use super::message::{MachineAction, MachineCommand, MachineOrder, MachineState};
use super::{MachineController, MachineTask};
use crate::config::WaveRule;

impl MachineController {
    pub(super) fn open_waves(&self) -> impl Iterator<Item = (&WaveNumber, &WaveRule)> {
        let open = self.config.waves.iter();
        open.filter(|(wave, _)| !self.progress.get(*wave).is_some_and(|p| p.completed))
    }

    pub(super) fn note_begun(&mut self, order: &MachineOrder) {
        if let MachineAction::Upkeep(wave) = order.action {
            let progress = self.progress.entry(wave).or_default();
            progress.started.insert(order.machine.clone());
            let note = MachineCommand::StoreProgress(wave, progress.clone());
            self.commands.push(note);
        }
    }

    /// Takes further machines of the waves, and tells when a wave is completed.
    pub(super) fn advance_waves(&mut self, now: Instant) {
        if self.machines.is_empty() {
            return;
        }
        let open: Vec<WaveNumber> = self.open_waves().map(|(wave, _)| *wave).collect();
        for wave in open {
            if self.reported.insert(wave) {
                self.commands.push(MachineCommand::ReportWave(wave, false));
            }
            let config = Arc::clone(&self.config);
            let Some(rule) = config.waves.get(&wave) else {
                continue;
            };
            let pending = self.pending_machines(wave, rule);
            if pending.is_empty() {
                self.complete(wave);
                continue;
            }
            let room = rule.max_down.saturating_sub(self.down_machines(wave, rule));
            self.take_pending(wave, pending, room, now);
        }
    }

    /// Returns the machines of a wave that are there and have not started.
    pub(super) fn pending_machines(&self, wave: WaveNumber, rule: &WaveRule) -> Vec<MachineId> {
        let started = self.progress.get(&wave).map(|progress| &progress.started);
        let pending = rule.machines.iter().filter(|machine| {
            let started = started.is_some_and(|started| started.contains(*machine));
            !started && self.machines.contains_key(*machine)
        });
        pending.cloned().collect()
    }

    /// Returns how many machines of a wave are down for it, or may be soon.
    pub(super) fn down_machines(&self, wave: WaveNumber, rule: &WaveRule) -> usize {
        let under_way = |machine: &MachineId| {
            let task = self.tasks.get(machine);
            task.is_some_and(|task| task.action == MachineAction::Upkeep(wave))
        };
        let in_upkeep = |machine: &MachineId| {
            let view = self.machines.get(machine);
            view.is_some_and(|view| view.state == MachineState::Upkeep)
        };
        let machines = rule.machines.iter();
        machines
            .filter(|machine| under_way(machine) || in_upkeep(machine))
            .count()
    }

    pub(super) fn take_pending(
        &mut self,
        wave: WaveNumber,
        mut pending: Vec<MachineId>,
        mut room: usize,
        now: Instant,
    ) {
        // Tasks that last leave a machine one after the other, which takes several seconds.
        pending.sort_by(|a, b| {
            let slow_first = self.is_anchored(b).cmp(&self.is_anchored(a));
            slow_first.then(self.machine_load(a).total_cmp(&self.machine_load(b)))
        });
        for machine in pending {
            if room == 0 {
                return;
            }
            let Some(view) = self.machines.get(&machine) else {
                continue;
            };
            let free = !self.tasks.contains_key(&machine) && self.pool_has_room(&view.pool);
            if !free || matches!(view.state, MachineState::Moving | MachineState::Upkeep) {
                continue;
            }
            self.begin_task(machine, MachineAction::Upkeep(wave), now);
            room -= 1;
        }
    }

    /// Returns whether something that lasts may run on a machine.
    fn is_anchored(&self, machine: &MachineId) -> bool {
        let view = self.machines.get(machine);
        let worker = view.and_then(|view| Some((&view.pool, view.worker.as_ref()?)));
        worker.is_some_and(|(pool, worker)| {
            let load = self.loads.get(pool);
            load.is_some_and(|load| !load.movable.contains(worker))
        })
    }

    /// Returns how busy the pool of a machine is; idle pools give their machines first.
    pub(super) fn machine_load(&self, machine: &MachineId) -> f64 {
        let view = self.machines.get(machine);
        let load = view.and_then(|view| self.loads.get(&view.pool));
        load.map_or(0.0, |load| {
            let wanted = load.used.millicores.saturating_add(load.waiting.millicores);
            f64::from(wanted) / f64::from(load.capacity.millicores.max(1))
        })
    }

    /// Returns whether another machine of the pool may be taken.
    pub(super) fn pool_has_room(&self, pool: &PoolId) -> bool {
        let members = self.machines.values().filter(|view| view.pool == *pool);
        let part = (members.count() as f64 * self.settings.max_pool_fraction) as usize;
        let most = part.max(self.settings.min_pool_allowance);
        let upkeep = |task: &&MachineTask| matches!(task.action, MachineAction::Upkeep(_));
        let taken = self.tasks.values().filter(upkeep);
        let taken = taken.filter(|task| task.pool == *pool);
        taken.count() < most
    }

    pub(super) fn complete(&mut self, wave: WaveNumber) {
        let progress = self.progress.entry(wave).or_default();
        progress.completed = true;
        let note = MachineCommand::StoreProgress(wave, progress.clone());
        self.commands.push(note);
        self.commands.push(MachineCommand::ReportWave(wave, true));
        let event = EventCode::WaveCompleted.number();
        tracing::info!(event, wave, "maintenance wave completed");
    }
}
