//! Crashes of workers: by tasks that crash each worker that starts them, and by a loss of power.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;

use super::{ROUND_TRIP, TestCluster, millis};

/// Time from the start of a deadly task until its worker has crashed.
const CRASH_TIME: Duration = Duration::from_millis(10);
/// Time until a crashed worker of [`cluster`] is back.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time until the list of machines shows a crash.
const LIST_TIME: Duration = Duration::from_millis(300);

/// Which tasks crash their workers, and what follows.
#[derive(Debug, Default)]
pub struct CrashPlan {
    /// Tasks that crash each worker that starts them.
    pub deadly: HashSet<TaskName>,
    /// Workers crash before they answer the start.
    pub unanswered: bool,
    /// Time until a crashed worker is back under its id; it stays away if there is none.
    pub return_time: Option<Duration>,
    /// The list of machines shows no crash.
    pub unlisted: bool,
    /// Workers that have crashed, in the order of their crashes.
    pub history: Vec<(WorkerId, Instant)>,
    /// Crashed workers that are not back.
    away: Vec<(WorkerLife, Instant)>,
}

impl TestCluster {
    /// Submits a job of one step whose tasks `deadly` crash each worker that starts them.
    pub fn submit_deadly(&mut self, job: &str, spec: StepSpec, deadly: &[u32]) {
        let tasks = deadly.iter().map(|index| TaskName {
            job: job.into(),
            occurrence: 0,
            step: 0,
            index: *index,
        });
        self.crashes.deadly.extend(tasks);
        self.submit(job, None, vec![spec]);
    }

    /// Lets workers lose power at the same moment.
    pub fn crash_workers(&mut self, ids: &[WorkerId]) {
        for id in ids {
            self.workers[id].crashes_at = Some(self.now);
        }
        self.advance_crashes();
    }

    /// Lets the worker of a start crash if its task is deadly.
    pub(super) fn crash_under(&mut self, order: &StartOrder) {
        if !self.crashes.deadly.contains(&order.task) {
            return;
        }
        let unanswered = self.crashes.unanswered;
        let worker = &mut self.workers[&order.worker];
        worker.drops_start_answers = unanswered;
        worker.crashes_at.get_or_insert(self.now + CRASH_TIME);
    }

    /// Crashes the workers that are due, lists their machines as down and brings them back.
    pub(super) fn advance_crashes(&mut self) {
        let now = self.now;
        let due = self.workers.values_mut().filter(|worker| {
            let due = worker.crashes_at.is_some_and(|at| now >= at);
            due && !worker.crashed
        });
        let mut crashed = Vec::new();
        for worker in due {
            worker.crashed = true;
            let (worker, life) = (worker.entry.id.clone(), worker.entry.life);
            crashed.push(WorkerLife { worker, life });
        }
        for life in crashed {
            self.trace(|| format!("{} crashes", life.worker));
            self.break_polls(&life.worker);
            self.crashes.history.push((life.worker.clone(), now));
            self.crashes.away.push((life, now));
        }
        if self.crashes.away.is_empty() {
            return;
        }
        if !self.crashes.unlisted {
            let unreachable = self.unreachable_lives();
            let away = self.crashes.away.iter();
            let shown = away.filter(|(_, at)| now >= *at + LIST_TIME);
            let ended = shown.filter(|(life, _)| unreachable.contains(life));
            self.ended = ended.map(|(life, _)| life.clone()).collect();
        }
        if let Some(time) = self.crashes.return_time {
            let away = std::mem::take(&mut self.crashes.away);
            let (back, away): (Vec<_>, Vec<_>) =
                away.into_iter().partition(|(_, at)| now >= *at + time);
            self.crashes.away = away;
            for (life, _) in &back {
                self.restart_worker(&life.worker);
            }
            if !back.is_empty() {
                self.list_workers();
            }
        }
    }

    /// Returns the machines that the platform lists as down.
    pub(super) fn down_machines(&self) -> Vec<MachineId> {
        let now = self.now;
        let away = self.crashes.away.iter();
        let shown = away.filter(|(_, at)| !self.crashes.unlisted && now >= *at + LIST_TIME);
        let machines = shown.filter_map(|(life, _)| {
            let worker = self.workers.get(&life.worker)?;
            worker.entry.machine.clone()
        });
        machines.collect()
    }

    /// Ends the polls that wait at a worker.
    fn break_polls(&mut self, id: &WorkerId) {
        let now = self.now;
        for answer in &mut self.answers {
            if matches!(&answer.event, ShardEvent::Polled { order, .. } if order.worker == *id) {
                answer.at = answer.at.min(now + ROUND_TRIP);
            }
        }
    }
}

/// Creates a cluster of four racks in two zones, whose workers come back after a crash.
pub fn cluster(workers: usize) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    for (number, worker) in cluster.workers.values_mut().enumerate() {
        worker.entry.rack = Some(format!("rack{}", number % 4).as_str().into());
        worker.entry.zone = format!("zone{}", number % 2).as_str().into();
    }
    cluster.crashes.return_time = Some(RETURN_TIME);
    cluster.list_workers();
    cluster.run(millis(500));
    cluster
}

/// Returns the ids of the workers whose entries are chosen.
pub fn ids(cluster: &TestCluster, chosen: impl Fn(&WorkerEntry) -> bool) -> Vec<WorkerId> {
    let workers = cluster.workers.values().map(|worker| &worker.entry);
    let chosen = workers.filter(|entry| chosen(entry));
    chosen.map(|entry| entry.id.clone()).collect()
}
