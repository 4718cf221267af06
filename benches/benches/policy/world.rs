//! Schedulers side by side with fakes of workers, the log and the peers' links, on virtual time.

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
use crate::fleet::FleetForm;
use crate::meter::{ServiceMeter, ServiceSample, WINDOW};

/// Time between two samples.
const SAMPLE_STEP: Duration = Duration::from_millis(50);
/// Way within an availability zone.
const NEAR: Duration = Duration::from_micros(100);
/// Way to another availability zone.
const FAR: Duration = Duration::from_micros(500);

/// How the world runs.
pub struct WorldSettings {
    /// The fleet.
    pub form: FleetForm,
    /// Entry instances.
    pub entries: usize,
    /// Streams of tasks.
    pub demand: Vec<DemandStream>,
    /// Length of the run.
    pub length: Duration,
    /// Part of the run that is not measured.
    pub warm_up: Duration,
    /// Way of a report to a peer; `None` when peers tell each other nothing.
    pub peer_way: Option<Duration>,
    /// Settings of every scheduler.
    pub scheduler: SchedulerSettings,
    /// Makes the scheduler of an entry instance.
    pub make_scheduler: fn(SchedulerSettings, usize) -> TaskScheduler,
    /// Changes of the fleet while it runs.
    pub changes: Vec<FleetChange>,
    /// Times that a refused caller submits its task again.
    pub resubmits: u32,
    /// Seed of the demand.
    pub seed: u64,
}

/// Change of the fleet while it runs.
#[derive(Debug, Clone)]
pub struct FleetChange {
    /// When operators apply it.
    pub at: Duration,
    /// Availability zone that changes.
    pub zone: &'static str,
    /// What happens to it.
    pub kind: ChangeKind,
}

/// What happens to an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Operators take it out of service.
    Out,
    /// Operators bring it back.
    Back,
    /// Its workers fail at once; the instance list lags.
    Fails,
    /// Its workers are there again; the instance list lags.
    Recovers,
}

/// The running world.
pub struct World {
    settings: WorldSettings,
    origin: Instant,
    now: Instant,
    sequence: u64,
    events: BinaryHeap<Reverse<(Instant, u64, WorldEvent)>>,
    schedulers: Vec<EntryUnderLoad>,
    workers: IndexMap<WorkerId, FakeWorker>,
    tasks: IndexMap<TaskId, FakeTask>,
    spec: FleetSpec,
    offset: LogOffset,
    records: Vec<Arc<LogRecord>>,
    reports: Vec<ShareReport>,
    random: SmallRng,
    open: Vec<f64>,
    offered: Vec<f64>,
    window_end: Instant,
    next_task: TaskId,
    /// What was measured.
    pub meter: ServiceMeter,
    /// Time that the schedulers took for their decisions.
    pub decision_time: Duration,
    /// Events that the schedulers took.
    pub decisions: u64,
}

struct EntryUnderLoad {
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
    run: Duration,
    submitted: Instant,
    taken: Option<Instant>,
    is_open: bool,
    resubmits: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrive(usize),
    Resubmit(TaskId),
    Deliver(usize, TaskId, WorkerId),
    Finish(TaskId, WorkerId),
    Reply(usize, TaskId, ReplyKind),
    Wake(usize),
    Hear(usize, usize),
    ReadLog(usize),
    List(usize),
    Change(usize),
    Sample,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReplyKind {
    Answered,
    Busy,
    NotRun,
    Unknown,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            form: FleetForm::default(),
            entries: 9,
            demand: Vec::new(),
            length: Duration::from_secs(120),
            warm_up: Duration::from_secs(20),
            peer_way: Some(Duration::from_millis(1)),
            scheduler: SchedulerSettings::default(),
            make_scheduler: |settings, _| TaskScheduler::new(settings, Box::new(EvenSplit::new(1))),
            changes: Vec::new(),
            resubmits: 0,
            seed: 1,
        }
    }
}

impl World {
    /// Runs a world to its end.
    pub fn run(settings: WorldSettings) -> Self {
        let mut world = Self::new(settings);
        world.append_fleet();
        for entry in 0..world.schedulers.len() {
            world.read_log(entry);
            world.list(entry);
        }
        for stream in 0..world.settings.demand.len() {
            let from = world.settings.demand[stream].from;
            world.push(from, WorldEvent::Arrive(stream));
        }
        for change in 0..world.settings.changes.len() {
            let at = world.settings.changes[change].at;
            world.push(at, WorldEvent::Change(change));
        }
        world.push(SAMPLE_STEP, WorldEvent::Sample);
        let end = world.origin + world.settings.length;
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            if at > end {
                break;
            }
            world.now = at;
            world.take(event);
        }
        world
    }

    fn new(settings: WorldSettings) -> Self {
        let spec = settings.form.spec();
        let origin = Instant::now();
        let schedulers = (0..settings.entries).map(|entry| {
            let zone = ZoneId::from(format!("z{}", entry % settings.form.zones));
            let scheduler = SchedulerSettings {
                entry: format!("e{entry}").into(),
                home: zone.clone(),
                seed: settings.seed + entry as u64,
                ..settings.scheduler.clone()
            };
            EntryUnderLoad {
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
            open: vec![0.0; shares.len()],
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

    fn push(&mut self, after: Duration, event: WorldEvent) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(stream) => self.arrive(stream),
            WorldEvent::Resubmit(task) => self.submit(task),
            WorldEvent::Deliver(entry, task, worker) => self.deliver(entry, task, &worker),
            WorldEvent::Finish(task, worker) => self.finish(task, &worker),
            WorldEvent::Reply(entry, task, kind) => {
                let report = match kind {
                    ReplyKind::Answered => RunReport::Answered,
                    ReplyKind::Busy => RunReport::Busy,
                    ReplyKind::NotRun => RunReport::NotRun,
                    ReplyKind::Unknown => RunReport::Unknown,
                };
                self.feed(entry, DispatchEvent::TaskEnded { task, report });
            }
            WorldEvent::Wake(entry) => {
                if self.schedulers[entry]
                    .wake
                    .is_some_and(|wake| wake <= self.now)
                {
                    self.schedulers[entry].wake = None;
                    self.feed(entry, DispatchEvent::TimePassed);
                }
            }
            WorldEvent::Hear(from, to) => self.hear(from, to),
            WorldEvent::ReadLog(entry) => self.read_log(entry),
            WorldEvent::List(entry) => self.list(entry),
            WorldEvent::Change(change) => self.change(change),
            WorldEvent::Sample => self.sample(),
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
        let gap = stream.gap(&mut self.random);
        self.push(gap, WorldEvent::Arrive(index));
        if !stream.arrives(at, &mut self.random) {
            return;
        }
        self.next_task += 1;
        let task = FakeTask {
            account: stream.account,
            queue: stream.queue.as_str().into(),
            entry: stream.entry(self.schedulers.len(), &mut self.random),
            run: stream.run_time(&mut self.random),
            submitted: self.now,
            taken: None,
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
        self.open[task.account] += 1.0;
        let left = self.window_end.saturating_duration_since(self.now);
        self.offered[task.account] += task.run.min(left).as_secs_f64();
        let key = digest_key(&format!("t{}", task.account));
        let request = TaskRequest {
            id,
            queue: task.queue.clone(),
            key: (!self.settings.form.is_open).then_some(key),
            deadline: None,
            size: ResourceSize::default(),
        };
        self.feed(entry, DispatchEvent::TaskSubmitted(request));
    }

    fn feed(&mut self, entry: usize, event: DispatchEvent) {
        let begin = Instant::now();
        let commands = self.schedulers[entry].scheduler.handle(self.now, event);
        self.decision_time += begin.elapsed();
        self.decisions += 1;
        for command in commands {
            self.carry_out(entry, command);
        }
        let Some(wanted) = self.schedulers[entry].scheduler.next_deadline() else {
            return;
        };
        if self.schedulers[entry].wake.is_none_or(|wake| wanted < wake) {
            let wanted = wanted.max(self.now + Duration::from_micros(10));
            self.schedulers[entry].wake = Some(wanted);
            self.push(wanted - self.now, WorldEvent::Wake(entry));
        }
    }

    fn carry_out(&mut self, entry: usize, command: DispatchCommand) {
        match command {
            DispatchCommand::StartTask(start) => self.start(entry, start),
            DispatchCommand::CloseTask { task, outcome } => self.close(task, outcome),
            DispatchCommand::ReportShares(report) => self.tell(entry, report),
            DispatchCommand::Notify(_) | DispatchCommand::StopTask(_) => {}
            DispatchCommand::Propose(_) => {}
        }
    }

    fn start(&mut self, entry: usize, start: TaskStart) {
        let TaskStart { task, worker, .. } = start;
        self.meter.starts += u64::from(self.is_measured());
        let way = self.way(entry, &worker);
        self.push(way, WorldEvent::Deliver(entry, task, worker));
    }

    fn deliver(&mut self, entry: usize, task: TaskId, worker: &WorkerId) {
        let way = self.way(entry, worker);
        let run = self
            .tasks
            .get(&task)
            .map_or(Duration::ZERO, |task| task.run);
        let is_measured = u64::from(self.is_measured());
        let known = &mut self.workers[worker];
        if !known.is_up {
            self.push(way, WorldEvent::Reply(entry, task, ReplyKind::NotRun));
        } else if known.running.len() as u32 >= known.slots {
            self.meter.busy += is_measured;
            self.push(way, WorldEvent::Reply(entry, task, ReplyKind::Busy));
        } else {
            known.running.insert(task, entry);
            self.note_wait(task);
            self.push(run, WorldEvent::Finish(task, worker.clone()));
        }
    }

    /// Records how long a task waited until a worker took it.
    fn note_wait(&mut self, task: TaskId) {
        let is_measured = self.is_measured();
        let Some(task) = self.tasks.get_mut(&task) else {
            return;
        };
        if task.taken.replace(self.now).is_none() && is_measured && task.queue.starts_with('q') {
            let wait = (self.now - task.submitted).as_micros();
            let wait = u64::try_from(wait).unwrap_or(u64::MAX);
            self.meter.waits.saturating_record(wait);
        }
    }

    fn finish(&mut self, task: TaskId, worker: &WorkerId) {
        if let Some(entry) = self.workers[worker].running.swap_remove(&task) {
            let way = self.way(entry, worker);
            self.push(way, WorldEvent::Reply(entry, task, ReplyKind::Answered));
        }
    }

    fn close(&mut self, id: TaskId, outcome: TaskOutcome) {
        let is_measured = u64::from(self.is_measured());
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        self.open[task.account] -= 1.0;
        let TaskOutcome::Refused { reason, .. } = outcome else {
            self.meter.answered += is_measured;
            self.tasks.swap_remove(&id);
            return;
        };
        self.meter.refused += is_measured;
        self.meter.late += is_measured * u64::from(reason == RefusalReason::DeadlinePassed);
        if task.resubmits < self.settings.resubmits {
            let mut again = task.clone();
            again.resubmits += 1;
            again.is_open = false;
            again.taken = None;
            self.next_task += 1;
            let id = self.next_task;
            self.tasks.insert(id, again);
            let pause = Duration::from_millis(self.random.random_range(100..500));
            self.push(pause, WorldEvent::Resubmit(id));
        }
        self.tasks.swap_remove(&id);
    }

    fn tell(&mut self, entry: usize, report: ShareReport) {
        let Some(way) = self.settings.peer_way else {
            return;
        };
        self.reports.push(report);
        let index = self.reports.len() - 1;
        for peer in (0..self.schedulers.len()).filter(|peer| *peer != entry) {
            self.push(way, WorldEvent::Hear(index, peer));
        }
    }

    fn hear(&mut self, report: usize, to: usize) {
        let report = self.reports[report].clone();
        self.feed(to, DispatchEvent::SharesReported(report));
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
        self.feed(entry, DispatchEvent::LogRead(reading));
    }

    fn list(&mut self, entry: usize) {
        let workers = self.workers.iter().filter(|(_, worker)| worker.is_up);
        let list = workers.map(|(id, _)| InstanceEntry {
            worker: id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: InstanceState::Live,
        });
        let list = list.collect();
        self.feed(entry, DispatchEvent::InstancesListed(list));
    }

    fn change(&mut self, index: usize) {
        let FleetChange { zone, kind, .. } = self.settings.changes[index].clone();
        match kind {
            ChangeKind::Out | ChangeKind::Back => {
                let status = if kind == ChangeKind::Out {
                    ZoneStatus::OutOfService
                } else {
                    ZoneStatus::InService
                };
                let zones = self.spec.zones.iter_mut();
                zones
                    .filter(|known| &*known.id == zone)
                    .for_each(|known| known.status = status);
                self.append_fleet();
                for entry in 0..self.schedulers.len() {
                    let lag = Duration::from_millis(self.random.random_range(5..500));
                    self.push(lag, WorldEvent::ReadLog(entry));
                }
            }
            ChangeKind::Fails | ChangeKind::Recovers => self.fail(zone, kind == ChangeKind::Fails),
        }
    }

    /// Fails or restores the workers of a zone; the instance list follows after a lag.
    fn fail(&mut self, zone: &str, fails: bool) {
        let mut broken = Vec::new();
        for worker in self
            .workers
            .values_mut()
            .filter(|worker| &*worker.zone == zone)
        {
            worker.is_up = !fails;
            broken.extend(worker.running.drain(..));
        }
        for (task, entry) in broken {
            self.push(FAR, WorldEvent::Reply(entry, task, ReplyKind::Unknown));
        }
        for entry in 0..self.schedulers.len() {
            let lag = Duration::from_millis(self.random.random_range(1000..3000));
            self.push(lag, WorldEvent::List(entry));
        }
    }

    fn sample(&mut self) {
        self.push(SAMPLE_STEP, WorldEvent::Sample);
        if !self.is_measured() {
            return;
        }
        let usable = |worker: &&FakeWorker| {
            let zones = self.spec.zones.iter();
            let mut zones = zones.filter(|zone| zone.status == ZoneStatus::InService);
            worker.is_up && zones.any(|zone| zone.id == worker.zone)
        };
        let mut running = vec![0.0; self.open.len()];
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
            self.offered = self.offered_by_open_tasks();
        }
        let accounts = self.open.len();
        let sample = ServiceSample {
            capacity,
            running,
            demand: self.open.clone(),
            offered: std::mem::replace(&mut self.offered, vec![0.0; accounts]),
        };
        self.meter.sample(sample, &limits);
    }

    /// Returns the slot-seconds that the open tasks of each account can use in a window.
    fn offered_by_open_tasks(&self) -> Vec<f64> {
        let mut offered = vec![0.0; self.open.len()];
        for task in self.tasks.values().filter(|task| task.is_open) {
            let end = task.taken.map(|taken| taken + task.run);
            let left = end.map_or(task.run, |end| end.saturating_duration_since(self.now));
            offered[task.account] += left.min(WINDOW).as_secs_f64();
        }
        offered
    }

    fn way(&self, entry: usize, worker: &WorkerId) -> Duration {
        if self.workers[worker].zone == self.schedulers[entry].zone {
            NEAR
        } else {
            FAR
        }
    }
}
