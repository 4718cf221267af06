//! Crashes of workers, and the runs that may have caused them.
//!
//! A run is a suspect until its worker reports it some time after the start. Each crash counts against
//! its suspects. A task that was suspected before starts alone (see [`solo_starts`](super::solo_starts)),
//! so that its next crash has no other suspect.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use strum::Display;

use super::{ShardController, TaskPosition};
use crate::message::{ActiveRun, PollReport};
use crate::run::{RunPhase, RunRecord};
use crate::worker::{LifeEnd, WorkerRecord};

/// Time after its start at which a run has not crashed its worker and no longer will. Below
/// `poll_gap`, so that the first poll after a solo start shows it.
const SURVIVAL_TIME: Duration = Duration::from_millis(100);
/// Workers that are lost within this time of each other may have a common cause, such as the power
/// of their rack. Polls and lists of machines show the losses up to about a second apart.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(1);

/// How long the workers of a pool are asked about their starts at once after a crash in it. Held polls
/// confirm a start up to `poll_wait` late, and each run that is not confirmed is a suspect of the next
/// crash.
const WATCH_TIME: Duration = Duration::from_secs(5);

/// Crashes in a row after which a task is given up if the last one was certainly its own.
const PROVEN_CRASHES: u32 = 2;
/// Crashes in a row after which a task is given up although something else may have caused the last.
/// The platform allows two starts after the third crash.
const MAX_CRASHES: u32 = 4;
/// Losses of workers in a row, with those that count against no task, after which one is given up.
const MAX_LOSSES: u32 = 5;

/// Lives that have ended without a plan within the last [`COMMON_CAUSE_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    crashes: VecDeque<CrashRecord>,
    /// Until when the starts of a pool are confirmed without delay.
    watches: IndexMap<PoolId, Instant>,
}

/// The end of a worker's life that was not planned.
#[derive(Debug, Clone)]
struct CrashRecord {
    worker: WorkerId,
    pool: PoolId,
    zone: ZoneId,
    rack: Option<RackId>,
    lost_at: Instant,
    /// The worker has accepted a start that was sent then.
    alive_at: Option<Instant>,
    has_suspects: bool,
}

/// Why no run is blamed for the end of a worker's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum CrashExcuse {
    /// The worker had announced that it would end.
    Drain,
    /// The machine controller had ordered its machine.
    MachineOrder,
    /// Its availability zone was evacuated.
    Evacuation,
    /// Another worker that no run can have crashed was lost at the same time.
    CommonCause,
}

/// What is known of the start of a run on a worker that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum StartEvidence {
    /// The worker accepted it and answered nothing after that.
    Accepted,
    /// The worker reported the run before it crashed.
    Reported,
    /// The worker may have crashed before it, and a later life may have accepted it.
    Uncertain,
    /// An earlier owner sent it at an unknown time.
    Inherited,
}

/// A run that was not confirmed when its worker crashed.
#[derive(Debug)]
struct CrashSuspect {
    task: TaskName,
    run: RunNumber,
    evidence: StartEvidence,
    unconfirmed: Duration,
}

/// A crash of a worker with suspects.
#[derive(Debug)]
pub(super) struct CrashReport {
    worker: WorkerId,
    cause: LifeEnd,
    suspects: Vec<CrashSuspect>,
    excuse: Option<CrashExcuse>,
    /// No loss at the same time may have had the same cause.
    isolated: bool,
}

impl CrashReport {
    /// Returns whether only one job can have caused the crash.
    fn is_certain(&self, suspect: &CrashSuspect) -> bool {
        let mut others = self.suspects.iter();
        self.isolated
            && suspect.evidence == StartEvidence::Accepted
            && others.all(|other| other.task.job == suspect.task.job)
    }
}

impl StartEvidence {
    /// Returns whether the worker has certainly started the run.
    fn is_certain(self) -> bool {
        matches!(self, Self::Accepted | Self::Reported)
    }

    fn of(run: &RunRecord, cause: LifeEnd) -> Self {
        match run.phase {
            RunPhase::Inherited => Self::Inherited,
            RunPhase::Running if run.reported => Self::Reported,
            RunPhase::Running if !cause.may_survive(run) => Self::Accepted,
            _ => Self::Uncertain,
        }
    }
}

impl CrashRecord {
    fn new(worker: &WorkerRecord, lost_at: Instant) -> Self {
        Self {
            alive_at: None,
            worker: worker.entry.id.clone(),
            pool: worker.entry.pool.clone(),
            zone: worker.entry.zone.clone(),
            rack: worker.entry.rack.clone(),
            lost_at,
            has_suspects: worker.has_suspects(),
        }
    }

    /// Returns whether both losses may have the same cause.
    fn is_related(&self, other: &Self) -> bool {
        let apart = self.lost_at.max(other.lost_at) - self.lost_at.min(other.lost_at);
        let outlived = self
            .alive_at
            .is_some_and(|alive_at| alive_at > other.lost_at);
        self.worker != other.worker
            && apart <= COMMON_CAUSE_WINDOW
            && !outlived
            && (self.pool == other.pool || self.zone == other.zone)
    }

    /// Returns whether a related loss may have the cause of this one, and not suspects of its own in
    /// another rack.
    fn may_share_cause(&self, other: &Self) -> bool {
        let same_rack = self.rack.is_some() && self.rack == other.rack;
        same_rack && self.zone == other.zone || !other.has_suspects
    }
}

impl CrashHistory {
    fn record(&mut self, crash: CrashRecord, now: Instant) {
        self.crashes
            .retain(|crash| now < crash.lost_at + 2 * COMMON_CAUSE_WINDOW);
        self.crashes.push_back(crash);
    }

    /// Has the starts of a pool confirmed without delay for some time.
    fn watch(&mut self, pool: &PoolId, now: Instant) {
        self.watches.retain(|_, until| now < *until);
        self.watches.insert(pool.clone(), now + WATCH_TIME);
    }

    /// Returns whether the starts of a pool are to be confirmed without delay.
    pub(super) fn is_watched(&self, pool: &PoolId, now: Instant) -> bool {
        self.watches.get(pool).is_some_and(|until| now < *until)
    }
}

impl ShardController {
    /// Clears the runs of suspicion whose start the worker has survived, and their tasks too: the
    /// workers that crashed under them before did so for another reason.
    pub(super) fn confirm_survivals(&mut self, worker: &WorkerId, report: &PollReport) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        if !worker.has_suspects() {
            return;
        }
        for ActiveRun { task, run, .. } in &report.running {
            let record = worker.runs.get(task).filter(|record| record.run == *run);
            let Some(record) = record else {
                continue;
            };
            let survived = record.unconfirmed_since.is_some_and(|since| {
                let latest = worker.latest_clock(since + SURVIVAL_TIME);
                let outlasted = latest.is_some_and(|latest| report.clock >= latest);
                outlasted || record.phase == RunPhase::Inherited
            });
            if !survived {
                continue;
            }
            self.placement_needed |= self.solo_waiting || record.solo;
            worker.clear_suspicion(task);
            let job = self.jobs.get_mut(&task.job);
            if job.is_some_and(|job| job.state.clear_crashes(position_of(task))) {
                self.store_queue.mark_changed(&task.job);
                self.changed_jobs.insert(task.job.clone());
            }
        }
    }

    /// Finds the suspects of the end of a worker's life, before its runs are ended; `None` if there
    /// are none.
    pub(super) fn assess_crash(
        &mut self,
        id: &WorkerId,
        cause: LifeEnd,
        now: Instant,
    ) -> Option<CrashReport> {
        let worker = self.workers.get(id)?;
        worker.life?;
        let pool = worker.entry.pool.clone();
        let runs = worker.runs.values();
        let accepted = runs.filter(|run| StartEvidence::of(run, cause) == StartEvidence::Accepted);
        let crash = CrashRecord {
            alive_at: accepted.filter_map(|run| run.unconfirmed_since).max(),
            ..CrashRecord::new(worker, worker.lost_since.unwrap_or(now))
        };
        let excuse = self.plan_of(worker).or_else(|| {
            self.has_common_cause(&crash)
                .then_some(CrashExcuse::CommonCause)
        });
        let unconfirmed = worker.runs.iter();
        let unconfirmed = unconfirmed.filter_map(|(task, run)| {
            Some(CrashSuspect {
                task: task.clone(),
                run: run.run,
                evidence: StartEvidence::of(run, cause),
                unconfirmed: now.saturating_duration_since(run.unconfirmed_since?),
            })
        });
        let suspects: Vec<CrashSuspect> = unconfirmed.collect();
        let isolated = !self
            .losses_related_to(&crash)
            .any(|other| crash.may_share_cause(&other));
        let planned = !matches!(excuse, None | Some(CrashExcuse::CommonCause));
        // An idle worker is not polled, so it may have been lost long before.
        let polled = worker.runs.values().any(|run| run.reported);
        let dated = polled || worker.lost_since.is_some() || crash.has_suspects;
        if dated && !planned {
            self.crashes.record(crash, now);
        }
        if !suspects.is_empty() && excuse.is_none() {
            self.crashes.watch(&pool, now);
        }
        (!suspects.is_empty()).then(|| CrashReport {
            worker: id.clone(),
            cause,
            suspects,
            excuse,
            isolated,
        })
    }

    /// Returns why the end of a worker's life was to be expected.
    fn plan_of(&self, worker: &WorkerRecord) -> Option<CrashExcuse> {
        // A request to drain ends no life, and the machine controller chooses idle workers for it, such
        // as one that was lost a moment ago.
        if worker.announced_drain {
            Some(CrashExcuse::Drain)
        } else if worker.machine_ordered {
            Some(CrashExcuse::MachineOrder)
        } else if self.is_evacuated(&worker.entry.zone) {
            Some(CrashExcuse::Evacuation)
        } else {
            None
        }
    }

    /// Returns whether a worker without suspects was lost at the same time as another one.
    fn has_common_cause(&self, crash: &CrashRecord) -> bool {
        let mut others = self.losses_related_to(crash);
        others.any(|other| !other.has_suspects)
    }

    /// Returns the losses at the same time as another one, of lives that have ended and of workers
    /// that do not answer.
    fn losses_related_to(&self, crash: &CrashRecord) -> impl Iterator<Item = CrashRecord> {
        let silent = self.workers.values().filter(|worker| {
            let gone = worker.machine_down || worker.missed_polls > 1;
            gone && worker.life.is_some() && self.plan_of(worker).is_none()
        });
        let silent = silent.filter_map(|worker| Some(CrashRecord::new(worker, worker.lost_since?)));
        let losses = self.crashes.crashes.iter().cloned().chain(silent);
        losses.filter(|other| crash.is_related(other))
    }

    /// Counts a crash against its suspects, and gives up the tasks that have caused too many.
    pub(super) fn record_crash(&mut self, crash: &CrashReport, now: Instant) {
        log_crash(crash);
        for suspect in &crash.suspects {
            let task = &suspect.task;
            let excused = crash.excuse.is_some() || !suspect.evidence.is_certain();
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let position = position_of(task);
            let Some(tally) = job.state.record_crash(position, suspect.run, excused) else {
                continue;
            };
            self.store_queue.mark_changed(&task.job);
            self.changed_jobs.insert(task.job.clone());
            let crashes = tally.count;
            let proven = !excused && crashes >= PROVEN_CRASHES && crash.is_certain(suspect);
            let losses = crashes + tally.excused;
            if !proven && crashes < MAX_CRASHES && losses < MAX_LOSSES {
                continue;
            }
            if job.state.give_up(&job.submission.spec) {
                metrics::counter!("pw_crashing_tasks_total").increment(1);
                let event = EventCode::TaskCrashing.number();
                let (run, worker) = (suspect.run, &*crash.worker);
                tracing::error!(
                    event, %task, run, worker, crashes, losses, proven,
                    "job fails as its task crashes workers"
                );
                self.stop_job(&task.job, now);
            }
        }
    }
}

/// Logs the suspects of a crash.
fn log_crash(crash: &CrashReport) {
    let excuse = crash.excuse.map(|excuse| excuse.to_string());
    let excuse = excuse.as_deref().unwrap_or("none");
    metrics::counter!("pw_worker_crashes_total", "excuse" => excuse.to_owned()).increment(1);
    let (worker, cause, suspects) = (&*crash.worker, crash.cause, crash.suspects.len());
    for suspect in &crash.suspects {
        let event = EventCode::RunSuspected.number();
        let (task, run, start) = (&suspect.task, suspect.run, suspect.evidence);
        let unconfirmed_ms = suspect.unconfirmed.as_millis() as u64;
        tracing::warn!(
            event, %task, run, worker, %cause, %start, unconfirmed_ms, suspects, excuse,
            "worker crashed before the run was confirmed"
        );
    }
}

fn position_of(task: &TaskName) -> TaskPosition {
    (task.occurrence, task.step, task.index)
}
