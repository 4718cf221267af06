//! A fake worker with a lease, a fencing epoch and a list of run ends.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

/// A worker of the test cluster.
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// The worker runs on, but is partitioned from the network.
    pub unreachable: bool,
    /// The worker has crashed.
    pub crashed: bool,
    /// The worker executes starts, but their answers get lost.
    pub drops_start_answers: bool,
    /// The worker refuses all starts as unhealthy.
    pub unhealthy: bool,
    /// The worker is gone, and another one has its address.
    pub address_reused: bool,
    /// Runs end as failed instead of done.
    pub runs_fail: bool,
    pub fence: OwnerEpoch,
    pub lease_until: u64,
    pub started: Instant,
    pub running: IndexMap<TaskName, FakeRun>,
    pub finished: Vec<FinishedRun>,
    pub rejected_runs: HashMap<TaskName, RunNumber>,
    pub next_end: u64,
    pub acknowledged: u64,
    /// Run ends up to this number were not acknowledged before the lease lapsed.
    pub void_ends: u64,
    /// Last set pace by task, in percent.
    pub paces: HashMap<TaskName, u8>,
    /// Tail latency that serving tasks report, in milliseconds.
    pub tail_ms: u64,
}

/// A run on a fake worker.
#[derive(Debug, Clone)]
pub struct FakeRun {
    pub run: RunNumber,
    pub ends_at: Option<Instant>,
    pub started_at: Instant,
    pub size: ResourceSize,
    pub serving: bool,
}

impl FakeWorker {
    pub fn clock(&self, now: Instant) -> u64 {
        7000 + (now - self.started).as_millis() as u64
    }

    pub fn extend_lease(&mut self, until: u64, now: Instant) {
        let bound = self.clock(now) + 6000;
        self.lease_until = self.lease_until.max(until.min(bound));
    }

    pub fn handle_start(
        &mut self,
        order: &StartOrder,
        step: &StepSpec,
        run_time: Duration,
        now: Instant,
    ) -> StartOutcome {
        if self.unhealthy {
            return StartOutcome::Unhealthy;
        }
        if self.entry.life != order.life || self.address_reused {
            return StartOutcome::OtherLife;
        }
        if order.epoch < self.fence {
            return StartOutcome::Fenced;
        }
        self.fence = order.epoch;
        if self
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            return StartOutcome::Accepted;
        }
        if self
            .rejected_runs
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            return StartOutcome::Superseded;
        }
        if order.lease_until <= self.clock(now) {
            return StartOutcome::LeaseOver;
        }
        self.extend_lease(order.lease_until, now);
        let millicores = if step.best_effort {
            0
        } else {
            step.size.millicores
        };
        let size = ResourceSize {
            millicores,
            ..step.size
        };
        let used = self
            .running
            .values()
            .fold(size, |sum, run| sum.plus(&run.size));
        if !used.fits_into(&self.entry.capacity) {
            return StartOutcome::NoRoom;
        }
        let run = FakeRun {
            run: order.run,
            ends_at: (!step.long_running).then(|| now + run_time),
            started_at: now,
            size,
            serving: step.target_latency.is_some(),
        };
        self.running.insert(order.task.clone(), run);
        StartOutcome::Accepted
    }

    pub fn end(&mut self, task: &TaskName, end: RunEnd) {
        let Some(run) = self.running.swap_remove(task) else {
            return;
        };
        self.rejected_runs.insert(task.clone(), run.run);
        self.finished.push(FinishedRun {
            number: self.next_end,
            task: task.clone(),
            run: run.run,
            end,
            checkpoint: None,
        });
        self.next_end += 1;
    }

    pub fn report(&self, now: Instant) -> PollReport {
        let running = self.running.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: if now > run.started_at + Duration::from_millis(300) {
                100
            } else {
                10
            },
            load: Some(if run.serving { self.tail_ms } else { 0 }),
        });
        PollReport {
            clock: self.clock(now),
            life: self.entry.life,
            running: running.collect(),
            finished: self.finished.clone(),
        }
    }
}
