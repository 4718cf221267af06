//! Crashes of workers, and the runs that may have caused them.
//!
//! A run is a suspect until its worker answers a poll that was sent some time after the start.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_job::prelude::*;
use strum::Display;

use super::ShardController;
use crate::message::{ActiveRun, PollOrder};
use crate::worker::{LifeEnd, RunPhase, RunRecord, WorkerRecord};

/// Time after its start at which a run has not crashed its worker and no longer will.
const SURVIVAL_TIME: Duration = Duration::from_millis(250);
/// Workers that are lost within this time of each other may have a common cause, such as the power
/// of their rack. Polls and lists of machines show the losses up to about a second apart.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(1);

/// Lives that have ended without a plan within the last [`COMMON_CAUSE_WINDOW`].
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    crashes: VecDeque<CrashRecord>,
}

/// The end of a worker's life that was not planned.
#[derive(Debug)]
struct CrashRecord {
    worker: WorkerId,
    pool: PoolId,
    zone: ZoneId,
    lost_at: Instant,
    has_suspects: bool,
}

/// Why no run is blamed for the end of a worker's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum CrashExcuse {
    /// The worker was draining.
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
    /// The worker accepted it.
    Accepted,
    /// The worker may have crashed before it.
    Unanswered,
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
}

impl StartEvidence {
    fn of(run: &RunRecord) -> Self {
        match run.phase {
            RunPhase::Inherited => Self::Inherited,
            RunPhase::Running => Self::Accepted,
            _ => Self::Unanswered,
        }
    }
}

impl CrashRecord {
    fn new(worker: &WorkerRecord, lost_at: Instant) -> Self {
        Self {
            worker: worker.entry.id.clone(),
            pool: worker.entry.pool.clone(),
            zone: worker.entry.zone.clone(),
            lost_at,
            has_suspects: worker.has_suspects(),
        }
    }

    /// Returns whether both losses may have the same cause.
    fn is_related(&self, other: &Self) -> bool {
        let apart = self.lost_at.max(other.lost_at) - self.lost_at.min(other.lost_at);
        self.worker != other.worker
            && apart <= COMMON_CAUSE_WINDOW
            && (self.pool == other.pool || self.zone == other.zone)
    }
}

impl CrashHistory {
    fn record(&mut self, crash: CrashRecord, now: Instant) {
        self.crashes
            .retain(|crash| now < crash.lost_at + 2 * COMMON_CAUSE_WINDOW);
        self.crashes.push_back(crash);
    }
}

impl ShardController {
    /// Clears a run of suspicion if its worker has survived the start.
    pub(super) fn confirm_survival(&mut self, order: &PollOrder, active: &ActiveRun) {
        let worker = self.workers.get_mut(&order.worker);
        let run = worker.and_then(|worker| worker.runs.get_mut(&active.task));
        if let Some(run) = run
            && run.run == active.run
            && run
                .unconfirmed_since
                .is_some_and(|since| order.sent_at >= since + SURVIVAL_TIME)
        {
            run.unconfirmed_since = None;
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
        let crash = CrashRecord::new(worker, worker.lost_since.unwrap_or(now));
        let excuse = self.plan_of(worker).or_else(|| {
            self.has_common_cause(&crash)
                .then_some(CrashExcuse::CommonCause)
        });
        let unconfirmed = worker.runs.iter();
        let unconfirmed = unconfirmed.filter_map(|(task, run)| {
            Some(CrashSuspect {
                task: task.clone(),
                run: run.run,
                evidence: StartEvidence::of(run),
                unconfirmed: now.saturating_duration_since(run.unconfirmed_since?),
            })
        });
        let suspects: Vec<CrashSuspect> = unconfirmed.collect();
        if matches!(excuse, None | Some(CrashExcuse::CommonCause)) {
            self.crashes.record(crash, now);
        }
        (!suspects.is_empty()).then(|| CrashReport {
            worker: id.clone(),
            cause,
            suspects,
            excuse,
        })
    }

    /// Returns why the end of a worker's life was to be expected.
    fn plan_of(&self, worker: &WorkerRecord) -> Option<CrashExcuse> {
        if worker.announced_drain || worker.drain_since.is_some() {
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
        let mut ended = self.crashes.crashes.iter();
        let mut lost = self.workers.values().filter(|worker| {
            let gone = worker.machine_down || worker.missed_polls > 1;
            gone && worker.life.is_some() && self.plan_of(worker).is_none()
        });
        ended.any(|other| !other.has_suspects && crash.is_related(other))
            || lost.any(|worker| {
                let record = worker.lost_since.map(|at| CrashRecord::new(worker, at));
                record.is_some_and(|other| !other.has_suspects && crash.is_related(&other))
            })
    }

    /// Logs the suspects of a crash.
    pub(super) fn record_crash(&mut self, crash: CrashReport) {
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
}
