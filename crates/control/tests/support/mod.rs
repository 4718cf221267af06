//! A simulated cluster around one shard: fake workers with leases and fencing, a fake store and
//! virtual time.
//!
//! Each time step checks that no task runs twice at the same time or after it is done, and that no
//! worker exceeds its capacity. Each start checks that it brings no worker over its capacity, also
//! one that has shrunk. Each start of an owner without delay checks that the placement of
//! its run is stored. Each start and each acknowledged run end check that no task starts again after
//! a successful end that counts, or after its last attempt.

#![allow(dead_code)]

mod answers;
mod checks;
pub mod crashes;
pub mod network;
pub mod owner;
pub mod soak;
pub mod worker;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use self::checks::AcknowledgedEnd;
use self::crashes::CrashPlan;
use self::network::{FatePolicy, LateOrder, OrderFate};
use self::owner::OwnerProcess;
use self::worker::FakeWorker;

/// Environment variable that has the clusters traced.
const TRACE_VARIABLE: &str = "CLUSTER_TRACE";
/// Step of the virtual time.
pub const STEP: Duration = Duration::from_millis(5);
/// Interval of the machine controller's surveys.
const SURVEY_INTERVAL: Duration = Duration::from_millis(120);
/// Highest number of failed runs of a task that any configuration allows.
const ATTEMPTS: u32 = 3;
/// Round-trip time of an order or an append.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// An answer in flight to the controller.
struct Answer {
    at: Instant,
    epoch: OwnerEpoch,
    /// Life of the worker that answers a poll.
    life: Option<LifeStart>,
    event: ShardEvent,
}

/// An append in flight to the store.
struct PendingAppend {
    at: Instant,
    epoch: OwnerEpoch,
    sequence: u64,
    records: Vec<StoreRecord>,
}

/// A simulated cluster with one shard.
pub struct TestCluster {
    pub now: Instant,
    pub origin: Instant,
    pub wall: SystemTime,
    /// Owners that run; the last one has claimed the shard.
    pub owners: Vec<OwnerProcess>,
    pub config: FleetConfig,
    pub settings: ControlSettings,
    pub workers: IndexMap<WorkerId, FakeWorker>,
    /// Stored submissions.
    pub submissions: IndexMap<JobId, Arc<SubmissionRecord>>,
    pub cancelled: Vec<JobId>,
    /// Jobs of which the submissions accepted up to a time are cancelled.
    pub cancelled_before: IndexMap<JobId, SystemTime>,
    pub images: IndexMap<JobId, JobState>,
    /// Inputs of which the owner knows all changes.
    pub known_inputs: Vec<ShardInput>,
    /// The owner is lost after it has deleted submissions and before it deletes the states.
    pub only_submissions_removed: bool,
    /// The store is available.
    pub store_up: bool,
    /// Largest record that the store takes.
    pub max_record_bytes: usize,
    pending_appends: Vec<PendingAppend>,
    /// Time until the store executes an append.
    pub append_time: Duration,
    /// Time from the execution of an append until its owner gets the answer.
    pub append_answer_time: Duration,
    /// Decides what happens to each order.
    pub order_fate: FatePolicy,
    late_orders: Vec<LateOrder>,
    answers: Vec<Answer>,
    /// Tasks whose successful end was acknowledged to the worker.
    pub done: HashSet<TaskName>,
    /// Starts that workers executed, by task.
    pub starts: IndexMap<TaskName, Vec<(WorkerId, RunNumber, Instant)>>,
    /// Run ends that count, by task.
    pub acknowledged_ends: HashMap<TaskName, Vec<AcknowledgedEnd>>,
    pub poll_count: usize,
    pub ownership_checks: usize,
    /// The machine controller surveys the owner periodically.
    pub surveys_enabled: bool,
    /// Workers to drain, and those of them whose machines already have an order.
    drain_requests: (Vec<WorkerId>, Vec<WorkerId>),
    /// Lives that the machine controller reports as ended.
    pub ended: Vec<WorkerLife>,
    /// Crashes of workers, and what the platform shows of them.
    pub crashes: CrashPlan,
    surveyed_at: Instant,
    /// Workers for which the advice service issues tickets.
    pub eligible_workers: Vec<WorkerId>,
    /// The rows of its tickets are malformed.
    pub malformed_tickets: bool,
    /// How long its tickets are valid.
    pub ticket_validity: Duration,
    pub advice_requests: Vec<AdviceOrder>,
    /// The advice service refuses all requests.
    pub advice_fails: bool,
    /// Workers refuse starts without a ticket.
    pub tickets_required: bool,
    /// Tickets of the starts that reached a worker.
    pub tickets: Vec<Option<Arc<str>>>,
    epoch: OwnerEpoch,
    /// Run time of each task.
    pub run_time: Duration,
    /// Step of the virtual time.
    pub time_step: Duration,
    /// Interval at which the store confirms the ownership.
    pub confirmation_interval: Duration,
    confirmed_at: Instant,
    /// Orders, run ends and changes are printed.
    pub traced: bool,
}

impl TestCluster {
    /// Creates a cluster with one queue, one pool and `workers` workers of 8 cores and 16 GiB.
    pub fn new(workers: usize) -> Self {
        let now = Instant::now();
        let mut cluster = Self {
            now,
            origin: now,
            wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
            owners: Vec::new(),
            config: config(),
            settings: ControlSettings::default(),
            workers: IndexMap::new(),
            submissions: IndexMap::new(),
            cancelled: Vec::new(),
            cancelled_before: IndexMap::new(),
            images: IndexMap::new(),
            known_inputs: ShardInput::ALL.to_vec(),
            only_submissions_removed: false,
            store_up: true,
            max_record_bytes: 262_144,
            pending_appends: Vec::new(),
            append_time: Duration::ZERO,
            append_answer_time: ROUND_TRIP,
            order_fate: Box::new(|_| OrderFate::Delivered),
            late_orders: Vec::new(),
            answers: Vec::new(),
            done: HashSet::new(),
            starts: IndexMap::new(),
            acknowledged_ends: HashMap::new(),
            poll_count: 0,
            ownership_checks: 0,
            surveys_enabled: true,
            drain_requests: Default::default(),
            ended: Vec::new(),
            crashes: CrashPlan::default(),
            surveyed_at: now,
            eligible_workers: Vec::new(),
            malformed_tickets: false,
            ticket_validity: Duration::from_secs(3),
            advice_requests: Vec::new(),
            advice_fails: false,
            tickets_required: false,
            tickets: Vec::new(),
            epoch: 0,
            run_time: Duration::from_millis(500),
            time_step: STEP,
            confirmation_interval: STEP,
            confirmed_at: now,
            traced: std::env::var(TRACE_VARIABLE).is_ok(),
        };
        for number in 0..workers {
            cluster.add_worker(&format!("w{number}"), &format!("m{number}"));
        }
        cluster.take_over(None);
        cluster
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
        let worker = FakeWorker::new(entry, 7000, self.now);
        self.workers.insert(id.into(), worker);
    }

    /// Ends the life of a worker and starts another one with the same id, which knows nothing of the
    /// first.
    pub fn restart_worker(&mut self, id: &WorkerId) {
        let old = &self.workers[id];
        let mut entry = old.entry.clone();
        entry.life = (entry.life + 1).max(1000 + self.elapsed().as_millis() as u64);
        self.trace(|| format!("{id} restarts"));
        let worker = FakeWorker::new(entry, 0, self.now);
        self.workers.insert(id.clone(), worker);
    }

    /// Changes the capacity of a worker; the owner learns it with the next list of workers.
    pub fn resize(&mut self, id: &WorkerId, capacity: ResourceSize) {
        self.trace(|| format!("{id} has a capacity of {capacity:?}"));
        self.workers[id].resize(capacity, self.now);
    }

    /// Returns the number of active runs on a worker.
    pub fn runs_on(&self, id: &WorkerId) -> usize {
        self.workers[id].running.len()
    }

    /// Prints what happens, for the analysis of a failure.
    pub fn trace(&self, text: impl FnOnce() -> String) {
        if self.traced {
            eprintln!("{:8.3} {}", self.elapsed().as_secs_f64(), text());
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.origin
    }

    /// Lets a new owner take the shard over from the stored state; the earlier ones stop.
    pub fn take_over(&mut self, leases: Option<IndexMap<WorkerId, Duration>>) {
        self.owners.clear();
        self.claim(leases, HashSet::new());
    }

    /// Lets a new owner claim the shard while the earlier ones go on and do not know of it. It does
    /// not reach the workers in `cut_off`.
    pub fn claim(
        &mut self,
        leases: Option<IndexMap<WorkerId, Duration>>,
        cut_off: HashSet<WorkerId>,
    ) {
        self.epoch += 1;
        self.trace(|| format!("epoch {} claims the shard, leases {leases:?}", self.epoch));
        let image = ShardImage {
            submissions: self.submissions.clone().into_iter().collect(),
            cancelled: self.cancelled.clone(),
            cancelled_before: self.cancelled_before.clone().into_iter().collect(),
            states: self.images.clone().into_iter().collect(),
            leases,
            claimed_at: Some(self.now),
            ..Default::default()
        };
        let controller = ShardController::open(
            (0, self.epoch),
            image,
            Arc::new(self.config.clone()),
            self.settings.clone(),
            self.now,
            self.wall,
        );
        self.owners.push(OwnerProcess::new(controller, cut_off));
        self.list_workers();
        self.confirm_inputs();
    }

    /// Lets the owner release the shard and a new owner take it over.
    pub fn hand_over(&mut self) {
        let leases = self.controller().remaining_leases(self.now);
        self.take_over(Some(leases));
    }

    /// Drains workers as the machine controller does; the machines of those in `ordered` have an
    /// order.
    pub fn drain(&mut self, workers: &[WorkerId], ordered: &[WorkerId]) {
        self.drain_requests = (workers.to_vec(), ordered.to_vec());
        self.survey();
    }

    /// Surveys the owner as the machine controller does.
    fn survey(&mut self) {
        let (drain, ordered) = self.drain_requests.clone();
        self.handle_event(ShardEvent::Surveyed(SurveyOrder {
            drain,
            ordered,
            down: self.down_machines(),
            ended: self.ended.clone(),
        }));
        self.surveyed_at = self.now;
    }

    /// Returns the lives of the unreachable workers that may have runs.
    pub fn unreachable_lives(&self) -> Vec<WorkerLife> {
        let unreachable = self
            .controller()
            .survey_report(self.now)
            .unreachable
            .into_iter();
        unreachable.map(|unreachable| unreachable.life).collect()
    }

    /// Sends the list of running workers to the controller.
    pub fn list_workers(&mut self) {
        let listed = self.workers.values().filter(|worker| !worker.crashed);
        let entries: Vec<WorkerEntry> = listed.map(|worker| worker.entry.clone()).collect();
        let (entries, lives) = current_workers(&entries, &self.config.pools);
        let lives = Arc::new(lives);
        self.broadcast(&ShardEvent::Workers { entries, lives });
    }

    pub fn set_config(&mut self, change: impl FnOnce(&mut FleetConfig)) {
        change(&mut self.config);
        self.broadcast(&ShardEvent::Config(Arc::new(self.config.clone())));
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
        self.broadcast(&ShardEvent::Submitted(job.into(), record));
    }

    pub fn cancel(&mut self, job: &str) {
        self.remove_cancellation(job);
        self.cancelled.push(job.into());
        self.broadcast(&ShardEvent::Cancelled(job.into()));
    }

    /// Cancels a job after its caller was told that it does not exist.
    pub fn cancel_before(&mut self, job: &str, limit: SystemTime) {
        self.remove_cancellation(job);
        self.cancelled_before.insert(job.into(), limit);
        self.broadcast(&ShardEvent::CancelledBefore(job.into(), limit));
    }

    fn remove_cancellation(&mut self, job: &str) {
        self.cancelled.retain(|cancelled| **cancelled != *job);
        self.cancelled_before.swap_remove(job);
    }

    pub fn status(&self, job: &str) -> JobAnswer {
        let scope = match self.submissions.get(job).and_then(|r| r.account.clone()) {
            Some(account) => return self.query(job, QueryScope::Account(&account)),
            None => QueryScope::Public,
        };
        self.query(job, scope)
    }

    pub fn query(&self, job: &str, scope: QueryScope<'_>) -> JobAnswer {
        self.controller().job_status(job, scope, self.now)
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += self.time_step;
            self.wall += self.time_step;
            self.deliver_late_orders();
            self.advance_crashes();
            self.advance_workers();
            self.deliver();
            if self.surveys_enabled && self.now >= self.surveyed_at + SURVEY_INTERVAL {
                self.survey();
            }
            // A process without CPU time requests no confirmation.
            let due = self.now >= self.confirmed_at + self.confirmation_interval;
            if due && self.store_up && !self.owner().frozen {
                self.confirmed_at = self.now;
                self.handle_event(ShardEvent::OwnershipConfirmed(self.now));
                self.confirm_inputs();
            }
            self.run_owners();
            self.check_invariants();
        }
    }

    /// Advances the virtual time until `done` holds, by at most `limit`; returns whether it holds.
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

    /// Returns the number of active runs of a task.
    pub fn running(&self, task: &str) -> usize {
        let name: TaskName = task.parse().expect("valid task name");
        let running = self.workers.values().filter(|worker| !worker.crashed);
        running
            .filter(|worker| worker.running.contains_key(&name))
            .count()
    }

    pub fn start_count(&self, task: &str) -> usize {
        let name: TaskName = task.parse().expect("valid task name");
        self.starts.get(&name).map_or(0, Vec::len)
    }

    /// Returns the worker that a task is placed on in the store.
    pub fn placed_on(&self, task: &str) -> WorkerId {
        let task: TaskName = task.parse().expect("valid task name");
        let state = self.images[&task.job].task(task.occurrence, task.step, task.index);
        let placement = state.and_then(TaskState::placement).expect("a placement");
        placement.worker.clone()
    }

    /// Tells the owner that it knows its inputs.
    fn confirm_inputs(&mut self) {
        for input in self.known_inputs.clone() {
            self.handle_event(ShardEvent::InputRead(input, self.now));
        }
    }

    /// Sends an event to the owner that has claimed the shard.
    pub fn handle_event(&mut self, event: ShardEvent) {
        self.send_event(self.epoch, event);
    }

    fn broadcast(&mut self, event: &ShardEvent) {
        let epochs: Vec<OwnerEpoch> = self.owners.iter().map(OwnerProcess::epoch).collect();
        for epoch in epochs {
            self.send_event(epoch, event.clone());
        }
    }

    /// Sends an event to an owner, which handles it once it has the time to.
    fn send_event(&mut self, epoch: OwnerEpoch, event: ShardEvent) {
        let index = self.owners.iter().position(|owner| owner.epoch() == epoch);
        if let Some(index) = index {
            self.owners[index].receive(event, self.now);
            self.run_owner(index);
        }
    }

    /// Lets the owners handle the events and send the commands that are due.
    fn run_owners(&mut self) {
        for index in 0..self.owners.len() {
            if self.owners[index].needs_tick(self.now) {
                self.owners[index].receive(ShardEvent::Tick, self.now);
            }
            self.run_owner(index);
        }
    }

    fn run_owner(&mut self, index: usize) {
        let (now, wall) = (self.now, self.wall);
        let owner = &mut self.owners[index];
        let epoch = owner.epoch();
        while let Some(event) = owner.next_event(now) {
            for command in owner.controller.handle(now, wall, event) {
                owner.queue_command(command, now);
            }
        }
        while let Some(command) = self.owners[index].next_command(now) {
            self.execute(epoch, command);
        }
    }

    /// Returns the owner that has claimed the shard.
    pub fn owner(&self) -> &OwnerProcess {
        self.owners.last().expect("an owner")
    }

    pub fn owner_mut(&mut self) -> &mut OwnerProcess {
        self.owners.last_mut().expect("an owner")
    }

    pub fn controller(&self) -> &ShardController {
        &self.owner().controller
    }
}

pub const COMPLETED: JobAnswer = JobAnswer::Known(JobStatus::Completed);

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates a cluster with one running long-running task.
pub fn long_running_cluster(workers: usize) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    cluster.submit("job", None, vec![long_running(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    cluster
}

/// Creates a cluster with a ready long-running step of which one task may be unavailable, and
/// returns it with the workers of the tasks.
pub fn disruption_cluster(workers: usize, count: u32) -> (TestCluster, Vec<WorkerId>) {
    let mut cluster = TestCluster::new(workers);
    let spec = StepSpec {
        max_unavailable: Some(1),
        ..long_running(count)
    };
    cluster.submit("lasting", None, vec![spec]);
    cluster.run(seconds(3));
    let holders: Vec<_> = cluster
        .starts
        .values()
        .map(|starts| starts[0].0.clone())
        .collect();
    assert_eq!(holders.len(), count as usize, "not all tasks started");
    (cluster, holders)
}

/// Creates a submission of one task for a pool, without an account.
pub fn submission(pool: &str) -> Arc<SubmissionRecord> {
    let spec = JobSpec {
        steps: vec![step(1)],
        occurrences: 1,
        ..Default::default()
    };
    Arc::new(SubmissionRecord {
        queue: "queue".into(),
        pool: pool.into(),
        account: None,
        accepted: SystemTime::UNIX_EPOCH,
        terms: JobTerms::default(),
        spec,
    })
}

/// Creates a step of `count` tasks that take a core and a GiB each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: size(1000, 1024),
        estimate: Duration::from_millis(500),
        ..Default::default()
    }
}

/// Creates a long-running step with at most one task on each worker.
pub fn long_running(count: u32) -> StepSpec {
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
        attempts: ATTEMPTS,
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
