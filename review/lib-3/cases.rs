//! The cases.

use std::sync::atomic::{AtomicI32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::obj;
use crate::record::Record;
use crate::system::{POOL, Route, System};
use crate::world::{Event, Step, unix_ms};

/// `cancel_ms` and `stopMs` of the site.
const CANCEL: Duration = Duration::from_millis(3000);
const STOP: Duration = Duration::from_millis(400);
/// `stableWindowMs` of the site.
const STABLE: Duration = Duration::from_millis(3000);

/// Ids of the node processes, so that a signal or the watchdog ends them too; 0 for none.
static NODE_IDS: [AtomicI32; 16] = [const { AtomicI32::new(0) }; 16];
const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(code: i32) -> !;
}

/// Remembers a node process.
pub fn add_node(id: u32) {
    let free = NODE_IDS.iter().find(|slot| slot.load(Ordering::SeqCst) == 0);
    if let Some(slot) = free {
        slot.store(id as i32, Ordering::SeqCst);
    }
}

/// Kills the node processes that this program has started.
pub fn stop_nodes() {
    for slot in &NODE_IDS {
        let id = slot.load(Ordering::SeqCst);
        if id != 0 {
            // SAFETY: a plain system call.
            unsafe { kill(id, SIGKILL) };
        }
    }
}

extern "C" fn end(_: i32) {
    stop_nodes();
    // SAFETY: a plain system call.
    unsafe { _exit(2) };
}

/// Ends the node processes when this one is told to end.
pub fn handle_signals() {
    for number in [SIGINT, SIGTERM] {
        // SAFETY: the handler makes system calls only.
        unsafe { signal(number, end) };
    }
}

/// Runs a case; returns how the rule was broken, `None` if it held.
pub fn run(case: &str, record: Record, trouble: bool) -> Result<Option<String>, String> {
    let (nodes, workers) = match case {
        "13" | "17" => (3, 16),
        "14" => (4, 4),
        _ => (3, 4),
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let mut system = System::start(record, nodes, workers)?;
    let outcome = match case {
        "11" => foreign_entry(&system, trouble),
        "12" => gang_with_advice(&system, trouble),
        "13" => crashed_workers(&system, trouble),
        "14" => early_cancel(&system, trouble),
        "15" => gang_checkpoints(&system, trouble),
        "17" => late_start(&system, trouble),
        "18" => late_upkeep(&mut system, trouble),
        "16" => extended_wave(&system, trouble),
        _ => Err("no such case".to_owned()),
    };
    let text = match &outcome {
        Ok(None) => "the rule held".to_owned(),
        Ok(Some(broken)) => format!("BROKEN: {broken}"),
        Err(error) => format!("couldn't run: {error}"),
    };
    system.record.line(&text);
    outcome
}

fn events_of(system: &System, job: &str) -> Vec<Event> {
    let state = system.world.lock();
    state.events.iter().filter(|event| event.task.starts_with(job)).cloned().collect()
}

fn starts_of(system: &System, job: &str) -> Vec<Event> {
    let mut events = events_of(system, job);
    events.retain(|event| event.what == "start");
    events
}

/// Returns the index of the worker that runs a task.
fn runner_of(system: &System, task: &str) -> Option<usize> {
    let state = system.world.lock();
    state.workers.iter().position(|worker| worker.up && worker.running.iter().any(|run| run.task == task))
}

/// Returns how often a task is running at this moment, on workers that are up.
fn running_count(system: &System, task: &str) -> usize {
    let state = system.world.lock();
    let up = state.workers.iter().filter(|worker| worker.up);
    up.flat_map(|worker| &worker.running).filter(|run| run.task == task).count()
}

fn accepted(status: u16) -> Result<(), String> {
    if status == 200 { Ok(()) } else { Err(format!("the job was answered {status}")) }
}

/// Another writer's entry, from which fields are missing, names a machine on which a worker is up.
fn foreign_entry(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1100000000000001";
    let task = format!("{job}.0.0.0");
    accepted(system.submit(0, "/cut/", job, &[Step { work_ms: 8000, ..Default::default() }]))?;
    if !system.wait(5.0, |system| runner_of(system, &task).is_some()) {
        return Err("the task does not start".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let index = runner_of(system, &task).ok_or("the task has ended")?;
    let machine = system.world.lock().workers[index].machine.clone();
    if trouble {
        // No version, slots, coldLeftMs, capacity, labels and seq. Nothing listens at the address.
        let entry = obj([
            ("service", POOL.into()),
            ("address", "127.0.0.1:9".into()),
            ("zone", "bilbao".into()),
            ("state", "ready".into()),
            ("machine", machine.into()),
            ("born", unix_ms().into()),
        ]);
        system.record.line(&format!("another writer: servers/inventory-7 {entry}"));
        system.store.put("keyed.servers", "inventory-7", &entry.to_string());
    }
    let twice = system.wait(12.0, |system| running_count(system, &task) > 1);
    let starts = starts_of(system, job);
    if twice {
        let workers: Vec<String> = starts.iter().map(|s| format!("run {} on {}", s.run, s.worker)).collect();
        return Ok(Some(format!("TWICE: {task} runs at the same time as {}", workers.join(" and "))));
    }
    match system.state("/cut/", job).as_str() {
        "completed" => Ok(None),
        state => Err(format!("the job is {state:?} at the end")),
    }
}

/// A new route with advice, and a gang on it.
fn gang_with_advice(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let gang = Step { count: 2, gang: true, work_ms: 1500, ..Default::default() };
    let (single, job) = ("1200000000000001", "1200000000000002");
    let prefix = if trouble { "/advised/" } else { "/cut/" };
    if trouble {
        let routes = [Route { prefix: "/cut/", advice: false }, Route { prefix: "/advised/", advice: true }];
        system.put_config(5, &routes);
        system.world.lock().ticketed.extend([single.to_owned(), job.to_owned()]);
        thread::sleep(Duration::from_millis(3000));
    }
    // A job without a gang shows that the advice service and the workers serve the route.
    let plain = Step { count: 2, work_ms: 1500, ..Default::default() };
    accepted(system.submit(0, prefix, single, &[plain]))?;
    if !system.wait(10.0, |system| system.state(prefix, single) == "completed") {
        return Err("the job without a gang does not end".to_owned());
    }
    accepted(system.submit(1, prefix, job, &[gang]))?;
    // Longer than `finish_s`, 14 s; the rule allows 3 s in which nothing of the job runs.
    if system.wait(20.0, |system| !starts_of(system, job).is_empty()) {
        let ended = system.wait(10.0, |system| system.state(prefix, job) == "completed");
        return if ended { Ok(None) } else { Err("the gang does not end".to_owned()) };
    }
    let state = system.state(prefix, job);
    Ok(Some(format!("LOST: nothing of {job} has started in 20 s on idle workers; it is shown as {state}")))
}

/// Workers crash: five in a row that have left the start of a task unanswered, and two in a row shortly
/// after they have begun a task that lasts.
fn crashed_workers(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let first = hanging_workers(system, trouble)?;
    thread::sleep(Duration::from_secs(5));
    let second = lasting_task(system, trouble)?;
    let broken: Vec<String> = first.into_iter().chain(second).collect();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// Five workers in a row leave the start of a job's task unanswered and crash; none begins it.
fn hanging_workers(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1300000000000001";
    if trouble {
        system.world.lock().hanging = Some((job.to_owned(), 5));
    }
    accepted(system.submit(0, "/cut/", job, &[Step { work_ms: 1500, ..Default::default() }]))?;
    let ended = |system: &System| matches!(&system.state("/cut/", job)[..], "failed" | "completed");
    if !system.wait(60.0, ended) {
        return Err("the first job does not end".to_owned());
    }
    let (state, starts) = (system.state("/cut/", job), starts_of(system, job).len());
    Ok((state == "failed").then(|| format!("LOST: {job} is shown as failed, and {starts} workers have begun its task")))
}

/// Two workers crash in a row, each shortly after it has begun a task that lasts.
fn lasting_task(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1300000000000002";
    let task = format!("{job}.0.0.0");
    let lasting = Step { lasts: true, work_ms: 700, ..Default::default() };
    accepted(system.submit(0, "/cut/", job, &[lasting]))?;
    for crash in 1..=2 {
        if !system.wait(20.0, |system| runner_of(system, &task).is_some()) {
            return Err(format!("the task does not start before crash {crash}"));
        }
        if trouble {
            let index = runner_of(system, &task).ok_or("the task has ended")?;
            let delay = if crash == 1 { 500 } else { 100 };
            thread::sleep(Duration::from_millis(delay));
            system.world.crash(index);
            let world = std::sync::Arc::clone(&system.world);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(4500));
                world.begin_life(index);
            });
        }
    }
    // A task that lasts has to run again within 6 s after its last run; 3 s more count as lost.
    thread::sleep(Duration::from_secs(12));
    let state = system.state("/cut/", job);
    let runs = running_count(system, &task);
    let failed = events_of(system, job).iter().filter(|event| event.what == "failed").count();
    if state == "failed" {
        return Ok(Some(format!(
            "LOST: {job} is shown as failed after {failed} ends `failed`, and {runs} runs of its task that lasts are left"
        )));
    }
    if state == "running" && runs == 1 { Ok(None) } else { Err(format!("state {state:?}, {runs} runs")) }
}

/// The node that last wrote to the store under an epoch gets no answer of the store for 2.5 s, while a
/// client hands in a job at another one and cancels it 200 ms after the answer. Three times.
fn early_cancel(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let steps = [
        Step { work_ms: 5000, ..Default::default() },
        Step { depends_on: vec![0], work_ms: 1000, ..Default::default() },
    ];
    let lasts = [Step { lasts: true, work_ms: 700, ..Default::default() }];
    let count = system.nodes.len();
    let mut cancelled: Vec<(String, u16, Instant)> = Vec::new();
    for round in 0..3 {
        let earlier = format!("14000000000001{round:02x}");
        accepted(system.submit(0, "/cut/", &earlier, &[Step { work_ms: 500, ..Default::default() }]))?;
        let ended = |system: &System| system.state("/cut/", &earlier) == "completed";
        if !system.wait(5.0, ended) {
            return Err("the first job does not end".to_owned());
        }
        thread::sleep(Duration::from_millis(500));
        let turned_away = system.last_writer();
        let client = (turned_away + 1) % count;
        let job = format!("14000000000002{round:02x}");
        if trouble {
            system.set_silent(turned_away, true);
        }
        thread::sleep(Duration::from_millis(300));
        let lasting = format!("14000000000003{round:02x}");
        let accepted = [(job, &steps[..]), (lasting, &lasts[..])]
            .into_iter()
            .filter(|(job, steps)| system.submit(client, "/cut/", job, steps) == 200);
        let accepted: Vec<_> = accepted.collect();
        thread::sleep(Duration::from_millis(200));
        for (job, _) in accepted {
            let (status, _) = system.call(client, "DELETE", "/cut/", &job, "");
            if status / 100 == 2 || status == 410 {
                cancelled.push((job, status, Instant::now()));
            }
        }
        thread::sleep(Duration::from_millis(2000));
        if trouble {
            system.set_silent(turned_away, false);
        }
        thread::sleep(Duration::from_secs(9));
    }
    if cancelled.is_empty() {
        return Err("no job was accepted and cancelled".to_owned());
    }
    let mut broken = Vec::new();
    for (job, status, at) in &cancelled {
        // The disruption ends 2 s after the answer; machines are in touch `stableWindowMs` later.
        let in_touch = *at + CANCEL.max(Duration::from_millis(2050) + STABLE);
        if let Some(start) = starts_of(system, job).into_iter().find(|start| start.at > in_touch) {
            let after = (start.at - *at).as_millis();
            broken.push(format!(
                "UNASKED: {} starts {after} ms after the cancelling of its job was answered {status}",
                start.task
            ));
        }
        let task = format!("{job}.0.0.0");
        if runner_of(system, &task).is_some() && Instant::now() > in_touch + STOP {
            let after = at.elapsed().as_secs();
            broken.push(format!("UNASKED: {task} runs on {after} s after that was answered {status}"));
        }
    }
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// The worker of one member of a gang crashes; the gang starts again from its checkpoint.
fn gang_checkpoints(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1500000000000001";
    system.world.lock().strict_gangs = std::env::var("STRICT").is_ok_and(|value| value == "1");
    let gang = Step { count: 2, cpu: 20_000, gang: true, saves: true, work_ms: 9000, ..Default::default() };
    accepted(system.submit(0, "/cut/", job, &[gang]))?;
    if !system.wait(5.0, |system| starts_of(system, job).len() == 2) {
        return Err("the gang does not start".to_owned());
    }
    thread::sleep(Duration::from_millis(3700));
    if trouble {
        let index = runner_of(system, &format!("{job}.0.0.1")).ok_or("the gang has ended")?;
        system.world.crash(index);
        let world = std::sync::Arc::clone(&system.world);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(4500));
            world.begin_life(index);
        });
        // Not part of the case: what follows if the workers insist on one checkpoint.
        if std::env::var("STRICT").is_ok_and(|value| value == "1") {
            thread::sleep(Duration::from_secs(25));
            let failed = events_of(system, job).iter().filter(|event| event.what == "failed").count();
            let state = system.state("/cut/", job);
            return Ok((state != "completed").then(|| format!("the gang is {state} after {failed} ends `failed`")));
        }
        if !system.wait(20.0, |system| starts_of(system, job).len() >= 4) {
            return Err("the gang does not start again".to_owned());
        }
        let starts = starts_of(system, job);
        let again: Vec<&Event> = starts.iter().filter(|start| start.run == starts[3].run).collect();
        if again.len() == 2 && again[0].checkpoint != again[1].checkpoint {
            return Ok(Some(format!(
                "UNASKED: run {} of the gang starts with {:?} as {} and with {:?} as {}",
                again[0].run, again[0].checkpoint, again[0].task, again[1].checkpoint, again[1].task
            )));
        }
    }
    if system.wait(20.0, |system| system.state("/cut/", job) == "completed") {
        Ok(None)
    } else {
        Err("the gang does not end".to_owned())
    }
}

/// The operator extends a wave that is completed.
fn extended_wave(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let put = |machines: &[&str]| put_wave(system, machines);
    let completed = |system: &System| {
        let status = system.store.newest("keyed.status", "wave/1").unwrap_or_default();
        status.contains("completed")
    };
    let begun = |system: &System, machine: &str| {
        let state = system.world.lock();
        let found = state.workers.iter().find(|worker| worker.machine == machine);
        found.is_some_and(|worker| worker.lives() > 1 || !worker.up)
    };
    put(&["m-0"]);
    if !system.wait(30.0, completed) {
        return Err("the wave is not completed".to_owned());
    }
    if !trouble {
        return if begun(system, "m-0") { Ok(None) } else { Err("m-0 was not ordered".to_owned()) };
    }
    put(&["m-0", "m-1"]);
    thread::sleep(Duration::from_secs(25));
    if completed(system) && !begun(system, "m-1") {
        return Ok(Some("MIXED: wave 1 is shown as completed, and m-1 has had no upkeep".to_owned()));
    }
    Ok(None)
}

/// A start gets no answer and is carried out 11 s later; meanwhile its task is done and its worker has
/// crashed and started again under its id.
fn late_start(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1700000000000001";
    let task = format!("{job}.0.0.0");
    if trouble {
        system.world.lock().delay_start = Some(Duration::from_secs(11));
    }
    accepted(system.submit(0, "/cut/", job, &[Step { work_ms: 800, ..Default::default() }]))?;
    if !system.wait(6.0, |system| system.state("/cut/", job) == "completed") {
        return Err("the job does not end".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let name = starts_of(system, job).pop().ok_or("no start")?.worker;
        let found = system.world.lock().workers.iter().position(|worker| worker.id == name);
        let index = found.ok_or("no worker")?;
        system.world.crash(index);
        thread::sleep(Duration::from_millis(1500));
        system.world.restart(index);
    }
    thread::sleep(Duration::from_secs(12));
    let events = events_of(system, job);
    let done = events.iter().position(|event| event.what == "done").ok_or("no run is done")?;
    let again = events[done..].iter().find(|event| event.what == "start");
    Ok(again.map(|again| {
        let after = (again.at - events[done].at).as_millis();
        format!("TWICE: {task} starts as run {} on {} {after} ms after it has ended done", again.run, again.worker)
    }))
}

/// Asks for the upkeep of machines, one at a time.
fn put_wave(system: &System, machines: &[&str]) {
    let names = machines.iter().map(|machine| (*machine).into()).collect();
    let wave = obj([
        ("wave", 1.into()),
        ("machines", crate::json::Json::Arr(names)),
        ("durationS", 40.into()),
        ("maximum", 1.into()),
    ]);
    system.record.line(&format!("operator: op/wave/1 {wave}"));
    system.store.put("keyed.op", "wave/1", &wave.to_string());
}

/// An upkeep order gets no answer, its sender is killed, and the order is carried out late.
fn late_upkeep(system: &mut System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1800000000000001";
    system.world.lock().delay_upkeep = trouble;
    put_wave(system, &["m-0", "m-1", "m-2", "m-3"]);
    if trouble && !system.wait(8.0, |system| !system.world.lock().delay_upkeep) {
        return Err("no upkeep was ordered".to_owned());
    }
    accepted(system.submit(0, "/cut/", job, &[Step { lasts: true, work_ms: 700, ..Default::default() }]))?;
    if trouble {
        thread::sleep(Duration::from_millis(250));
        let holder = system.world.lock().holder.clone();
        let number = system.nodes.iter().position(|node| node.name == holder).ok_or("no holder")?;
        system.kill_node(number, Duration::from_millis(1500))?;
    }
    let done = |system: &System| {
        let status = system.store.newest("keyed.status", "wave/1").unwrap_or_default();
        status.contains("completed")
    };
    system.wait(60.0, done);
    let most = system.world.lock().most_down;
    Ok((most >= 1).then(|| format!("LIMIT: an upkeep begins while {most} machine of its wave is down, and `maximum` is 1")))
}
