//! The decision object that accepts, places and closes tasks.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_pool::prelude::*;
use pw_team::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

use crate::message::{
    DispatchCommand, DispatchEvent, RefusalReason, RunCertainty, RunReport, TaskRequest, TaskStart,
    TaskVerdict,
};

/// Bounds of a dispatch desk.
#[derive(Debug, Clone)]
pub struct DeskSettings {
    /// Tasks that may wait at the same time.
    pub max_waiting: usize,
    /// Starts of one task before it is given up; only certain failures are tried again.
    pub max_starts: u32,
}

/// Accepts tasks, places them on workers and closes them.
#[derive(Debug)]
pub struct DispatchDesk {
    settings: DeskSettings,
    fold: FleetFold,
    fleet: Option<FleetView>,
    instances: IndexMap<WorkerId, InstanceEntry>,
    tasks: IndexMap<TaskId, TaskState>,
    waiting: VecDeque<TaskId>,
    running: IndexMap<WorkerId, u32>,
}

#[derive(Debug)]
struct FleetView {
    revision: FleetRevision,
    spec: Arc<FleetSpec>,
    key_teams: IndexMap<KeyDigest, TeamId>,
}

#[derive(Debug)]
struct TaskState {
    request: TaskRequest,
    deadline: Instant,
    starts: u32,
    worker: Option<WorkerId>,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            max_waiting: 10_000,
            max_starts: 3,
        }
    }
}

impl FleetView {
    fn new(revision: FleetRevision, spec: Arc<FleetSpec>) -> Self {
        let key_teams = spec
            .teams
            .iter()
            .flat_map(|team| {
                team.keys
                    .iter()
                    .map(|key| (key.sha256, Arc::clone(&team.id)))
            })
            .collect();
        Self {
            revision,
            spec,
            key_teams,
        }
    }

    /// Returns the queue when the task may use it.
    fn admit(&self, request: &TaskRequest) -> Result<&QueueSpec, RefusalReason> {
        let queue = self
            .spec
            .queue(&request.queue)
            .ok_or(RefusalReason::UnknownQueue)?;
        let known = |key: &KeyDigest| self.key_teams.contains_key(key);
        if queue.open || request.key.as_ref().is_some_and(known) {
            Ok(queue)
        } else {
            Err(RefusalReason::KeyRejected)
        }
    }
}

impl DispatchDesk {
    /// Creates a desk that knows no fleet yet.
    pub fn new(settings: DeskSettings) -> Self {
        Self {
            settings,
            fold: FleetFold::default(),
            fleet: None,
            instances: IndexMap::new(),
            tasks: IndexMap::new(),
            waiting: VecDeque::new(),
            running: IndexMap::new(),
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent) -> Vec<DispatchCommand> {
        let mut commands = Vec::new();
        match event {
            DispatchEvent::LogRead(reading) => self.read_log(&reading),
            DispatchEvent::InstancesListed(list) => self.list_instances(list),
            DispatchEvent::TaskSubmitted(request) => {
                commands.extend(self.submit(now, request));
            }
            DispatchEvent::TaskAbandoned(task) => self.abandon(task),
            DispatchEvent::TaskEnded { task, report } => commands.extend(self.end(task, report)),
            DispatchEvent::TimePassed => {}
        }
        self.place_waiting(now, &mut commands);
        commands
    }

    /// Returns when the desk wants [`DispatchEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting
            .iter()
            .filter_map(|id| self.tasks.get(id))
            .map(|task| task.deadline)
            .min()
    }

    /// Returns the revision of the configuration in force; 0 before the first one.
    pub fn revision(&self) -> FleetRevision {
        self.fleet.as_ref().map_or(0, |fleet| fleet.revision)
    }

    /// Returns how many tasks wait or run.
    pub fn open_tasks(&self) -> usize {
        self.tasks.len()
    }

    fn read_log(&mut self, reading: &LogReading) {
        self.fold.read(reading);
        let state = self.fold.state();
        if self.revision() < state.revision {
            let revision = state.revision;
            self.fleet = state
                .spec
                .clone()
                .map(|spec| FleetView::new(revision, spec));
        }
    }

    fn list_instances(&mut self, list: Vec<InstanceEntry>) {
        self.instances = list
            .into_iter()
            .map(|instance| (Arc::clone(&instance.worker), instance))
            .collect();
    }

    fn submit(&mut self, now: Instant, request: TaskRequest) -> Option<DispatchCommand> {
        let id = request.id;
        if self.tasks.contains_key(&id) {
            return None;
        }
        let Some(fleet) = &self.fleet else {
            return Some(refuse(id, RefusalReason::NotReady, RunCertainty::NotRun));
        };
        let queue = match fleet.admit(&request) {
            Ok(queue) => queue,
            Err(reason) => return Some(refuse(id, reason, RunCertainty::NotRun)),
        };
        if self.waiting.len() >= self.settings.max_waiting {
            return Some(refuse(id, RefusalReason::Overloaded, RunCertainty::NotRun));
        }
        let latest = now + queue.deadline;
        let deadline = request.deadline.map_or(latest, |asked| asked.min(latest));
        let task = TaskState {
            request,
            deadline,
            starts: 0,
            worker: None,
        };
        self.tasks.insert(id, task);
        self.waiting.push_back(id);
        None
    }

    fn abandon(&mut self, id: TaskId) {
        if self
            .tasks
            .get(&id)
            .is_some_and(|task| task.worker.is_none())
        {
            self.tasks.swap_remove(&id);
        }
    }

    fn end(&mut self, id: TaskId, report: RunReport) -> Option<DispatchCommand> {
        let worker = self.tasks.get_mut(&id)?.worker.take()?;
        if let Some(running) = self.running.get_mut(&worker) {
            *running = running.saturating_sub(1);
        }
        let starts = self.tasks.get(&id)?.starts;
        if report == RunReport::NotRun && starts < self.settings.max_starts {
            self.waiting.push_front(id);
            return None;
        }
        self.tasks.swap_remove(&id);
        Some(match report {
            RunReport::Answered => DispatchCommand::CloseTask {
                task: id,
                verdict: TaskVerdict::Answered,
            },
            RunReport::NotRun => refuse(id, RefusalReason::BackendFailed, RunCertainty::NotRun),
            RunReport::Unknown => refuse(id, RefusalReason::BackendFailed, RunCertainty::Unknown),
        })
    }

    /// Starts each waiting task that has a place, and refuses those that may no longer start.
    fn place_waiting(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        for _ in 0..self.waiting.len() {
            let Some(id) = self.waiting.pop_front() else {
                return;
            };
            match self.place(now, id) {
                Placement::Gone => {}
                Placement::Refused(reason) => {
                    self.tasks.swap_remove(&id);
                    commands.push(refuse(id, reason, RunCertainty::NotRun));
                }
                Placement::Started(start) => commands.push(DispatchCommand::StartTask(start)),
                Placement::Waits => self.waiting.push_back(id),
            }
        }
    }

    fn place(&mut self, now: Instant, id: TaskId) -> Placement {
        let (Some(task), Some(fleet)) = (self.tasks.get(&id), &self.fleet) else {
            return Placement::Gone;
        };
        if task.deadline <= now {
            return Placement::Refused(RefusalReason::DeadlinePassed);
        }
        let queue = match fleet.admit(&task.request) {
            Ok(queue) => queue,
            Err(reason) => return Placement::Refused(reason),
        };
        let Some((worker, address)) = self.pick_worker(&fleet.spec, queue) else {
            return Placement::Waits;
        };
        let run_timeout = queue.run_timeout.min(task.deadline - now);
        self.start(id, worker, address, run_timeout)
    }

    fn start(
        &mut self,
        id: TaskId,
        worker: WorkerId,
        address: SocketAddr,
        run_timeout: Duration,
    ) -> Placement {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.starts += 1;
            task.worker = Some(Arc::clone(&worker));
        }
        *self.running.entry(Arc::clone(&worker)).or_default() += 1;
        Placement::Started(TaskStart {
            task: id,
            worker,
            address,
            run_timeout,
        })
    }

    /// Returns the live worker of the queue's pool with the most free slots.
    fn pick_worker(&self, spec: &FleetSpec, queue: &QueueSpec) -> Option<(WorkerId, SocketAddr)> {
        let pool = spec.pools.iter().find(|pool| pool.id == queue.pool)?;
        spec.workers
            .iter()
            .filter(|worker| pool.workers.contains(&worker.id))
            .filter(|worker| {
                let zone = spec.zone(&worker.zone);
                zone.is_some_and(|zone| zone.status == ZoneStatus::InService)
            })
            .filter_map(|worker| {
                let instance = self.instances.get(&worker.id)?;
                let running = self.running.get(&worker.id).copied().unwrap_or_default();
                let free = worker.slots.saturating_sub(running);
                let usable = instance.state == InstanceState::Live && free > 0;
                usable.then_some((free, worker, instance.address))
            })
            .max_by_key(|(free, ..)| *free)
            .map(|(_, worker, address)| (Arc::clone(&worker.id), address))
    }
}

enum Placement {
    Gone,
    Refused(RefusalReason),
    Started(TaskStart),
    Waits,
}

fn refuse(task: TaskId, reason: RefusalReason, certainty: RunCertainty) -> DispatchCommand {
    DispatchCommand::CloseTask {
        task,
        verdict: TaskVerdict::Refused { reason, certainty },
    }
}
