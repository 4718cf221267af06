//! The cases.

use std::sync::atomic::{AtomicI32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::obj;
use crate::record::Record;
use crate::system::{POOL, System};
use crate::world::{Event, Step, unix_ms};

/// `cancel_ms` of the site.
const CANCEL: Duration = Duration::from_millis(3000);
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

/// Sends SIGTERM to a node process.
pub fn terminate(id: u32) {
    // SAFETY: a plain system call.
    unsafe { kill(id as i32, SIGTERM) };
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
    let (nodes, workers) = if case == "12" { (4, 4) } else { (3, 4) };
    record.line(&format!("case {case}, trouble {trouble}"));
    let mut system = System::start(record, nodes, workers)?;
    let outcome = match case {
        "11" => foreign_entry(&system, trouble),
        "12" => early_cancellation(&mut system, trouble),
        "13" => gang_checkpoints(&system, trouble),
        "14" => late_upkeep(&mut system, trouble),
        "15" => extended_wave(&system, trouble),
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

/// The worker of one member of a gang crashes; the gang starts again from its checkpoint.
fn gang_checkpoints(system: &System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1300000000000001";
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

/// An upkeep order gets no answer, its sender is stopped and started in turn, and the order is carried out
/// late.
fn late_upkeep(system: &mut System, trouble: bool) -> Result<Option<String>, String> {
    let job = "1400000000000001";
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
        system.roll_node(number)?;
    }
    let done = |system: &System| {
        let status = system.store.newest("keyed.status", "wave/1").unwrap_or_default();
        status.contains("completed")
    };
    system.wait(60.0, done);
    let most = system.world.lock().most_down;
    Ok((most >= 1).then(|| format!("LIMIT: an upkeep begins while {most} machine of its wave is down, and `maximum` is 1")))
}

/// A submission without an answer is taken in late, after its job has been cancelled. The owner is killed
/// just before the cancel.
fn early_cancellation(system: &mut System, trouble: bool) -> Result<Option<String>, String> {
    let (earlier, job) = ("1200000000000001", "1200000000000002");
    accepted(system.submit(0, "/cut/", earlier, &[Step { work_ms: 500, ..Default::default() }]))?;
    if !system.wait(5.0, |system| system.state("/cut/", earlier) == "completed") {
        return Err("the first job does not end".to_owned());
    }
    thread::sleep(Duration::from_millis(500));
    let owner = system.last_writer();
    let client = (owner + 1) % system.nodes.len();
    if trouble {
        system.set_late(client, true);
    }
    let lasting = Step { lasts: true, work_ms: 700, ..Default::default() };
    let status = system.submit(client, "/cut/", job, &[lasting]);
    if trouble {
        system.set_late(client, false);
        if matches!(status, 200 | 429 | 503) {
            return Err(format!("the job was answered {status}"));
        }
        system.stop_node(owner);
    }
    // Right after the answer, the owner may not have read an accepted job yet.
    thread::sleep(Duration::from_millis(200));
    let (status, _) = system.call(client, "DELETE", "/cut/", job, "");
    if status != 200 {
        return Err(format!("the cancel was answered {status}"));
    }
    let at = Instant::now();
    if trouble {
        thread::sleep(Duration::from_millis(3500));
        system.restart_node(owner)?;
    }
    thread::sleep(Duration::from_secs(14));
    let late = starts_of(system, job).into_iter().find(|start| start.at > at + CANCEL.max(STABLE));
    let runs = running_count(system, &format!("{job}.0.0.0"));
    let state = system.state("/cut/", job);
    Ok(late.map(|start| {
        let after = (start.at - at).as_millis();
        format!(
            "UNASKED: {} starts {after} ms after the cancelling of its job was answered 200; the job is shown as {state}, {runs} runs of it are at work 17 s after that",
            start.task
        )
    }))
}
