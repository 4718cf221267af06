//! Simulation of several schedulers in virtual time, with fake workers, log and peer links.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::demand::DemandStream;
use crate::fleet::FleetShape;
use crate::meter::{ServiceMeter, ServiceSample, WINDOW};

/// Interval between samples.
const SAMPLE_STEP: Duration = Duration::from_millis(50);
/// One-way latency within an availability zone.
const IN_ZONE_LATENCY: Duration = Duration::from_micros(100);
/// One-way latency between availability zones.
const CROSS_ZONE_LATENCY: Duration = Duration::from_micros(500);

/// Settings of a simulation.
pub struct SimulationSettings {
    /// Shape of the fleet.
    pub shape: FleetShape,
    /// Number of entry instances.
    pub entries: usize,
    /// Submitted tasks.
    pub demand: Vec<DemandStream>,
    /// Duration of the simulation, including the warm-up.
    pub length: Duration,
    /// Time at the start that is not measured.
    pub warm_up: Duration,
    /// Latency of reports between peers; `None` if peers send no reports.
    pub peer_latency: Option<Duration>,
    /// Settings of all schedulers.
    pub scheduler: SchedulerSettings,
    /// Creates a scheduler from its settings and the number of entry instances.
    pub make_scheduler: fn(SchedulerSettings, usize) -> TaskScheduler,
    /// Changes to the fleet during the simulation.
    pub changes: Vec<FleetChange>,
    /// Maximum number of times that a refused task is submitted again.
    pub resubmits: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Change to the fleet during a simulation.
#[derive(Debug, Clone)]
pub struct FleetChange {
    /// Time of the change.
    pub at: Duration,
    /// Availability zone to change.
    pub zone: &'static str,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// Kind of a change to an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Operators take the zone out of service.
    OutOfService,
    /// Operators put the zone back into service.
    InService,
    /// All workers of the zone fail at once; the instance list lags behind.
    Failure,
    /// All workers of the zone recover; the instance list lags behind.
    Recovery,
}

/// Simulation of the schedulers of a fleet.
pub struct SchedulerSimulation {
    settings: SimulationSettings,
    origin: Instant,
    now: Instant,
    sequence: u64,
    events: BinaryHeap<Reverse<(Instant, u64, SimulationEvent)>>,
    schedulers: Vec<SimulatedEntry>,
    workers: IndexMap<WorkerId, FakeWorker>,
    tasks: IndexMap<TaskId, FakeTask>,
    spec: FleetSpec,
    offset: LogOffset,
    records: Vec<Arc<LogRecord>>,
    reports: Vec<ShareReport>,
    random: SmallRng,
    open_tasks: Vec<f64>,
    offered: Vec<f64>,
    window_end: Instant,
    next_task: TaskId,
    /// Measurements.
    pub meter: ServiceMeter,
    /// Real time that the schedulers spent on their decisions.
    pub decision_time: Duration,
    /// Number of events that the schedulers processed.
    pub decisions: u64,
}

struct SimulatedEntry {
    scheduler: TaskScheduler,
    zone: ZoneId,
    wake: Option<Instant>,
}

struct FakeWorker {
    zone: ZoneId,
    slots: u32,
    running: IndexMap<TaskId, usize>,
    is_up: bool,
}

#[derive(Clone)]
struct FakeTask {
    account: usize,
    queue: QueueId,
    entry: usize,
    run_time: Duration,
    submitted_at: Instant,
    started_at: Option<Instant>,
    is_open: bool,
    resubmits: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    Resubmit(TaskId),
    Start(usize, TaskId, WorkerId),
    Finish(TaskId, WorkerId),
    Reply(usize, TaskId, ReplyKind),
    Wake(usize),
    ReceiveReport(usize, usize),
    ReadLog(usize),
    ListInstances(usize),
    ApplyChange(usize),
    Sample,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplyKind {
    Answered,
    Busy,
    NotRun,
    Unknown,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            shape: FleetShape::default(),
            entries: 9,
            demand: Vec::new(),
            length: Duration::from_secs(120),
            warm_up: Duration::from_secs(20),
            peer_latency: Some(Duration::from_millis(1)),
            scheduler: SchedulerSettings::default(),
            make_scheduler: |settings, _| TaskScheduler::new(settings, Box::new(EvenSplit::new(1))),
            changes: Vec::new(),
            resubmits: 0,
            seed: 1,
        }
    }
}

impl SchedulerSimulation {
    /// Runs a simulation to its end.
    pub fn run(settings: SimulationSettings) -> Self {
        let mut simulation = Self::new(settings);
        simulation.append_fleet();
        for entry in 0..simulation.schedulers.len() {
            simulation.read_log(entry);
            simulation.list_instances(entry);
        }
        for stream in 0..simulation.settings.demand.len() {
            let from = simulation.settings.demand[stream].from;
            simulation.push(from, SimulationEvent::Arrive(stream));
        }
        for change in 0..simulation.settings.changes.len() {
            let at = simulation.settings.changes[change].at;
            simulation.push(at, SimulationEvent::ApplyChange(change));
        }
        simulation.push(SAMPLE_STEP, SimulationEvent::Sample);
        let end = simulation.origin + simulation.settings.length;
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            if at > end {
                break;
            }
            simulation.now = at;
            simulation.process(event);
        }
        simulation
    }

    fn new(settings: SimulationSettings) -> Self {
        let spec = settings.shape.spec();
        let origin = Instant::now();
        let schedulers = (0..settings.entries).map(|entry| {
            let zone = ZoneId::from(format!("z{}", entry % settings.shape.zones));
            let scheduler = SchedulerSettings {
                entry: format!("e{entry}").into(),
                home: zone.clone(),
                seed: settings.seed + entry as u64,
                ..settings.scheduler.clone()
            };
            SimulatedEntry {
                scheduler: (settings.make_scheduler)(scheduler, settings.entries),
                zone,
                wake: None,
            }
        });
        let workers = spec.workers.iter().map(|worker| {
            let fake = FakeWorker {
                zone: worker.zone.clone(),
                slots: worker.slots,
                running: IndexMap::new(),
                is_up: true,
            };
            (worker.id.clone(), fake)
        });
        let shares: Vec<f64> = spec
            .accounts
            .iter()
            .map(|account| f64::from(account.share))
            .collect();
        Self {
            origin,
            now: origin,
            sequence: 0,
            events: BinaryHeap::new(),
            schedulers: schedulers.collect(),
            workers: workers.collect(),
            tasks: IndexMap::new(),
            offset: 0,
            records: Vec::new(),
            reports: Vec::new(),
            random: SmallRng::seed_from_u64(settings.seed),
            open_tasks: vec![0.0; shares.len()],
            offered: vec![0.0; shares.len()],
            window_end: origin,
            next_task: 0,
            meter: ServiceMeter::new(shares, SAMPLE_STEP),
            decision_time: Duration::ZERO,
            decisions: 0,
            spec,
            settings,
        }
    }

    fn push(&mut self, after: Duration, event: SimulationEvent) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(stream) => self.arrive(stream),
            SimulationEvent::Resubmit(task) => self.submit(task),
            SimulationEvent::Start(entry, task, worker) => self.start_run(entry, task, &worker),
            SimulationEvent::Finish(task, worker) => self.finish(task, &worker),
            SimulationEvent::Reply(entry, task, kind) => {
                let report = match kind {
                    ReplyKind::Answered => RunReport::Answered,
                    ReplyKind::Busy => RunReport::Busy,
                    ReplyKind::NotRun => RunReport::NotRun,
                    ReplyKind::Unknown => RunReport::Unknown,
                };
                self.handle_event(entry, DispatchEvent::TaskEnded { task, report });
            }
            SimulationEvent::Wake(entry) => {
                if self.schedulers[entry]
                    .wake
                    .is_some_and(|wake| wake <= self.now)
                {
                    self.schedulers[entry].wake = None;
                    self.handle_event(entry, DispatchEvent::TimePassed);
                }
            }
            SimulationEvent::ReceiveReport(from, to) => self.receive_report(from, to),
            SimulationEvent::ReadLog(entry) => self.read_log(entry),
            SimulationEvent::ListInstances(entry) => self.list_instances(entry),
            SimulationEvent::ApplyChange(change) => self.apply_change(change),
            SimulationEvent::Sample => self.sample(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.origin
    }

    fn is_measured(&self) -> bool {
        self.elapsed() >= self.settings.warm_up
    }

    fn arrive(&mut self, index: usize) {
        let stream = self.settings.demand[index].clone();
        let at = self.elapsed();
        if at >= stream.until {
            return;
        }
        let interval = stream.candidate_interval(&mut self.random);
        self.push(interval, SimulationEvent::Arrive(index));
        if !stream.accepts_candidate(at, &mut self.random) {
            return;
        }
        self.next_task += 1;
        let task = FakeTask {
            account: stream.account,
            queue: stream.queue.as_str().into(),
            entry: stream.entry(self.schedulers.len(), &mut self.random),
            run_time: stream.run_time(&mut self.random),
            submitted_at: self.now,
            started_at: None,
            is_open: false,
            resubmits: 0,
        };
        self.tasks.insert(self.next_task, task);
        self.submit(self.next_task);
    }

    fn submit(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.is_open = true;
        let entry = task.entry;
        self.open_tasks[task.account] += 1.0;
        let remaining = self.window_end.saturating_duration_since(self.now);
        self.offered[task.account] += task.run_time.min(remaining).as_secs_f64();
        let key = digest_key(&format!("t{}", task.account));
        let request = TaskRequest {
            id,
            queue: task.queue.clone(),
            key: (!self.settings.shape.is_open).then_some(key),
            deadline: None,
            size: ResourceSize::default(),
        };
        self.handle_event(entry, DispatchEvent::TaskSubmitted(request));
    }

    fn handle_event(&mut self, entry: usize, event: DispatchEvent) {
        let started = Instant::now();
        let commands = self.schedulers[entry].scheduler.handle(self.now, event);
        self.decision_time += started.elapsed();
        self.decisions += 1;
        for command in commands {
            self.execute(entry, command);
        }
        let Some(deadline) = self.schedulers[entry].scheduler.next_deadline() else {
            return;
        };
        if self.schedulers[entry]
            .wake
            .is_none_or(|wake| deadline < wake)
        {
            let deadline = deadline.max(self.now + Duration::from_micros(10));
            self.schedulers[entry].wake = Some(deadline);
            self.push(deadline - self.now, SimulationEvent::Wake(entry));
        }
    }

    fn execute(&mut self, entry: usize, command: DispatchCommand) {
        match command {
            DispatchCommand::StartTask(start) => self.start(entry, start),
            DispatchCommand::CloseTask { task, outcome } => self.close(task, outcome),
            DispatchCommand::ReportShares(report) => self.report_shares(entry, report),
            DispatchCommand::Notify(_) | DispatchCommand::StopTask(_) => {}
            DispatchCommand::Propose(_) => {}
        }
    }

    fn start(&mut self, entry: usize, start: TaskStart) {
        let TaskStart { task, worker, .. } = start;
        self.meter.starts += u64::from(self.is_measured());
        let latency = self.latency(entry, &worker);
        self.push(latency, SimulationEvent::Start(entry, task, worker));
    }

    fn start_run(&mut self, entry: usize, task: TaskId, worker: &WorkerId) {
        let latency = self.latency(entry, worker);
        let run_time = self
            .tasks
            .get(&task)
            .map_or(Duration::ZERO, |task| task.run_time);
        let is_measured = u64::from(self.is_measured());
        let target = &mut self.workers[worker];
        if !target.is_up {
            self.push(
                latency,
                SimulationEvent::Reply(entry, task, ReplyKind::NotRun),
            );
        } else if target.running.len() as u32 >= target.slots {
            self.meter.busy += is_measured;
            self.push(
                latency,
                SimulationEvent::Reply(entry, task, ReplyKind::Busy),
            );
        } else {
            target.running.insert(task, entry);
            self.record_wait(task);
            self.push(run_time, SimulationEvent::Finish(task, worker.clone()));
        }
    }

    /// Records how long an interactive task waited for its first start.
    fn record_wait(&mut self, task: TaskId) {
        let is_measured = self.is_measured();
        let Some(task) = self.tasks.get_mut(&task) else {
            return;
        };
        if task.started_at.replace(self.now).is_none() && is_measured && task.queue.starts_with('q')
        {
            let wait = (self.now - task.submitted_at).as_micros();
            let wait = u64::try_from(wait).unwrap_or(u64::MAX);
            self.meter.waits.saturating_record(wait);
        }
    }

    fn finish(&mut self, task: TaskId, worker: &WorkerId) {
        if let Some(entry) = self.workers[worker].running.swap_remove(&task) {
            let latency = self.latency(entry, worker);
            self.push(
                latency,
                SimulationEvent::Reply(entry, task, ReplyKind::Answered),
            );
        }
    }

    fn close(&mut self, id: TaskId, outcome: TaskOutcome) {
        let is_measured = u64::from(self.is_measured());
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        self.open_tasks[task.account] -= 1.0;
        let TaskOutcome::Refused { reason, .. } = outcome else {
            self.meter.answered += is_measured;
            self.tasks.swap_remove(&id);
            return;
        };
        self.meter.refused += is_measured;
        self.meter.late += is_measured * u64::from(reason == RefusalReason::DeadlinePassed);
        if task.resubmits < self.settings.resubmits {
            let mut retry = task.clone();
            retry.resubmits += 1;
            retry.is_open = false;
            retry.started_at = None;
            self.next_task += 1;
            let id = self.next_task;
            self.tasks.insert(id, retry);
            let pause = Duration::from_millis(self.random.random_range(100..500));
            self.push(pause, SimulationEvent::Resubmit(id));
        }
        self.tasks.swap_remove(&id);
    }

    fn report_shares(&mut self, entry: usize, report: ShareReport) {
        let Some(latency) = self.settings.peer_latency else {
            return;
        };
        self.reports.push(report);
        let index = self.reports.len() - 1;
        for peer in (0..self.schedulers.len()).filter(|peer| *peer != entry) {
            self.push(latency, SimulationEvent::ReceiveReport(index, peer));
        }
    }

    fn receive_report(&mut self, report: usize, to: usize) {
        let report = self.reports[report].clone();
        self.handle_event(to, DispatchEvent::SharesReported(report));
    }

    fn append_fleet(&mut self) {
        let record = LogRecord {
            id: RecordId::from(self.offset),
            author: "operator".to_owned(),
            written: SystemTime::UNIX_EPOCH,
            body: RecordBody::Fleet(FleetProposal {
                base: self.offset,
                update: FleetUpdate::Whole(Arc::new(self.spec.clone())),
            }),
        };
        self.records.push(Arc::new(record));
        self.offset += 1;
    }

    fn read_log(&mut self, entry: usize) {
        let records = self.records.iter().enumerate();
        let items = records.map(|(offset, record)| {
            let item = LogItem::Record(Arc::clone(record));
            (offset as LogOffset, item)
        });
        let reading = LogReading {
            image: None,
            requested_at: Some(self.now),
            from: 0,
            items: items.collect(),
            next_offset: self.offset,
            end: self.offset,
        };
        self.handle_event(entry, DispatchEvent::LogRead(reading));
    }

    fn list_instances(&mut self, entry: usize) {
        let workers = self.workers.iter().filter(|(_, worker)| worker.is_up);
        let instances = workers.map(|(id, _)| InstanceEntry {
            worker: id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: InstanceState::Live,
        });
        let instances = instances.collect();
        self.handle_event(entry, DispatchEvent::InstancesListed(instances));
    }

    fn apply_change(&mut self, index: usize) {
        let FleetChange { zone, kind, .. } = self.settings.changes[index].clone();
        match kind {
            ChangeKind::OutOfService | ChangeKind::InService => {
                let status = if kind == ChangeKind::OutOfService {
                    ZoneStatus::OutOfService
                } else {
                    ZoneStatus::InService
                };
                let zones = self.spec.zones.iter_mut();
                zones
                    .filter(|spec| &*spec.id == zone)
                    .for_each(|spec| spec.status = status);
                self.append_fleet();
                for entry in 0..self.schedulers.len() {
                    let lag = Duration::from_millis(self.random.random_range(5..500));
                    self.push(lag, SimulationEvent::ReadLog(entry));
                }
            }
            ChangeKind::Failure | ChangeKind::Recovery => {
                self.set_failed(zone, kind == ChangeKind::Failure);
            }
        }
    }

    /// Marks the workers of a zone as failed or recovered; the instance list follows after a delay.
    fn set_failed(&mut self, zone: &str, is_failed: bool) {
        let mut lost_tasks = Vec::new();
        for worker in self
            .workers
            .values_mut()
            .filter(|worker| &*worker.zone == zone)
        {
            worker.is_up = !is_failed;
            lost_tasks.extend(worker.running.drain(..));
        }
        for (task, entry) in lost_tasks {
            self.push(
                CROSS_ZONE_LATENCY,
                SimulationEvent::Reply(entry, task, ReplyKind::Unknown),
            );
        }
        for entry in 0..self.schedulers.len() {
            let lag = Duration::from_millis(self.random.random_range(1000..3000));
            self.push(lag, SimulationEvent::ListInstances(entry));
        }
    }

    fn sample(&mut self) {
        self.push(SAMPLE_STEP, SimulationEvent::Sample);
        if !self.is_measured() {
            return;
        }
        let usable = |worker: &&FakeWorker| {
            let zones = self.spec.zones.iter();
            let mut zones = zones.filter(|zone| zone.status == ZoneStatus::InService);
            worker.is_up && zones.any(|zone| zone.id == worker.zone)
        };
        let mut running = vec![0.0; self.open_tasks.len()];
        let mut capacity = 0.0;
        for worker in self.workers.values().filter(usable) {
            capacity += f64::from(worker.slots);
            for task in worker.running.keys().filter_map(|id| self.tasks.get(id)) {
                running[task.account] += 1.0;
            }
        }
        let limits: Vec<f64> = self
            .spec
            .accounts
            .iter()
            .map(|account| f64::from(account.limit))
            .collect();
        if self.meter.begins_window() {
            self.window_end = self.now + WINDOW;
            self.offered = self.remaining_work();
        }
        let accounts = self.open_tasks.len();
        let sample = ServiceSample {
            capacity,
            running,
            demand: self.open_tasks.clone(),
            offered: std::mem::replace(&mut self.offered, vec![0.0; accounts]),
        };
        self.meter.sample(sample, &limits);
    }

    /// Returns the slot-seconds that the open tasks of each account can use within a window.
    fn remaining_work(&self) -> Vec<f64> {
        let mut offered = vec![0.0; self.open_tasks.len()];
        for task in self.tasks.values().filter(|task| task.is_open) {
            let end = task.started_at.map(|started_at| started_at + task.run_time);
            let remaining =
                end.map_or(task.run_time, |end| end.saturating_duration_since(self.now));
            offered[task.account] += remaining.min(WINDOW).as_secs_f64();
        }
        offered
    }

    fn latency(&self, entry: usize, worker: &WorkerId) -> Duration {
        if self.workers[worker].zone == self.schedulers[entry].zone {
            IN_ZONE_LATENCY
        } else {
            CROSS_ZONE_LATENCY
        }
    }
}
