//! A fake worker with a lease, a fencing epoch and a list of run ends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::checks::AcknowledgedEnd;

/// How long a shrunken capacity may be unknown to owners: the platform's limit, which is the time
/// until calm machines count as in touch, and one heartbeat.
pub const SHRINK_GRACE: Duration = Duration::from_millis(3000 + 1500);

/// A worker of the test cluster.
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// Earlier capacities, and when each was replaced.
    former_capacities: Vec<(Instant, ResourceSize)>,
    /// The worker refuses starts that exceed its capacity.
    pub guards_capacity: bool,
    /// Time that the worker takes to stop a run.
    pub stop_time: Duration,
    /// Number of starts that the worker refused for lack of room.
    pub room_refusals: usize,
    /// The worker runs on, but is partitioned from the network.
    pub unreachable: bool,
    /// The worker has crashed.
    pub crashed: bool,
    /// When the worker crashes.
    pub crashes_at: Option<Instant>,
    /// The worker executes starts, but their answers get lost.
    pub drops_start_answers: bool,
    /// The rows of its runs are malformed.
    pub malformed_rows: bool,
    /// The rows of its run ends are malformed.
    pub malformed_ends: bool,
    /// Number of run ends that the worker lists in one answer.
    pub listed_ends: usize,
    /// The worker refuses all starts as unhealthy.
    pub unhealthy: bool,
    /// The worker is gone, and another one has its address.
    pub address_reused: bool,
    /// Runs end as failed instead of done.
    pub runs_fail: bool,
    /// Runs save checkpoints, which name their task and how long they have run.
    pub saves_checkpoints: bool,
    pub fence: OrderFence,
    pub lease_until: u64,
    /// Longest lease that the worker grants.
    pub lease_limit: u64,
    pub started: Instant,
    /// Reading of the worker's clock at its start.
    pub clock_base: u64,
    /// Speed of the worker's clock.
    pub clock_rate: f64,
    pub running: IndexMap<TaskName, FakeRun>,
    pub finished: Vec<FinishedRun>,
    /// When each run of `finished` ended.
    end_times: HashMap<EndNumber, Instant>,
    pub rejected_runs: HashMap<TaskName, RunNumber>,
    pub next_end: u64,
    pub acknowledged: u64,
    /// Run ends up to this number were not acknowledged before the lease expired.
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
    /// When the run ends because it is being stopped.
    pub stops_at: Option<Instant>,
    pub size: ResourceSize,
    pub serving: bool,
    pub gang: bool,
}

impl FakeRun {
    /// Returns whether the run's work is done.
    pub fn is_due(&self, now: Instant) -> bool {
        self.ends_at.is_some_and(|until| now >= until)
    }
}

impl FakeWorker {
    pub fn new(entry: WorkerEntry, clock_base: u64, now: Instant) -> Self {
        Self {
            entry,
            former_capacities: Vec::new(),
            guards_capacity: true,
            stop_time: Duration::ZERO,
            room_refusals: 0,
            unreachable: false,
            crashed: false,
            crashes_at: None,
            drops_start_answers: false,
            malformed_rows: false,
            malformed_ends: false,
            listed_ends: 500,
            unhealthy: false,
            address_reused: false,
            runs_fail: false,
            saves_checkpoints: false,
            fence: 0,
            lease_until: 0,
            lease_limit: 10_000,
            started: now,
            clock_base,
            clock_rate: 1.0,
            running: IndexMap::new(),
            finished: Vec::new(),
            end_times: HashMap::new(),
            rejected_runs: HashMap::new(),
            next_end: 1,
            acknowledged: 0,
            void_ends: 0,
            paces: HashMap::new(),
            tail_ms: 0,
        }
    }

    /// Changes the capacity, which owners learn with the next list of workers.
    pub fn resize(&mut self, capacity: ResourceSize, now: Instant) {
        self.former_capacities.push((now, self.entry.capacity));
        self.entry.capacity = capacity;
    }

    /// Returns whether the capacity has changed in this life of the worker.
    pub fn was_resized(&self) -> bool {
        !self.former_capacities.is_empty()
    }

    /// Returns the capacity that no start may exceed: the largest one within [`SHRINK_GRACE`].
    pub fn binding_capacity(&self, now: Instant) -> ResourceSize {
        let recent = self.former_capacities.iter();
        let recent = recent.filter(|(until, _)| now < *until + SHRINK_GRACE);
        recent.fold(self.entry.capacity, |largest, (_, former)| {
            largest.max(former)
        })
    }

    /// Returns the resources of all runs, those that are being stopped included.
    pub fn used(&self) -> ResourceSize {
        let runs = self.running.values();
        runs.fold(ResourceSize::default(), |sum, run| sum.plus(&run.size))
    }

    pub fn clock(&self, now: Instant) -> u64 {
        let passed = (now - self.started).mul_f64(self.clock_rate);
        self.clock_base + passed.as_millis() as u64
    }

    pub fn extend_lease(&mut self, until: u64, now: Instant) {
        let bound = self.clock(now) + self.lease_limit;
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
        // An order names its worker by id alone, so a later life with the same id accepts it.
        if self.address_reused {
            return StartOutcome::OtherLife;
        }
        if order.fence < self.fence {
            return StartOutcome::Fenced;
        }
        self.fence = order.fence;
        self.extend_lease(order.lease_until, now);
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
        let millicores = if step.best_effort {
            0
        } else {
            step.size.millicores
        };
        let size = ResourceSize {
            millicores,
            ..step.size
        };
        let fits = self.used().plus(&size).fits_into(&self.entry.capacity);
        if self.guards_capacity && !fits {
            self.room_refusals += 1;
            return StartOutcome::NoRoom;
        }
        let run = FakeRun {
            run: order.run,
            // A gang works once it is complete.
            ends_at: (!step.long_running && !step.gang).then(|| now + run_time),
            started_at: now,
            stops_at: None,
            size,
            serving: step.target_latency.is_some(),
            gang: step.gang,
        };
        let other = self.running.insert(order.task.clone(), run);
        assert!(other.is_none(), "{} runs twice on a worker", order.task);
        StartOutcome::Accepted
    }

    /// Kills everything if the lease has expired, and ends the runs that are due.
    pub fn advance(&mut self, now: Instant) {
        let expired = self.lease_until > 0 && self.clock(now) >= self.lease_until;
        if expired {
            let names: Vec<_> = self.running.keys().cloned().collect();
            for name in names {
                self.end(&name, RunEnd::LeaseExpired, now);
            }
            self.void_ends = self.next_end - 1;
        }
        let stopped = self.running.iter();
        let stopped = stopped.filter(|(_, run)| run.stops_at.is_some_and(|at| now >= at));
        let stopped: Vec<_> = stopped.map(|(name, _)| name.clone()).collect();
        for name in stopped {
            self.end(&name, RunEnd::Stopped, now);
        }
        let ended = self.running.iter();
        let ended = ended.filter(|(_, run)| run.is_due(now) && !run.gang);
        let ended: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
        let end = if self.runs_fail {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        for name in ended {
            self.end(&name, end, now);
        }
    }

    /// Forgets the ends up to `number` and returns those of them that count.
    pub fn acknowledge(&mut self, number: EndNumber) -> Vec<AcknowledgedEnd> {
        self.acknowledged = self.acknowledged.max(number);
        let (forgotten, finished): (Vec<_>, Vec<_>) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition(|end| end.number <= number);
        self.finished = finished;
        let counting = forgotten
            .into_iter()
            .filter(|end| end.number > self.void_ends);
        counting
            .map(|end| AcknowledgedEnd {
                ended_at: self.end_times[&end.number],
                task: end.task,
                run: end.run,
                end: end.end,
            })
            .collect()
    }

    /// Stops a run, which ends after [`Self::stop_time`].
    pub fn stop(&mut self, task: &TaskName, run: RunNumber, now: Instant) {
        let rejected = self.rejected_runs.entry(task.clone()).or_default();
        *rejected = (*rejected).max(run);
        let active = self.running.get_mut(task);
        let Some(active) = active.filter(|active| active.run == run) else {
            return;
        };
        let stops_at = *active.stops_at.get_or_insert(now + self.stop_time);
        if now >= stops_at {
            self.end(task, RunEnd::Stopped, now);
        }
    }

    pub fn end(&mut self, task: &TaskName, end: RunEnd, now: Instant) {
        let Some(run) = self.running.swap_remove(task) else {
            return;
        };
        self.rejected_runs.insert(task.clone(), run.run);
        self.end_times.insert(self.next_end, now);
        let checkpoint = self.checkpoint(task, &run, now);
        self.finished.push(FinishedRun {
            number: self.next_end,
            task: task.clone(),
            run: run.run,
            end,
            checkpoint,
        });
        self.next_end += 1;
    }

    fn checkpoint(&self, task: &TaskName, run: &FakeRun, now: Instant) -> Option<Arc<str>> {
        let age = now - run.started_at;
        self.saves_checkpoints
            .then(|| format!("{task} {age:?}").into())
    }

    pub fn report(&self, now: Instant) -> PollReport {
        let readable = self.running.iter().filter(|_| !self.malformed_rows);
        let running = readable.map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: self.checkpoint(task, run, now),
            percent: if now > run.started_at + Duration::from_millis(300) {
                100
            } else {
                10
            },
            load: Some(if run.serving { self.tail_ms } else { 0 }),
        });
        let hides_ends = self.malformed_ends && !self.finished.is_empty();
        let listed = self.finished.iter().filter(|_| !hides_ends);
        let listed = listed.take(self.listed_ends);
        PollReport {
            clock: self.clock(now),
            life: self.entry.life,
            running: running.collect(),
            finished: listed.cloned().collect(),
            malformed_run: self.malformed_rows.then(|| "malformed".to_owned()),
            malformed_end: hides_ends.then(|| "malformed".to_owned()),
            more_ends: self.finished.len() >= self.listed_ends,
        }
    }
}
