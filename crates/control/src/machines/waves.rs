//! Maintenance waves: which machine goes down next, and when a wave is completed.

use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;

use super::message::{MachineAction, MachineCommand, MachineOrder, MachineState};
use super::{MachineController, MachineTask};
use crate::config::WaveRule;

impl MachineController {
    /// Returns the waves that are not completed, or that have another machine since they were.
    pub(super) fn open_waves(&self) -> impl Iterator<Item = (&WaveNumber, &WaveRule)> {
        let waves = self.config.waves.iter();
        waves.filter(|(wave, rule)| {
            !self.is_completed(**wave) || !self.pending_machines(**wave, rule).is_empty()
        })
    }

    fn is_completed(&self, wave: WaveNumber) -> bool {
        let progress = self.progress.get(&wave);
        progress.is_some_and(|progress| progress.completed)
    }

    pub(super) fn record_started(&mut self, order: &MachineOrder) {
        if let MachineAction::Upkeep(wave) = order.action {
            let progress = self.progress.entry(wave).or_default();
            progress.started.insert(order.machine.clone());
            let command = MachineCommand::StoreProgress(wave, progress.clone());
            self.commands.push(command);
        }
    }

    /// Starts the maintenance of further machines and reports completed waves.
    pub(super) fn advance_waves(&mut self, now: Instant) {
        if self.machines.is_empty() {
            return;
        }
        let open: Vec<WaveNumber> = self.open_waves().map(|(wave, _)| *wave).collect();
        for wave in open {
            if self.is_completed(wave) {
                self.reopen_wave(wave);
            }
            if self.reported.insert(wave) {
                self.commands.push(MachineCommand::ReportWave(wave, false));
            }
            let config = Arc::clone(&self.config);
            let Some(rule) = config.waves.get(&wave) else {
                continue;
            };
            let pending = self.pending_machines(wave, rule);
            if pending.is_empty() {
                self.complete_wave(wave);
                continue;
            }
            let slots = rule
                .max_down
                .saturating_sub(self.count_machines_down(wave, rule));
            self.start_pending(wave, pending, slots, now);
        }
    }

    /// Returns the listed machines of a wave whose maintenance has not started.
    pub(super) fn pending_machines(&self, wave: WaveNumber, rule: &WaveRule) -> Vec<MachineId> {
        let started = self.progress.get(&wave).map(|progress| &progress.started);
        let pending = rule.machines.iter().filter(|machine| {
            let started = started.is_some_and(|started| started.contains(*machine));
            !started && self.machines.contains_key(*machine)
        });
        pending.cloned().collect()
    }

    /// Counts the machines of a wave that are in maintenance or about to be.
    pub(super) fn count_machines_down(&self, wave: WaveNumber, rule: &WaveRule) -> usize {
        let in_progress = |machine: &MachineId| {
            let task = self.tasks.get(machine);
            task.is_some_and(|task| task.action == MachineAction::Upkeep(wave))
        };
        let in_upkeep = |machine: &MachineId| {
            let view = self.machines.get(machine);
            view.is_some_and(|view| view.state == MachineState::Upkeep)
        };
        let machines = rule.machines.iter();
        machines
            .filter(|machine| in_progress(machine) || in_upkeep(machine))
            .count()
    }

    pub(super) fn start_pending(
        &mut self,
        wave: WaveNumber,
        mut pending: Vec<MachineId>,
        mut slots: usize,
        now: Instant,
    ) {
        // Long-running tasks are moved off a machine one at a time, which takes several seconds, so
        // their machines go first.
        pending.sort_by(|a, b| {
            let slow_first = self.has_long_running(b).cmp(&self.has_long_running(a));
            slow_first.then(
                self.pool_utilization(a)
                    .total_cmp(&self.pool_utilization(b)),
            )
        });
        for machine in pending {
            if slots == 0 {
                return;
            }
            let Some(view) = self.machines.get(&machine) else {
                continue;
            };
            let free =
                !self.tasks.contains_key(&machine) && self.pool_allows_maintenance(&view.pool);
            if !free || matches!(view.state, MachineState::Moving | MachineState::Upkeep) {
                continue;
            }
            self.start_task(machine, MachineAction::Upkeep(wave), now);
            slots -= 1;
        }
    }

    /// Returns whether a machine may run long-running tasks.
    fn has_long_running(&self, machine: &MachineId) -> bool {
        let view = self.machines.get(machine);
        let worker = view.and_then(|view| Some((&view.pool, view.worker.as_ref()?)));
        worker.is_some_and(|(pool, worker)| {
            let load = self.loads.get(pool);
            load.is_some_and(|load| !load.movable.contains(worker))
        })
    }

    /// Returns how busy the pool of a machine is; machines of idle pools go first.
    pub(super) fn pool_utilization(&self, machine: &MachineId) -> f64 {
        let view = self.machines.get(machine);
        let load = view.and_then(|view| self.loads.get(&view.pool));
        load.map_or(0.0, |load| {
            let wanted = load.used.millicores.saturating_add(load.waiting.millicores);
            f64::from(wanted) / f64::from(load.capacity.millicores.max(1))
        })
    }

    /// Returns whether another machine of the pool may go into maintenance.
    pub(super) fn pool_allows_maintenance(&self, pool: &PoolId) -> bool {
        let members = self.machines.values().filter(|view| view.pool == *pool);
        let allowed = (members.count() as f64 * self.settings.max_pool_fraction) as usize;
        let limit = allowed.max(self.settings.min_pool_allowance);
        let upkeep = |task: &&MachineTask| matches!(task.action, MachineAction::Upkeep(_));
        let scheduled = self.tasks.values().filter(upkeep);
        let scheduled = scheduled.filter(|task| task.pool == *pool);
        scheduled.count() < limit
    }

    /// Opens a completed wave again, which is then reported as not completed.
    fn reopen_wave(&mut self, wave: WaveNumber) {
        let progress = self.progress.entry(wave).or_default();
        progress.completed = false;
        let command = MachineCommand::StoreProgress(wave, progress.clone());
        self.commands.push(command);
        self.reported.swap_remove(&wave);
        let event = EventCode::WaveReopened.number();
        tracing::info!(
            event,
            wave,
            "completed maintenance wave has another machine"
        );
    }

    pub(super) fn complete_wave(&mut self, wave: WaveNumber) {
        let progress = self.progress.entry(wave).or_default();
        progress.completed = true;
        let command = MachineCommand::StoreProgress(wave, progress.clone());
        self.commands.push(command);
        self.commands.push(MachineCommand::ReportWave(wave, true));
        let event = EventCode::WaveCompleted.number();
        tracing::info!(event, wave, "maintenance wave completed");
    }
}
