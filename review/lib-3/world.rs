//! Workers, their machines and the advice service, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request, Server};
use crate::json::{Json, obj};
use crate::record::Record;
use crate::store::Store;

/// Bounds of `sites/telar-norte.toml`, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1500;
pub const HOLD_MAX_MS: u64 = 6000;
const GANG_MS: u64 = 3000;
const SAVE_MS: u64 = 500;
/// Time of a stop; `stopMs` is 400 at most.
const STOP_MS: u64 = 50;
const UPKEEP_MS: u64 = 2000;
const CORES: u64 = 32_000;
const MEMORY: u64 = 65_536;

/// A step of a job, as the client submitted it.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub memory: u64,
    /// Work of a task; a task that lasts never ends by itself.
    pub work_ms: u64,
    pub lasts: bool,
    pub gang: bool,
    pub saves: bool,
    pub depends_on: Vec<u64>,
}

impl Default for Step {
    fn default() -> Self {
        Step {
            count: 1,
            cpu: 2000,
            memory: 1024,
            work_ms: 2000,
            lasts: false,
            gang: false,
            saves: false,
            depends_on: Vec::new(),
        }
    }
}

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub started: Instant,
    /// Work done before this run, by its checkpoint.
    before_ms: u64,
    /// When the work began; `None` while a gang waits for its members.
    working: Option<Instant>,
    /// Checkpoint that its start carried.
    from: String,
    saved: String,
    saved_count: u64,
    stopping: Option<Instant>,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub up: bool,
    server: Option<Server>,
    born: u64,
    since: Instant,
    fence: u64,
    lease_until: u64,
    pub running: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str, String)>,
    ends: u64,
    superseded: HashMap<String, u64>,
    seq: u64,
    silent_since: Option<Instant>,
    state: &'static str,
    upkeep_fence: u64,
    lives: u64,
}

/// A start that a worker has begun, or the end of one.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended; `crash` when its worker did.
    pub what: &'static str,
    pub checkpoint: String,
}

#[derive(Default)]
pub struct State {
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Vec<Step>>,
    /// Work of each checkpoint.
    checkpoints: BTreeMap<String, u64>,
    pub events: Vec<Event>,
    /// Jobs whose starts need a ticket.
    pub ticketed: Vec<String>,
    /// A start that carries another checkpoint than a member of its gang that is there is refused.
    pub strict_gangs: bool,
    /// The next upkeep gets no answer and is carried out while another machine is down for its own, 2 to
    /// 12 s later.
    pub delay_upkeep: bool,
    /// Machines that have had the upkeep of the wave.
    kept: HashSet<String>,
    /// Sender of the latest order for a machine.
    pub holder: String,
    /// Machines that were down for upkeep when another upkeep began.
    pub most_down: usize,
    next_id: u64,
}

pub struct World {
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    pool: String,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Splits ID.K.STEP.INDEX into the job, the step, and the name of the step.
fn parts_of(task: &str) -> (String, usize, String) {
    let words: Vec<&str> = task.split('.').collect();
    let step = words.get(2).and_then(|step| step.parse().ok()).unwrap_or(0);
    (words[0].to_owned(), step, words[..words.len().min(3)].join("."))
}

impl Worker {
    /// Forgets everything, as a new life does, and returns its first entry.
    fn begin(&mut self, pool: &str) -> String {
        self.born = unix_ms();
        self.since = Instant::now();
        (self.fence, self.lease_until, self.ends, self.seq) = (0, 0, 0, 0);
        self.running.clear();
        self.finished.clear();
        self.superseded.clear();
        self.up = true;
        self.state = "up";
        self.lives += 1;
        self.silent_since = None;
        self.entry(pool).to_string()
    }

    /// Returns the number of lives that the machine has had.
    pub fn lives(&self) -> u64 {
        self.lives
    }

    fn clock(&self) -> u64 {
        5000 + self.since.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: Option<u64>) {
        if let Some(until) = until {
            let longest = self.clock() + HOLD_MAX_MS;
            self.lease_until = self.lease_until.max(until.min(longest));
        }
    }

    fn entry(&mut self, pool: &str) -> Json {
        self.seq += 1;
        obj([
            ("service", pool.into()),
            ("address", self.address.to_string().into()),
            ("zone", self.zone.into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("capacity", capacity()),
            ("labels", self.labels()),
            ("machine", self.machine.clone().into()),
            ("clockMs", self.clock().into()),
            ("seq", self.seq.into()),
            ("born", self.born.into()),
        ])
    }

    fn labels(&self) -> Json {
        let rack = format!("r-{}", self.zone);
        Json::Arr(vec!["a".into(), rack.into()])
    }
}

fn capacity() -> Json {
    obj([("cpu", CORES.into()), ("memMb", MEMORY.into()), ("gpu", 0.into())])
}

impl State {
    fn step(&self, task: &str) -> Step {
        let (job, step, _) = parts_of(task);
        let steps = self.jobs.get(&job);
        steps.and_then(|steps| steps.get(step)).cloned().unwrap_or_default()
    }

    fn used(&self, index: usize) -> (u64, u64) {
        let runs = self.workers[index].running.iter().map(|run| self.step(&run.task));
        runs.fold((0, 0), |sum, step| (sum.0 + step.cpu, sum.1 + step.memory))
    }

    fn event(&mut self, record: &Record, index: usize, run: &Run, what: &'static str, checkpoint: &str) {
        let worker = self.workers[index].id.clone();
        record.line(&format!("{worker}: {} run {} {what} {checkpoint}", run.task, run.run));
        self.events.push(Event {
            at: Instant::now(),
            worker,
            task: run.task.clone(),
            run: run.run,
            what,
            checkpoint: checkpoint.to_owned(),
        });
    }

    fn end(&mut self, record: &Record, index: usize, task: &str, how: &'static str) {
        let worker = &mut self.workers[index];
        let Some(at) = worker.running.iter().position(|run| run.task == task) else { return };
        let run = worker.running.remove(at);
        worker.ends += 1;
        let saved = if how == "done" { String::new() } else { run.saved.clone() };
        worker.finished.push((worker.ends, run.task.clone(), run.run, how, saved));
        let highest = worker.superseded.entry(run.task.clone()).or_default();
        *highest = run.run.max(*highest);
        self.event(record, index, &run, how, "");
        // The other members of a gang end with the first one.
        if self.step(task).gang {
            let others = if how == "done" { "done" } else { "broken" };
            for (other, name) in self.members(task, run.run) {
                self.end(record, other, &name, others);
            }
        }
    }

    /// Returns the members of a run's gang that are present.
    fn members(&self, task: &str, run: u64) -> Vec<(usize, String)> {
        let (_, _, step) = parts_of(task);
        let mut members = Vec::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for other in &worker.running {
                if parts_of(&other.task).2 == step && other.run == run {
                    members.push((index, other.task.clone()));
                }
            }
        }
        members
    }

    /// Moves all runs forward.
    fn advance(&mut self, record: &Record) {
        for index in 0..self.workers.len() {
            if !self.workers[index].up {
                continue;
            }
            let lapsed = self.workers[index].lease_until > 0
                && self.workers[index].clock() >= self.workers[index].lease_until;
            let tasks: Vec<String> = self.workers[index].running.iter().map(|r| r.task.clone()).collect();
            for task in tasks {
                let step = self.step(&task);
                let Some(run) = self.workers[index].running.iter().find(|r| r.task == task).cloned() else {
                    continue;
                };
                if lapsed {
                    self.end(record, index, &task, "lapsed");
                    continue;
                }
                if run.stopping.is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS) {
                    self.save(index, &task, true);
                    self.end(record, index, &task, "stopped");
                    continue;
                }
                if step.gang && run.working.is_none() {
                    let members = self.members(&task, run.run);
                    if members.len() as u64 == step.count {
                        for (other, name) in members {
                            let found = self.workers[other].running.iter_mut();
                            for member in found.filter(|member| member.task == name) {
                                member.working = Some(Instant::now());
                            }
                        }
                    } else if run.started.elapsed().as_millis() as u64 >= GANG_MS {
                        self.end(record, index, &task, "alone");
                    }
                    continue;
                }
                let Some(working) = run.working else { continue };
                let work = run.before_ms + working.elapsed().as_millis() as u64;
                self.save(index, &task, false);
                if !step.lasts && work >= step.work_ms {
                    self.end(record, index, &task, "done");
                }
            }
        }
    }

    /// Makes a new checkpoint of a task with each `saveS` of its work, and at a stop.
    fn save(&mut self, index: usize, task: &str, at_stop: bool) {
        if !self.step(task).saves {
            return;
        }
        let Some(run) = self.workers[index].running.iter_mut().find(|run| run.task == task) else { return };
        let Some(working) = run.working else { return };
        let work = run.before_ms + working.elapsed().as_millis() as u64;
        if work / SAVE_MS > run.saved_count || at_stop && work > 0 {
            run.saved_count = work / SAVE_MS;
            run.saved = format!("{work:08x}-{}-{}", run.run, task);
            let saved = run.saved.clone();
            self.checkpoints.insert(saved, work);
        }
    }
}

impl World {
    /// Starts `count` workers of a pool, and the thread that moves their runs forward.
    pub fn start(store: Arc<Store>, record: Arc<Record>, pool: &str, count: usize) -> Arc<World> {
        let world = Arc::new(World {
            state: Mutex::default(),
            changed: Condvar::new(),
            store,
            record,
            pool: pool.to_owned(),
        });
        for number in 0..count {
            let zone = ["bilbao", "santander"][number % 2];
            let worker = Worker {
                id: String::new(),
                machine: format!("m-{number}"),
                zone,
                address: SocketAddr::from(([127, 0, 0, 1], 0)),
                up: false,
                server: None,
                born: 0,
                since: Instant::now(),
                fence: 0,
                lease_until: 0,
                running: Vec::new(),
                finished: Vec::new(),
                ends: 0,
                superseded: HashMap::new(),
                seq: 0,
                silent_since: None,
                state: "up",
                upkeep_fence: 0,
                lives: 0,
            };
            world.lock().workers.push(worker);
            world.begin_life(number);
        }
        let clock = Arc::clone(&world);
        thread::spawn(move || clock.run());
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts a new life on a machine: a worker of another id, which knows nothing of before.
    pub fn begin_life(self: &Arc<Self>, index: usize) {
        let world = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| world.handle(index, request));
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).expect("no port");
        let mut state = self.lock();
        state.next_id += 1;
        let id = format!("i-{}", state.next_id);
        let worker = &mut state.workers[index];
        worker.id = id;
        worker.address = server.address;
        worker.server = Some(server);
        self.record.line(&format!("{} starts on {}", worker.id, worker.machine));
        let entry = worker.begin(&self.pool);
        self.store.put("keyed.servers", &worker.id, &entry);
    }

    /// Crashes the worker on a machine: nothing runs there any more, and its port is closed.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let runs = std::mem::take(&mut state.workers[index].running);
        for run in &runs {
            state.event(&self.record, index, run, "crash", "");
        }
        state.workers[index].up = false;
        // The gangs of these runs break.
        for run in runs.iter().filter(|run| state.step(&run.task).gang).cloned().collect::<Vec<_>>() {
            for (other, name) in state.members(&run.task, run.run) {
                state.end(&self.record, other, &name, "broken");
            }
        }
        let worker = &mut state.workers[index];
        self.record.line(&format!("{} crashes", worker.id));
        worker.state = "down";
        worker.silent_since = Some(Instant::now());
        if let Some(server) = worker.server.take() {
            server.off();
        }
    }

    fn run(self: &Arc<Self>) {
        let mut beat = Instant::now();
        loop {
            let mut removed = Vec::new();
            {
                let mut state = self.lock();
                state.advance(&self.record);
                let due = beat.elapsed().as_millis() as u64 >= HEARTBEAT_MS;
                if due {
                    beat = Instant::now();
                }
                for worker in &mut state.workers {
                    if worker.up && due {
                        let entry = worker.entry(&self.pool).to_string();
                        self.store.put("keyed.servers", &worker.id, &entry);
                    }
                    let silent = worker.silent_since.map(|since| since.elapsed().as_millis() as u64);
                    if silent.is_some_and(|silent| silent >= 3 * HEARTBEAT_MS) {
                        worker.silent_since = None;
                        removed.push(worker.id.clone());
                    }
                }
                self.changed.notify_all();
            }
            for id in removed {
                self.store.put("keyed.servers", &id, "");
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn handle(self: &Arc<Self>, index: usize, request: &Request) -> Reply {
        let mut state = self.lock();
        let worker = &state.workers[index];
        if !worker.up {
            return Reply::Drop;
        }
        if request.path == "/health" {
            return Reply::status(200);
        }
        let id = state.workers[index].id.clone();
        if request.header("Primrosewheel-Expect-Instance").is_some_and(|wanted| wanted != id) {
            self.record.line(&format!("{id}: {} for another instance -> 421", request.path));
            return Reply::status(421);
        }
        let Some(body) = Json::parse(&request.text()) else {
            return Reply::status(400);
        };
        state.advance(&self.record);
        let fence = body.get("fence").int().unwrap_or(0);
        if fence < state.workers[index].fence {
            return self.refuse(&state, index, "fence");
        }
        state.workers[index].fence = fence;
        match request.path.as_str() {
            "/run-start" => self.start_run(state, index, &body),
            "/run-stop" => self.stop_run(state, index, &body),
            "/hold" => self.hold(state, index, &body),
            "/pace" => self.accept(&state, index),
            _ => Reply::status(404),
        }
    }

    fn accept(&self, state: &State, index: usize) -> Reply {
        Reply::json(200, &obj([("clockMs", state.workers[index].clock().into())]))
    }

    fn refuse(&self, state: &State, index: usize, reason: &str) -> Reply {
        let clock = state.workers[index].clock();
        Reply::json(409, &obj([("clockMs", clock.into()), ("reason", reason.into())]))
    }

    fn start_run(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Json) -> Reply {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").int().unwrap_or(0);
        let deadline = body.get("deadlineMs").int();
        let checkpoint = body.get("checkpoint").text().unwrap_or_default().to_owned();
        let worker = &mut state.workers[index];
        if worker.running.iter().any(|other| other.task == task && other.run == run) {
            worker.extend(deadline);
            return self.accept(&state, index);
        }
        if worker.superseded.get(&task).is_some_and(|highest| *highest >= run) {
            worker.extend(deadline);
            return self.refuse(&state, index, "old");
        }
        if deadline.is_none_or(|deadline| deadline <= worker.clock()) {
            return self.refuse(&state, index, "late");
        }
        let (job, _, step_name) = parts_of(&task);
        if state.ticketed.contains(&job) {
            let right = format!("ticket-{}-{step_name}", state.workers[index].id);
            if body.get("ticket").text() != Some(&right) {
                return self.refuse(&state, index, "ticket");
            }
        }
        let step = state.step(&task);
        if state.strict_gangs && step.gang {
            let others = state.members(&task, run);
            let mut others = others.iter().flat_map(|(other, name)| {
                state.workers[*other].running.iter().filter(move |member| member.task == *name)
            });
            if others.any(|member| member.from != checkpoint) {
                self.record.line(&format!("{task} run {run} carries another checkpoint than its gang -> 400"));
                return Reply::json(400, &obj([("clockMs", state.workers[index].clock().into())]));
            }
        }
        let (cpu, memory) = state.used(index);
        if cpu + step.cpu > CORES || memory + step.memory > MEMORY {
            state.workers[index].extend(deadline);
            return self.refuse(&state, index, "room");
        }
        let before_ms = state.checkpoints.get(&checkpoint).copied().unwrap_or(0);
        let now = Instant::now();
        let new = Run {
            task,
            run,
            started: now,
            before_ms,
            working: (!step.gang).then_some(now),
            from: checkpoint.clone(),
            saved: checkpoint.clone(),
            saved_count: before_ms / SAVE_MS,
            stopping: None,
        };
        let worker = &mut state.workers[index];
        worker.extend(deadline);
        worker.running.push(new.clone());
        state.event(&self.record, index, &new, "start", &checkpoint);
        self.accept(&state, index)
    }

    fn stop_run(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Json) -> Reply {
        let task = body.get("task").text().unwrap_or_default();
        let run = body.get("run").int().unwrap_or(0);
        let worker = &mut state.workers[index];
        self.record.line(&format!("{}: {task} run {run} is told to stop", worker.id));
        let highest = worker.superseded.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        let runs = worker.running.iter_mut().filter(|other| other.task == task && other.run <= run);
        for other in runs {
            other.stopping.get_or_insert_with(Instant::now);
        }
        self.accept(&state, index)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Json) -> Reply {
        let id = state.workers[index].id.clone();
        let seen = body.get("lastSeen").int().unwrap_or(0);
        let worker = &mut state.workers[index];
        worker.extend(body.get("deadlineMs").int());
        worker.finished.retain(|end| end.0 > seen);
        let wait = Duration::from_millis(body.get("waitMs").int().unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        while state.workers[index].finished.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
            if !state.workers[index].up || state.workers[index].id != id {
                return Reply::Drop;
            }
        }
        let worker = &state.workers[index];
        let running = worker.running.iter().map(|run| {
            let step = state.step(&run.task);
            let work = run.working.map_or(0, |at| run.before_ms + at.elapsed().as_millis() as u64);
            // A task that lasts is at work after a short startup.
            let percent = if step.lasts { if work >= 700 { 100 } else { work / 8 } } else { work * 99 / step.work_ms.max(1) };
            let row = [run.task.clone().into(), run.run.into(), run.saved.clone().into(), percent.min(100).into(), step.cpu.into()];
            Json::Arr(row.to_vec())
        });
        let finished = worker.finished.iter().take(500).map(|(number, task, run, how, saved)| {
            let row = [(*number).into(), task.clone().into(), (*run).into(), (*how).into(), saved.clone().into()];
            Json::Arr(row.to_vec())
        });
        let answer = obj([
            ("clockMs", worker.clock().into()),
            ("born", worker.born.into()),
            ("running", Json::Arr(running.collect())),
            ("finished", Json::Arr(finished.collect())),
        ]);
        Reply::json(200, &answer)
    }

    /// The platform's machine service.
    pub fn cloud(self: &Arc<Self>, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(4));
        let mut state = self.lock();
        if request.path == "/machines" {
            let rows = state.workers.iter().map(|worker| {
                let mut row = obj([
                    ("machine", worker.machine.clone().into()),
                    ("pool", self.pool.clone().into()),
                    ("state", worker.state.into()),
                    ("zone", worker.zone.into()),
                    ("labels", worker.labels()),
                    ("capacity", capacity()),
                ]);
                if let (Json::Obj(fields), true) = (&mut row, worker.up) {
                    fields.push(("id".to_owned(), worker.id.clone().into()));
                }
                row
            });
            let answer = obj([("machines", Json::Arr(rows.collect())), ("nextToken", Json::Null)]);
            return Reply::json(200, &answer);
        }
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let name = body.get("machine").text().unwrap_or_default().to_owned();
        let fence: u64 = request
            .header("Primrosewheel-Fencing-Token")
            .and_then(|fence| fence.parse().ok())
            .unwrap_or(0);
        state.holder = request.header("Primrosewheel-Duty-Holder").unwrap_or_default().to_owned();
        let Some(index) = state.workers.iter().position(|worker| worker.machine == name) else {
            return Reply::status(400);
        };
        if std::mem::take(&mut state.delay_upkeep) {
            self.record.line(&format!("platform: {} {body} token {fence} gets no answer", request.path));
            let (world, late) = (Arc::clone(self), request.clone());
            thread::spawn(move || world.upkeep_late(&late));
            drop(state);
            thread::sleep(Duration::from_secs(2));
            return Reply::Drop;
        }
        let kept = state.kept.contains(&name);
        let worker = &mut state.workers[index];
        self.record.line(&format!("platform: {} {body} token {fence}", request.path));
        if fence < worker.upkeep_fence {
            return Reply::json(409, &obj([("reason", "fence".into())]));
        }
        worker.upkeep_fence = fence;
        if worker.state != "up" && !kept {
            return Reply::json(409, &obj([("reason", "busy".into())]));
        }
        if request.path != "/machine-upkeep" {
            return Reply::status(400);
        }
        if !state.kept.insert(name.clone()) {
            self.record.line(&format!("platform: {name} has had its upkeep"));
            return Reply::status(200);
        }
        let down = state.workers.iter().filter(|worker| worker.state == "upkeep").count();
        state.most_down = state.most_down.max(down);
        self.record.line(&format!("platform: the upkeep of {name} begins; {down} others are down"));
        drop(state);
        self.crash(index);
        self.lock().workers[index].state = "upkeep";
        let world = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(UPKEEP_MS));
            world.begin_life(index);
        });
        Reply::status(200)
    }

    /// Carries an upkeep out late, while another machine is down.
    fn upkeep_late(self: &Arc<Self>, request: &Request) {
        let since = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(20));
            let passed = since.elapsed().as_secs_f64();
            let down = self.lock().workers.iter().any(|worker| worker.state == "upkeep");
            if passed >= 2.0 && down || passed >= 11.5 {
                self.record.line(&format!("platform: carries it out {passed:.1} s late"));
                self.cloud(request);
                return;
            }
        }
    }

    /// The advice service: all workers may run all steps.
    pub fn advise(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let workers = body.get("workers").items();
        thread::sleep(Duration::from_millis(20 + 2 * workers.len() as u64));
        let step = body.get("step").text().unwrap_or_default();
        self.record.line(&format!("advice: {step} on {} workers", workers.len()));
        let good = workers.iter().filter_map(Json::text).map(|id| {
            Json::Arr(vec![id.into(), format!("ticket-{id}-{step}").into()])
        });
        let answer = obj([("good", Json::Arr(good.collect())), ("validMs", 3000.into())]);
        Reply::json(200, &answer)
    }
}
