//! The decision object that accepts, places and closes tasks.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;
use pw_team::prelude::*;
use pw_worker::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::{AdmissionRules, AdmittedTask};
use crate::backlog::WaitReason;
use crate::history::QueueHistory;
use crate::lingering::LingeringPermits;
use crate::message::{
    DeskNotice, DispatchCommand, DispatchEvent, PoolService, RefusalReason, RunCertainty,
    RunReport, ShareReport, TaskRequest, TaskVerdict,
};
use crate::pool_desk::{LeadSettings, PoolDesk};
use crate::retry::{RetryBudget, RetrySettings};
use crate::task::{OpenTask, TaskPhase, TaskRun, TaskTable};
use crate::timer::TimerHeap;

/// Part of a queue's deadline that is kept as slack when a deferred task is put off.
const DEFERRED_SLACK: u32 = 4;

/// Factor by which an expected wait has to be too long; waits shorten as other teams finish.
const WAIT_MARGIN: f64 = 1.15;

/// Bytes that a team's part of a report takes, about.
const TEAM_SHARE_BYTES: f64 = 24.0;

/// Bounds of a dispatch desk.
#[derive(Debug, Clone)]
pub struct DeskSettings {
    /// Name of the entry instance.
    pub entry: EntryId,
    /// Availability zone of the entry instance.
    pub home: ZoneId,
    /// Tasks that may wait at the same time.
    pub max_waiting: usize,
    /// Tasks of a team that may wait for a pool whatever their expected wait.
    pub min_waiting: u32,
    /// Longest time that the start of a task may be under way to its worker.
    pub delivery_bound: Duration,
    /// Shortest time between two reports to the peers while tasks wait.
    pub report_interval: Duration,
    /// Bytes per second that the reports to all peers may take; more entries make them rarer.
    pub report_budget: f64,
    /// When failed tasks are tried again.
    pub retry: RetrySettings,
    /// How service is measured against shares.
    pub share: ShareSettings,
    /// How a full pool is shared with the other entry instances.
    pub lead: LeadSettings,
    /// How workers are judged.
    pub table: TableSettings,
    /// Seed of the random generators.
    pub seed: u64,
}

/// Accepts tasks, places them on workers and closes them.
pub struct DispatchDesk {
    pub(crate) settings: DeskSettings,
    fold: FleetFold,
    revision: FleetRevision,
    pub(crate) rules: AdmissionRules,
    pub(crate) shares: Vec<(TeamId, u32)>,
    pub(crate) pools: IndexMap<PoolId, PoolDesk>,
    pub(crate) workers: WorkerTable,
    pub(crate) tasks: TaskTable,
    pub(crate) histories: IndexMap<QueueId, QueueHistory>,
    pub(crate) picker: Box<dyn WorkerPicker>,
    pub(crate) gate: Box<dyn PermitGate>,
    pub(crate) permit_waits: IndexMap<TeamId, IndexSet<PoolId>>,
    pub(crate) touched: IndexSet<PoolId>,
    pub(crate) pool_pauses: TimerHeap<PoolId>,
    pub(crate) budget: RetryBudget,
    demand: IndexMap<TeamId, u32>,
    lingering: LingeringPermits,
    deadlines: TimerHeap<TaskId>,
    pauses: TimerHeap<TaskId>,
    next_report: Option<Instant>,
    is_stopping: bool,
    random: SmallRng,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            entry: EntryId::from("entry"),
            home: ZoneId::from(""),
            max_waiting: 10_000,
            min_waiting: 8,
            delivery_bound: Duration::from_secs(5),
            report_interval: Duration::from_millis(500),
            report_budget: 3072.0,
            retry: RetrySettings::default(),
            share: ShareSettings::default(),
            lead: LeadSettings::default(),
            table: TableSettings::default(),
            seed: 1,
        }
    }
}

impl DispatchDesk {
    /// Creates a desk that knows no fleet yet; `gate` keeps the teams' upper limits.
    pub fn new(settings: DeskSettings, gate: Box<dyn PermitGate>) -> Self {
        let picker = TwoChoices::new(TwoChoicesSettings {
            home: settings.home.clone(),
            seed: settings.seed,
            ..TwoChoicesSettings::default()
        });
        Self::with_picker(settings, gate, Box::new(picker))
    }

    /// Creates a desk whose workers are chosen by `picker`.
    pub fn with_picker(
        settings: DeskSettings,
        gate: Box<dyn PermitGate>,
        picker: Box<dyn WorkerPicker>,
    ) -> Self {
        Self {
            fold: FleetFold::default(),
            revision: 0,
            rules: AdmissionRules::default(),
            shares: Vec::new(),
            pools: IndexMap::new(),
            workers: WorkerTable::new(settings.table.clone()),
            tasks: TaskTable::default(),
            histories: IndexMap::new(),
            picker,
            gate,
            permit_waits: IndexMap::new(),
            touched: IndexSet::new(),
            pool_pauses: TimerHeap::default(),
            budget: RetryBudget::new(settings.retry),
            demand: IndexMap::new(),
            lingering: LingeringPermits::new(settings.delivery_bound),
            deadlines: TimerHeap::default(),
            pauses: TimerHeap::default(),
            next_report: None,
            is_stopping: false,
            random: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent) -> Vec<DispatchCommand> {
        let mut commands = Vec::new();
        self.pass_time(now, &mut commands);
        match event {
            DispatchEvent::LogRead(reading) => self.read_log(now, &reading, &mut commands),
            DispatchEvent::InstancesListed(list) => {
                self.workers.set_instances(now, list);
                self.touch_all();
            }
            DispatchEvent::UsageReported(reports) => self.note_usage(reports),
            DispatchEvent::SharesHeard(report) => self.hear_shares(now, report),
            DispatchEvent::TaskSubmitted(request) => {
                let id = request.id;
                if let Err(reason) = self.submit(now, request) {
                    commands.push(refuse(id, reason, RunCertainty::NotRun));
                }
            }
            DispatchEvent::TaskAbandoned(id) if self.tasks.is_running(id) => {
                self.tasks.cancel(id);
                commands.push(DispatchCommand::StopTask(id));
            }
            DispatchEvent::TaskAbandoned(id) => {
                self.close_waiting(now, id, RefusalReason::Cancelled, &mut commands);
            }
            DispatchEvent::TaskEnded { task, report } => {
                self.end(now, task, report, &mut commands);
            }
            DispatchEvent::ShutdownBegan => self.is_stopping = true,
            DispatchEvent::TimePassed => {}
        }
        self.start_ready(now, &mut commands);
        let proposals = self.gate.proposals(now).into_iter();
        commands.extend(proposals.map(DispatchCommand::Propose));
        commands
    }

    /// Returns when the desk wants [`DispatchEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        [
            self.deadlines.next(),
            self.pauses.next(),
            self.pool_pauses.next(),
            self.lingering.next_deadline(),
            self.workers.next_deadline(),
            self.next_report,
            self.gate.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the revision of the configuration in force; 0 before the first one.
    pub fn revision(&self) -> FleetRevision {
        self.revision
    }

    /// Returns the gate that keeps the upper limits.
    pub fn permit_gate(&self) -> &dyn PermitGate {
        &*self.gate
    }

    /// Returns the team of a key; `None` when the key is unknown or withdrawn.
    pub fn team_of(&self, key: &KeyDigest) -> Option<TeamId> {
        self.rules.team_of(key)
    }

    /// Returns whether whoever shows `key` may cancel the open task called `id`.
    ///
    /// Only the team of a task may; the identity alone is enough for a task of no team.
    pub fn may_cancel(&self, id: TaskId, key: Option<&KeyDigest>) -> bool {
        let team = key.and_then(|key| self.team_of(key));
        let task = self.tasks.get(id);
        task.is_some_and(|task| task.admitted.team.is_none() || task.admitted.team == team)
    }

    /// Returns how many tasks wait or run.
    pub fn open_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns how many tasks do not run.
    pub fn waiting_tasks(&self) -> usize {
        self.tasks.waiting()
    }

    /// Returns why a task does not start; `None` when it runs or is not open.
    pub fn explain(&self, id: TaskId) -> Option<WaitReason> {
        let task = self.tasks.get(id)?;
        match task.phase {
            TaskPhase::Running(_) => None,
            TaskPhase::Pausing => Some(WaitReason::Retry),
            TaskPhase::Waiting => Some(self.explain_waiting(task)),
        }
    }

    /// Returns how many tasks do not start, by reason.
    pub fn explain_all(&self) -> IndexMap<WaitReason, usize> {
        let mut reasons = IndexMap::new();
        for (id, _) in self.tasks.not_running() {
            if let Some(reason) = self.explain(id) {
                *reasons.entry(reason).or_default() += 1;
            }
        }
        reasons
    }

    fn explain_waiting(&self, task: &OpenTask) -> WaitReason {
        let AdmittedTask { queue, team } = &task.admitted;
        let held = self.pools.get(&queue.pool);
        if let Some(reason) = held.and_then(|pool| pool.backlog.held(team)) {
            return reason;
        }
        if held.is_some_and(PoolDesk::yields) {
            return WaitReason::Share;
        }
        match self.workers.roster(&queue.pool) {
            Some(roster) if roster.slots() > 0 && roster.open(SlotTier::Known).count() == 0 => {
                WaitReason::Slots
            }
            Some(roster) if roster.slots() > 0 && queue.kind == QueueKind::Deferred => {
                WaitReason::Reserve
            }
            Some(roster) if roster.slots() > 0 => WaitReason::Turn,
            _ => WaitReason::Zone,
        }
    }

    fn pass_time(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        while let Some(id) = self.deadlines.pop_due(now) {
            self.close_waiting(now, id, RefusalReason::DeadlinePassed, commands);
        }
        while let Some(id) = self.pauses.pop_due(now) {
            if self.tasks.resume(id) {
                self.enqueue(now, id, true);
            }
        }
        while let Some(permit) = self.lingering.take_ended(now) {
            self.give_back(now, permit);
        }
        while let Some(pool) = self.pool_pauses.pop_due(now) {
            if let Some(desk) = self.pools.get_mut(&pool) {
                desk.end_pause();
                self.touched.insert(pool);
            }
        }
        self.touched.extend(self.workers.wake(now));
        if self.gate.next_deadline().is_some_and(|at| at <= now) {
            self.release_permit_holds();
        }
        self.tell_peers(now, commands);
    }

    fn read_log(
        &mut self,
        now: Instant,
        reading: &LogReading,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let since = self.fold.state().next_offset;
        self.fold.read(reading);
        let asked = self.fold.freshness(reading);
        let (permits, members) = (self.fold.permits(), self.fold.members());
        self.gate.observe(now, asked, permits, members);
        let state = self.fold.state();
        let is_new = self.revision < state.revision;
        if let Some(spec) = state.spec.clone()
            && is_new
        {
            self.revision = state.revision;
            self.set_fleet(now, &spec, commands);
        }
        let is_whole = is_new || reading.image.is_some();
        self.follow_pools(now, if is_whole { 0 } else { since });
        // Fresh knowledge may allow permits even when nothing was appended.
        self.release_permit_holds();
    }

    /// Takes the places of the workers whose instances have changed since the offset `since`.
    fn follow_pools(&mut self, now: Instant, since: LogOffset) {
        let pools = self.fold.pools();
        let changed = pools
            .instances()
            .filter(|instance| instance.changed >= since);
        for instance in changed {
            let seat = PoolSeat {
                pool: instance.pool.clone(),
                may_start: pools.may_start(&instance.worker),
            };
            if self.workers.set_seat(now, &instance.worker, seat) {
                self.touched.insert(instance.pool.clone());
            }
        }
    }

    fn set_fleet(&mut self, now: Instant, spec: &FleetSpec, commands: &mut Vec<DispatchCommand>) {
        self.rules = AdmissionRules::new(spec);
        self.gate.set_teams(&spec.teams);
        self.workers.set_fleet(now, spec);
        let teams = spec.teams.iter();
        self.shares = teams.map(|team| (team.id.clone(), team.share)).collect();
        let shares = &self.shares;
        for (id, pool) in &mut self.pools {
            let named = shares.iter().map(|(team, share)| (team, *share));
            pool.shares.set_shares(named);
            pool.has_callers = has_callers(spec, id);
        }
        for pool in &spec.pools {
            if !self.pools.contains_key(&pool.id) {
                let mut book = ShareBook::new(self.settings.share.clone());
                book.set_shares(shares.iter().map(|(team, share)| (team, *share)));
                let mut desk = PoolDesk::new(book);
                desk.has_callers = has_callers(spec, &pool.id);
                self.pools.insert(pool.id.clone(), desk);
            }
        }
        self.readmit(now, commands);
        self.touch_all();
    }

    /// Applies the rules in force to the tasks that do not run.
    fn readmit(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        let changed: Vec<(TaskId, Result<AdmittedTask, RefusalReason>)> = self
            .tasks
            .not_running()
            .map(|(id, task)| (id, self.rules.admit(&task.request), &task.admitted))
            .filter(|(_, admitted, known)| {
                !matches!(admitted, Ok(new) if new.team == known.team && new.queue == known.queue)
            })
            .map(|(id, admitted, _)| (id, admitted))
            .collect();
        for (id, admitted) in changed {
            match admitted {
                Err(reason) => self.close_waiting(now, id, reason, commands),
                Ok(admitted) => self.move_waiting(now, id, admitted),
            }
        }
    }

    /// Moves a task that does not run to another team, queue or pool.
    fn move_waiting(&mut self, now: Instant, id: TaskId, admitted: AdmittedTask) {
        let is_pausing = !self.tasks.is_waiting(id);
        let Some(mut task) = self.remove_waiting(now, id) else {
            return;
        };
        task.admitted = admitted;
        self.tasks.insert(task);
        if is_pausing {
            self.tasks.pause(id);
        } else {
            self.enqueue(now, id, false);
        }
    }

    fn note_usage(&mut self, reports: Vec<WorkerUsage>) {
        for report in reports {
            for usage in &report.tasks {
                if let Some(task) = self.tasks.get(usage.task) {
                    let queue = task.request.queue.clone();
                    let history = self.histories.entry(queue).or_default();
                    history.note_size(&usage.used);
                }
            }
            if let Some(pool) = self.workers.pool_of(&report.worker).cloned() {
                self.release_resource_holds(&pool);
                self.touched.insert(pool);
            }
            self.workers.set_usage(report);
        }
    }

    fn hear_shares(&mut self, now: Instant, report: ShareReport) {
        if report.entry == self.settings.entry {
            return;
        }
        for service in report.pools {
            let Some(pool) = self.pools.get_mut(&service.pool) else {
                continue;
            };
            let teams = service.teams.into_iter().map(|share| {
                let service = TeamService {
                    served: share.served,
                    raised: share.raised,
                    running: share.running,
                    waiting: share.waiting,
                    ..TeamService::default()
                };
                (share.team, service)
            });
            pool.shares.hear(now, &report.entry, teams);
            self.touched.insert(service.pool);
        }
        self.next_report.get_or_insert(now);
    }

    fn tell_peers(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        if self.next_report.is_none_or(|at| now < at) {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.shares.forget_silent(now);
        }
        let pools: Vec<_> = self
            .pools
            .iter()
            .filter_map(|(id, pool)| pool.report(now, id))
            .collect();
        if pools.is_empty() {
            self.next_report = None;
            return;
        }
        self.next_report = Some(now + self.report_interval(&pools));
        let entry = self.settings.entry.clone();
        commands.push(DispatchCommand::TellPeers(ShareReport { entry, pools }));
    }

    /// Returns the time until the next report, such that the reports stay in their budget.
    fn report_interval(&self, pools: &[PoolService]) -> Duration {
        let teams: usize = pools.iter().map(|pool| pool.teams.len()).sum();
        let peers = self.pools.values().map(|pool| pool.shares.peers()).max();
        let bytes = teams as f64 * TEAM_SHARE_BYTES * peers.unwrap_or(0) as f64;
        let needed = Duration::from_secs_f64(bytes / self.settings.report_budget);
        self.settings.report_interval.max(needed)
    }

    fn submit(&mut self, now: Instant, request: TaskRequest) -> Result<(), RefusalReason> {
        let id = request.id;
        if self.tasks.get(id).is_some() {
            return Ok(());
        }
        if self.is_stopping {
            return Err(RefusalReason::ShuttingDown);
        }
        if self.revision == 0 {
            return Err(RefusalReason::NotReady);
        }
        let admitted = self.rules.admit(&request)?;
        let latest = now + admitted.queue.deadline;
        let deadline = request.deadline.map_or(latest, |asked| asked.min(latest));
        self.check_room(now, &request, &admitted, deadline)?;
        self.tasks.insert(OpenTask {
            request,
            admitted,
            accepted: now,
            deadline,
            failures: 0,
            is_cancelled: false,
            may_have_run: false,
            avoid: None,
            phase: TaskPhase::Waiting,
        });
        self.deadlines.push(deadline, id);
        let tasks = &self.tasks;
        self.deadlines
            .compact(tasks.waiting(), |id| tasks.is_not_running(*id));
        self.enqueue(now, id, false);
        Ok(())
    }

    /// Checks that the task can be expected to start before its deadline.
    fn check_room(
        &self,
        now: Instant,
        request: &TaskRequest,
        admitted: &AdmittedTask,
        deadline: Instant,
    ) -> Result<(), RefusalReason> {
        let AdmittedTask { queue, team } = admitted;
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        let roster = self.workers.roster(&queue.pool);
        let size = self.expected_size(request, queue);
        if roster.is_some_and(|roster| !roster.could_run(&size)) {
            return Err(RefusalReason::Unplaceable);
        }
        let room = self
            .settings
            .max_waiting
            .saturating_sub(self.tasks.waiting());
        let pool = self.pools.get(&queue.pool);
        let waiting = pool.map_or(0, |pool| pool.backlog.waiting_of(team));
        // A team may fill as much of the backlog as it leaves free, so that none fills it all.
        if waiting as usize >= room {
            return Err(RefusalReason::Overloaded);
        }
        if queue.kind == QueueKind::Interactive && waiting >= self.settings.min_waiting {
            let history = self.histories.get(&queue.id);
            let run = history.map_or(Duration::ZERO, QueueHistory::usual_run);
            let slots = roster.map_or(0, PoolRoster::slots);
            let wait = pool.map_or(Duration::ZERO, |pool| pool.expected_wait(team, slots, run));
            if wait.div_f64(WAIT_MARGIN).saturating_add(run) > deadline - now {
                return Err(RefusalReason::Overloaded);
            }
        }
        Ok(())
    }

    /// Puts a task that waits into the backlog of its pool.
    pub(crate) fn enqueue(&mut self, now: Instant, id: TaskId, is_retry: bool) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let AdmittedTask { queue, team } = task.admitted.clone();
        let slack = queue.run_timeout + queue.deadline / DEFERRED_SLACK;
        let latest_start = task.deadline.checked_sub(slack).unwrap_or(task.accepted);
        let pool = self.pools.entry(queue.pool.clone()).or_default();
        pool.backlog
            .push(&team, id, queue.kind, latest_start, is_retry);
        pool.note_waiting(now, &team);
        self.touched.insert(queue.pool.clone());
        self.change_demand(now, &team, true);
        self.next_report
            .get_or_insert(now + self.settings.report_interval);
    }

    pub(crate) fn change_demand(&mut self, now: Instant, team: &ShareTeam, is_more: bool) {
        let Some(team) = team else {
            return;
        };
        let demand = self.demand.entry(team.clone()).or_default();
        *demand = if is_more {
            *demand + 1
        } else {
            demand.saturating_sub(1)
        };
        self.gate.set_demand(now, team, *demand);
    }

    /// Takes a task that does not run out of the desk.
    fn remove_waiting(&mut self, now: Instant, id: TaskId) -> Option<OpenTask> {
        let was_queued = self.tasks.is_waiting(id);
        let task = self.tasks.remove_waiting(id)?;
        let AdmittedTask { queue, team } = &task.admitted;
        if was_queued && let Some(pool) = self.pools.get_mut(&queue.pool) {
            pool.backlog.forget(team, &self.tasks);
            pool.note_waiting(now, team);
            self.change_demand(now, team, false);
        }
        Some(task)
    }

    pub(crate) fn close_waiting(
        &mut self,
        now: Instant,
        id: TaskId,
        reason: RefusalReason,
        commands: &mut Vec<DispatchCommand>,
    ) {
        if let Some(task) = self.remove_waiting(now, id) {
            commands.push(refuse(id, reason, task.certainty()));
        }
    }

    fn end(
        &mut self,
        now: Instant,
        id: TaskId,
        report: RunReport,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let Some((mut task, run)) = self.tasks.finish(id) else {
            return;
        };
        self.settle_run(now, id, &task, &run, report, commands);
        task.may_have_run |= matches!(report, RunReport::Failed | RunReport::Unknown);
        match report {
            RunReport::Answered => commands.push(DispatchCommand::CloseTask {
                task: id,
                verdict: TaskVerdict::Answered,
            }),
            RunReport::Busy | RunReport::NotRun if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, task.certainty()));
            }
            RunReport::Failed if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, RunCertainty::Ran));
            }
            RunReport::Unknown if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, RunCertainty::Unknown));
            }
            RunReport::Busy => {
                task.avoid = Some(run.worker);
                self.tasks.insert(task);
                self.enqueue(now, id, true);
            }
            RunReport::Failed if !task.admitted.queue.idempotent => {
                commands.push(refuse(id, RefusalReason::BackendFailed, RunCertainty::Ran));
            }
            RunReport::Unknown if !task.admitted.queue.idempotent => {
                commands.push(refuse(id, RefusalReason::BackendFailed, task.certainty()));
            }
            RunReport::NotRun | RunReport::Failed | RunReport::Unknown => {
                task.avoid = Some(run.worker);
                self.retry(now, task, commands);
            }
        }
    }

    /// Gives back what the run held, and notes what it says about its worker and queue.
    fn settle_run(
        &mut self,
        now: Instant,
        id: TaskId,
        task: &OpenTask,
        run: &TaskRun,
        report: RunReport,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let AdmittedTask { queue, team } = &task.admitted;
        let length = now.saturating_duration_since(run.started);
        let history = self.histories.entry(queue.id.clone()).or_default();
        let outcome = match report {
            RunReport::Answered => RunOutcome::Done {
                pace: history.pace(length),
            },
            RunReport::Busy => RunOutcome::Busy,
            _ if task.is_cancelled => RunOutcome::Neutral,
            RunReport::Unknown if now >= run.lease_end => RunOutcome::Neutral,
            RunReport::NotRun | RunReport::Failed | RunReport::Unknown => RunOutcome::Failed,
        };
        if report == RunReport::Answered {
            history.note_run(length);
        }
        if self
            .workers
            .release_slot(now, &run.worker, &run.size, outcome)
        {
            let notice = DeskNotice::WorkerEjected(run.worker.clone());
            commands.push(DispatchCommand::Note(notice));
        }
        if let Some(permit) = run.permit.clone() {
            match report {
                RunReport::Unknown => self.lingering.keep(id, permit, run.lease_end),
                _ => self.give_back(now, permit),
            }
        }
        let is_deferred = queue.kind == QueueKind::Deferred;
        if let Some(pool) = self.pools.get_mut(&queue.pool) {
            pool.note_end(now, team, is_deferred, report);
            self.touched.insert(queue.pool.clone());
        }
        self.release_slot_holds(&queue.pool, &run.worker);
    }

    fn retry(&mut self, now: Instant, mut task: OpenTask, commands: &mut Vec<DispatchCommand>) {
        let id = task.request.id;
        task.failures += 1;
        let pause = self.budget.pause(task.failures, &mut self.random);
        let at = now + pause;
        let is_spent = task.failures >= self.settings.retry.max_failures;
        let notice = if is_spent {
            Some(DeskNotice::TaskGivenUp(id))
        } else if at >= task.deadline {
            None
        } else if !self.budget.take(now) {
            Some(DeskNotice::RetryRefused(id))
        } else {
            self.tasks.insert(task);
            self.tasks.pause(id);
            self.pauses.push(at, id);
            return;
        };
        commands.extend(notice.map(DispatchCommand::Note));
        commands.push(refuse(id, RefusalReason::BackendFailed, task.certainty()));
    }

    fn give_back(&mut self, now: Instant, permit: TaskPermit) {
        let team = permit.team.clone();
        self.gate.give_back(now, permit);
        for pool in self.permit_waits.swap_remove(&team).unwrap_or_default() {
            if let Some(desk) = self.pools.get_mut(&pool) {
                let team = Some(team.clone());
                desk.backlog.release(&team, WaitReason::Permit);
                desk.backlog.release(&team, WaitReason::RemotePermit);
                desk.note_waiting(now, &team);
            }
            self.touched.insert(pool);
        }
    }

    /// Lets every team that waits for permits ask again.
    fn release_permit_holds(&mut self) {
        let is_over = |reason| matches!(reason, WaitReason::Permit | WaitReason::RemotePermit);
        for (_, pools) in self.permit_waits.drain(..) {
            for pool in pools {
                if let Some(desk) = self.pools.get_mut(&pool) {
                    desk.backlog.release_where(is_over);
                }
                self.touched.insert(pool);
            }
        }
    }

    fn release_resource_holds(&mut self, pool: &PoolId) {
        if let Some(desk) = self.pools.get_mut(pool) {
            let is_over = |reason| reason == WaitReason::Resources;
            desk.backlog.release_where(is_over);
        }
    }

    /// Releases the holds that a slot freed on `worker` may end.
    fn release_slot_holds(&mut self, pool: &PoolId, worker: &WorkerId) {
        let worker = self.workers.worker(worker);
        let is_home = worker.is_some_and(|worker| worker.spec().zone == self.settings.home);
        if let Some(desk) = self.pools.get_mut(pool) {
            desk.backlog.release_where(|reason| match reason {
                WaitReason::Resources => true,
                WaitReason::RemotePermit => is_home,
                _ => false,
            });
        }
    }

    fn touch_all(&mut self) {
        for (id, pool) in &mut self.pools {
            let is_over =
                |reason| matches!(reason, WaitReason::Resources | WaitReason::RemotePermit);
            pool.backlog.release_where(is_over);
            if pool.backlog.waiting() > 0 {
                self.touched.insert(id.clone());
            }
        }
    }
}

fn has_callers(spec: &FleetSpec, pool: &PoolId) -> bool {
    let queues = spec.queues.iter();
    queues
        .filter(|queue| queue.pool == *pool)
        .any(|queue| queue.kind == QueueKind::Interactive)
}

fn refuse(task: TaskId, reason: RefusalReason, certainty: RunCertainty) -> DispatchCommand {
    DispatchCommand::CloseTask {
        task,
        verdict: TaskVerdict::Refused { reason, certainty },
    }
}
