//! A small world around one shard: fake workers with leases and fences, a fake store, virtual time.
//!
//! The world checks at each step that no task runs twice at a time or after it is done, that no
//! worker holds more than it has, and that no step starts before those that it depends on are done.

#![allow(dead_code)]

pub mod worker;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_team::prelude::*;
use pw_worker::prelude::*;

use self::worker::FakeWorker;

/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(5);
/// Time between two surveys of the keeper of machines.
const SURVEY_GAP: Duration = Duration::from_millis(120);
/// Time for an order or an append to get its answer.
const TRIP: Duration = Duration::from_millis(5);

/// An answer that is on its way to the controller.
struct Answer {
    at: Instant,
    epoch: OwnerEpoch,
    event: ShardEvent,
}

/// The world of one shard.
pub struct World {
    pub now: Instant,
    pub origin: Instant,
    pub wall: SystemTime,
    pub controller: Option<ShardController>,
    pub config: FleetConfig,
    pub settings: ControlSettings,
    pub workers: IndexMap<WorkerId, FakeWorker>,
    /// Jobs with their specs, as the store holds them.
    pub submissions: IndexMap<JobId, Arc<SubmissionRecord>>,
    pub cancelled: Vec<JobId>,
    pub images: IndexMap<JobId, JobState>,
    /// The store answers.
    pub store_up: bool,
    waiting_stores: Vec<(OwnerEpoch, u64, Vec<StoreRecord>)>,
    answers: Vec<Answer>,
    /// Tasks that ended as done and were taken note of.
    pub done: HashSet<TaskName>,
    /// Starts that workers carried out, by task.
    pub starts: IndexMap<TaskName, Vec<(WorkerId, RunNumber, Instant)>>,
    pub looks: usize,
    pub contested: usize,
    /// There is a keeper of machines, which asks the owner again and again.
    pub keeper_up: bool,
    /// Workers that are to be vacated, and those of them whose machines were ordered away.
    vacated: (Vec<WorkerId>, Vec<WorkerId>),
    surveyed: Instant,
    /// Workers that may run the steps of a queue with advice.
    pub good: Vec<WorkerId>,
    pub questions: Vec<AdviceOrder>,
    /// Tickets that starts carried.
    pub tickets: Vec<Option<Arc<str>>>,
    epoch: OwnerEpoch,
    /// Run time of each task.
    pub run_time: Duration,
}

impl World {
    /// Creates a world with one queue, one pool and `workers` workers of 8 cores and 16 GiB.
    pub fn new(workers: usize) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            origin: now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            controller: None,
            config: config(),
            settings: ControlSettings::default(),
            workers: IndexMap::new(),
            submissions: IndexMap::new(),
            cancelled: Vec::new(),
            images: IndexMap::new(),
            store_up: true,
            waiting_stores: Vec::new(),
            answers: Vec::new(),
            done: HashSet::new(),
            starts: IndexMap::new(),
            looks: 0,
            contested: 0,
            keeper_up: true,
            vacated: Default::default(),
            surveyed: now,
            good: Vec::new(),
            questions: Vec::new(),
            tickets: Vec::new(),
            epoch: 0,
            run_time: Duration::from_millis(500),
        };
        for number in 0..workers {
            world.add_worker(&format!("w{number}"), &format!("m{number}"));
        }
        world.take_over(None);
        world
    }

    pub fn add_worker(&mut self, id: &str, machine: &str) {
        let life = 1000 + self.elapsed().as_millis() as u64;
        let entry = WorkerEntry {
            id: id.into(),
            pool: "pool".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "zone".into(),
            rack: Some("rack".into()),
            labels: vec!["kind".into(), "rack".into()],
            capacity: size(8000, 16_384),
            phase: WorkerPhase::Ready,
            life,
            machine: Some(machine.into()),
        };
        let worker = FakeWorker {
            entry,
            silent: false,
            dead: false,
            mute_starts: false,
            unhealthy: false,
            other_at_address: false,
            fails: false,
            fence: 0,
            lease_until: 0,
            started: self.now,
            running: IndexMap::new(),
            finished: Vec::new(),
            barred: HashMap::new(),
            next_end: 1,
            seen: 0,
            void_ends: 0,
            paces: HashMap::new(),
            tail_ms: 0,
        };
        self.workers.insert(id.into(), worker);
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.origin
    }

    /// A new owner takes the shard over with what is in the store.
    pub fn take_over(&mut self, leases: Option<IndexMap<WorkerId, Duration>>) {
        self.epoch += 1;
        let image = ShardImage {
            submissions: self.submissions.clone().into_iter().collect(),
            cancelled: self.cancelled.clone(),
            states: self.images.clone().into_iter().collect(),
            leases,
        };
        let controller = ShardController::open(
            (0, self.epoch),
            image,
            Arc::new(self.config.clone()),
            self.settings.clone(),
            self.now,
            self.wall,
        );
        self.controller = Some(controller);
        self.waiting_stores.clear();
        self.list_workers();
    }

    /// The owner releases the shard and another one takes it over.
    pub fn hand_over(&mut self) {
        let leases = self
            .controller
            .as_ref()
            .map(|shard| shard.release(self.now));
        self.take_over(leases);
    }

    /// Has workers vacated, as the keeper of machines does; those in `taken` were ordered away.
    pub fn vacate(&mut self, workers: &[WorkerId], taken: &[WorkerId]) {
        self.vacated = (workers.to_vec(), taken.to_vec());
        self.survey();
    }

    /// Asks the owner, as the keeper of machines does again and again.
    fn survey(&mut self) {
        let (workers, taken) = self.vacated.clone();
        self.tell(ShardEvent::Vacate { workers, taken });
        self.surveyed = self.now;
    }

    /// Hands the controller the workers that are alive.
    pub fn list_workers(&mut self) {
        let listed = self.workers.values().filter(|worker| !worker.dead);
        let entries: Vec<WorkerEntry> = listed.map(|worker| worker.entry.clone()).collect();
        let (entries, lives) = current_workers(entries);
        let lives = Arc::new(lives);
        self.tell(ShardEvent::Workers { entries, lives });
    }

    pub fn set_config(&mut self, change: impl FnOnce(&mut FleetConfig)) {
        change(&mut self.config);
        self.tell(ShardEvent::Config(Arc::new(self.config.clone())));
    }

    pub fn submit(&mut self, job: &str, account: Option<&str>, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: "work".into(),
            steps,
            occurrences: 1,
            ..Default::default()
        };
        self.submit_spec(job, account, spec);
    }

    pub fn submit_spec(&mut self, job: &str, account: Option<&str>, spec: JobSpec) {
        let record = Arc::new(SubmissionRecord {
            queue: "queue".into(),
            pool: "pool".into(),
            account: account.map(AccountId::from),
            accepted: self.wall,
            terms: terms_of(&spec, &self.config.queues["queue"]),
            spec,
        });
        self.submissions.insert(job.into(), Arc::clone(&record));
        self.tell(ShardEvent::Submitted(job.into(), record));
    }

    pub fn cancel(&mut self, job: &str) {
        self.cancelled.push(job.into());
        self.tell(ShardEvent::Cancelled(job.into()));
    }

    pub fn status(&self, job: &str) -> JobAnswer {
        let scope = match self.submissions.get(job).and_then(|r| r.account.clone()) {
            Some(account) => return self.ask(job, QuestionScope::Account(&account)),
            None => QuestionScope::Public,
        };
        self.ask(job, scope)
    }

    pub fn ask(&self, job: &str, scope: QuestionScope<'_>) -> JobAnswer {
        let shard = self.controller.as_ref();
        shard.map_or(JobAnswer::Unknown, |shard| shard.ask(job, scope))
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.wall += STEP;
            self.work();
            self.deliver();
            if self.keeper_up && self.now >= self.surveyed + SURVEY_GAP {
                self.survey();
            }
            if self.store_up {
                self.tell(ShardEvent::Proved(self.now));
            }
            let due = self.controller.as_ref().map(ShardController::next_deadline);
            if due.is_some_and(|due| due <= self.now) {
                self.tell(ShardEvent::Tick);
            }
            self.check();
        }
    }

    /// Lets time pass until `done`, for `limit` at most; returns whether it came to that.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(STEP);
        }
        done(self)
    }

    /// Runs of the task that run now.
    pub fn running(&self, task: &str) -> usize {
        let name: TaskName = task.parse().expect("a task's name");
        let live = self.workers.values().filter(|worker| !worker.dead);
        live.filter(|worker| worker.running.contains_key(&name))
            .count()
    }

    pub fn start_count(&self, task: &str) -> usize {
        let name: TaskName = task.parse().expect("a task's name");
        self.starts.get(&name).map_or(0, Vec::len)
    }

    pub fn tell(&mut self, event: ShardEvent) {
        let Some(shard) = &mut self.controller else {
            return;
        };
        let epoch = shard.epoch();
        for command in shard.handle(self.now, self.wall, event) {
            self.carry_out(epoch, command);
        }
    }

    fn carry_out(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        match command {
            ShardCommand::Store { sequence, records } => {
                self.waiting_stores.push((epoch, sequence, records));
            }
            ShardCommand::Look(order) => {
                self.looks += 1;
                self.look(epoch, order);
            }
            ShardCommand::Start(order) => self.start(epoch, order),
            ShardCommand::Stop(order) => self.stop(epoch, order),
            ShardCommand::Pace(order) => {
                if let Some(worker) = self.workers.get_mut(&order.worker) {
                    worker.paces.insert(order.task.clone(), order.percent);
                }
                self.reply(
                    epoch,
                    TRIP,
                    ShardEvent::Paced {
                        order,
                        result: Ok(()),
                    },
                );
            }
            ShardCommand::Contested => self.contested += 1,
            ShardCommand::Advise(order) => {
                self.questions.push(order.clone());
                let good = order.workers.iter().filter(|id| self.good.contains(*id));
                let report = AdviceReport {
                    tickets: good.map(|id| (id.clone(), "ticket".into())).collect(),
                    valid: Duration::from_secs(3),
                };
                let result = Ok(report);
                self.reply(epoch, TRIP, ShardEvent::Advised { order, result });
            }
        }
    }

    fn reply(&mut self, epoch: OwnerEpoch, after: Duration, event: ShardEvent) {
        let at = self.now + after;
        self.answers.push(Answer { at, epoch, event });
    }

    fn deliver(&mut self) {
        if self.store_up {
            for (epoch, sequence, records) in std::mem::take(&mut self.waiting_stores) {
                if epoch != self.epoch {
                    continue;
                }
                for record in records {
                    match record {
                        StoreRecord::State(job, bytes) => {
                            let state = decode_state(&bytes).expect("an image");
                            self.images.insert(job, state);
                        }
                        StoreRecord::Forget(job) => {
                            self.images.swap_remove(&job);
                        }
                    }
                }
                self.reply(epoch, TRIP, ShardEvent::Stored(sequence));
            }
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.at <= now);
        self.answers = later;
        for answer in due {
            if answer.epoch == self.epoch {
                self.tell(answer.event);
            }
        }
    }

    fn look(&mut self, epoch: OwnerEpoch, order: LookOrder) {
        let now = self.now;
        let reachable = self.reachable(&order.worker);
        if !reachable {
            let result = Err(CallFault::Unanswered);
            return self.reply(
                epoch,
                order.wait + TRIP,
                ShardEvent::Looked { order, result },
            );
        }
        let worker = &mut self.workers[&order.worker];
        if worker.other_at_address {
            let result = Err(CallFault::OtherLife);
            return self.reply(epoch, TRIP, ShardEvent::Looked { order, result });
        }
        if worker.fence > order.epoch {
            let result = Err(CallFault::Fenced);
            return self.reply(epoch, TRIP, ShardEvent::Looked { order, result });
        }
        worker.fence = order.epoch;
        if let Some(until) = order.lease_until {
            worker.extend_lease(until, now);
        }
        if order.seen > worker.seen {
            worker.seen = order.seen;
            for end in &worker.finished {
                let counts = end.number > worker.void_ends && end.number <= order.seen;
                if counts && end.end == RunEnd::Done {
                    self.done.insert(end.task.clone());
                }
            }
            worker.finished.retain(|end| end.number > order.seen);
        }
        // The answer is filled in by `work` when the wait is over, or a run has ended.
        let report = Ok(LookReport::default());
        let wait = order.wait;
        self.reply(
            epoch,
            wait + TRIP,
            ShardEvent::Looked {
                order,
                result: report,
            },
        );
    }

    fn start(&mut self, epoch: OwnerEpoch, order: StartOrder) {
        let now = self.now;
        if !self.reachable(&order.worker) {
            let outcome = StartOutcome::Unanswered;
            return self.reply(epoch, TRIP, ShardEvent::Started { order, outcome });
        }
        let run_time = self.run_time;
        let step = self.step_of(&order.task);
        let stored = self.images.get(&order.task.job).and_then(|state| {
            let task = &order.task;
            state.task(task.occurrence, task.step, task.index)
        });
        let stored = stored.is_some_and(|t| t.last_run == order.run && t.placement().is_some());
        assert!(
            stored,
            "start of {} before its placement is stored",
            order.task
        );
        assert!(
            !self.done.contains(&order.task),
            "start of {} that is done",
            order.task
        );
        let worker = &mut self.workers[&order.worker];
        self.tickets.push(order.ticket.clone());
        let outcome = worker.take_start(&order, &step, run_time, now);
        if outcome == StartOutcome::Accepted {
            let starts = self.starts.entry(order.task.clone()).or_default();
            if starts.last().is_none_or(|(_, run, _)| *run != order.run) {
                starts.push((order.worker.clone(), order.run, now));
            }
        }
        let outcome = if self.workers[&order.worker].mute_starts {
            StartOutcome::Unanswered
        } else {
            outcome
        };
        self.reply(epoch, TRIP, ShardEvent::Started { order, outcome });
    }

    fn stop(&mut self, epoch: OwnerEpoch, order: StopOrder) {
        if !self.reachable(&order.worker) {
            let result = Err(CallFault::Unanswered);
            return self.reply(epoch, TRIP, ShardEvent::Stopped { order, result });
        }
        let worker = &mut self.workers[&order.worker];
        worker.fence = worker.fence.max(order.epoch);
        let barred = worker.barred.entry(order.task.clone()).or_default();
        *barred = (*barred).max(order.run);
        if worker
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            worker.end(&order.task, RunEnd::Stopped);
        }
        self.reply(
            epoch,
            TRIP,
            ShardEvent::Stopped {
                order,
                result: Ok(()),
            },
        );
    }

    fn reachable(&self, worker: &WorkerId) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| !worker.silent && !worker.dead)
    }

    fn step_of(&self, task: &TaskName) -> StepSpec {
        let record = &self.submissions[&task.job];
        record.spec.steps[task.step as usize].clone()
    }

    /// Ends runs, and fills in the reports that are due now.
    fn work(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut().filter(|worker| !worker.dead) {
            let clock = worker.clock(now);
            if worker.lease_until > 0 && clock >= worker.lease_until {
                let names: Vec<_> = worker.running.keys().cloned().collect();
                for name in names {
                    worker.end(&name, RunEnd::Lapsed);
                }
                worker.void_ends = worker.next_end - 1;
            }
            let ended = worker.running.iter();
            let ended = ended.filter(|(_, run)| run.until.is_some_and(|until| now >= until));
            let ended: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
            let end = if worker.fails {
                RunEnd::Failed
            } else {
                RunEnd::Done
            };
            for name in ended {
                worker.end(&name, end);
            }
        }
        for answer in &mut self.answers {
            if let ShardEvent::Looked {
                order,
                result: Ok(report),
            } = &mut answer.event
            {
                let worker = self.workers.get(&order.worker);
                if worker.is_some_and(|worker| !worker.finished.is_empty()) {
                    answer.at = answer.at.min(now + TRIP);
                }
                if answer.at > now {
                    continue;
                }
                match worker {
                    Some(worker) if !worker.dead && !worker.silent => *report = worker.report(now),
                    _ => {
                        let order = order.clone();
                        let result = Err(CallFault::Unanswered);
                        answer.event = ShardEvent::Looked { order, result };
                    }
                }
            }
        }
    }

    fn check(&self) {
        let mut seen: HashSet<&TaskName> = HashSet::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            let mut used = ResourceSize::default();
            for (name, run) in &worker.running {
                assert!(seen.insert(name), "{name} runs twice at a time");
                assert!(!self.done.contains(name), "{name} runs after it was done");
                used = used.plus(&run.size);
            }
            assert!(
                used.fits_into(&worker.entry.capacity),
                "{} is over",
                worker.entry.id
            );
        }
    }
}

/// A step of `count` tasks that take a core and a GiB each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: size(1000, 1024),
        estimate: Duration::from_millis(500),
        ..Default::default()
    }
}

/// A step that lasts, with at most one task on each worker.
pub fn lasting(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step(count)
    }
}

pub fn size(millicores: u32, memory_mib: u32) -> ResourceSize {
    ResourceSize {
        millicores,
        memory_mib,
        accelerators: 0,
    }
}

fn config() -> FleetConfig {
    let rule = QueueRule {
        host: "host".into(),
        path_prefix: "/queue/".into(),
        pool: "pool".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(600),
        public: false,
        advice: None,
    };
    let account = AccountRule {
        weight: 1,
        maximum: ResourceSize::default(),
    };
    FleetConfig {
        version: 1,
        queues: IndexMap::from([(QueueId::from("queue"), rule)]),
        pools: IndexMap::from([(PoolId::from("pool"), PoolRule::default())]),
        accounts: IndexMap::from([(AccountId::from("ane"), account)]),
        keys: IndexMap::from([(digest_key("key"), AccountId::from("ane"))]),
        evacuated: Default::default(),
        waves: Default::default(),
    }
}
