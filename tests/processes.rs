//! Entry instances are killed, frozen and stopped under requests; every caller hears the truth.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use http_types::{Method, StatusCode};
use primrosewheel::prelude::*;
use primrosewheel::standin::prelude::*;
use rustix::process::Signal;
use support::{ChildProcess, TestEntry, apply_fleet, call, try_call, wait_until_ready};

const CALLERS: usize = 16;
/// Answers between two faults.
const ANSWERS_BETWEEN: usize = 150;
/// Ends of requests that may wait to be read; far more than one run brings, so no caller waits.
const MAX_HEARD: usize = 65_536;
const TASKS: &str = "/v1/queues/cutting-plans/tasks";
const KEY: &str = "bilbao-key";
/// Longer than a frozen entry instance stays frozen.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// A balancer takes an entry instance that answers later than this for not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause of the balancer between two checks; well below the lag that the entry instances expect.
const CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a caller without an entry instance to go to.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Longer than a worker's lease, so that leases lapse while their holder is frozen.
const FROZEN: Duration = Duration::from_millis(2_500);
const WORKERS: [&str; 4] = ["cutting-01", "cutting-02", "cutting-03", "cutting-04"];
const ZONES: [&str; 4] = [
    "cantabrico-a",
    "cantabrico-b",
    "cantabrico-c",
    "cantabrico-d",
];
const KILLED: usize = 0;
const FROZEN_ONE: usize = 1;
const GRACEFUL: usize = 2;

/// Sends callers to entry instances that were ready at the last check.
struct Balancer {
    entries: Vec<(SocketAddr, SocketAddr)>,
    ready: Vec<AtomicBool>,
    stop: AtomicBool,
}

/// What a caller heard for its marker.
#[derive(Debug)]
struct Heard {
    marker: String,
    entry: usize,
    end: CallEnd,
}

#[derive(Debug)]
enum CallEnd {
    Answered(String),
    Refused(String),
    Unanswered,
}

impl Balancer {
    /// Returns the caller's own entry instance, or the next one that is ready.
    fn pick(&self, caller: usize) -> Option<usize> {
        let count = self.entries.len();
        let mut turns = (0..count).map(|turn| (caller + turn) % count);
        turns.find(|entry| self.ready[*entry].load(Ordering::Relaxed))
    }

    fn check(&self, entry: usize) {
        let (_, admin) = self.entries[entry];
        while !self.stop.load(Ordering::Relaxed) {
            let answer = try_call(admin, Method::Get, "/readyz", "", "", CHECK_TIMEOUT);
            let ready = answer.is_ok_and(|(status, _)| status == StatusCode::Ok);
            self.ready[entry].store(ready, Ordering::Relaxed);
            thread::sleep(CHECK_PAUSE);
        }
    }

    /// Sends one request after the other until the test stops.
    fn call_on(&self, caller: usize, heard: &mpsc::SyncSender<Heard>) {
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(entry) = self.pick(caller) else {
                thread::sleep(CALLER_PAUSE);
                continue;
            };
            number += 1;
            let marker = format!("{caller}-{number}");
            let body = format!(r#"{{"marker": "{marker}", "work_ms": {}}}"#, number % 40);
            let (callers, _) = self.entries[entry];
            let answer = try_call(callers, Method::Post, TASKS, KEY, &body, CALL_TIMEOUT);
            let end = CallEnd::of(answer);
            let _ = heard.send(Heard { marker, entry, end });
        }
    }
}

impl CallEnd {
    fn of(answer: Result<(StatusCode, String), CallError>) -> Self {
        match answer {
            Ok((StatusCode::Ok, body)) => Self::Answered(body),
            Ok((_, body)) => {
                let problem: serde_json::Value =
                    serde_json::from_str(&body).expect("problem document");
                Self::Refused(problem["run"].as_str().expect("text").to_owned())
            }
            Err(_) => Self::Unanswered,
        }
    }
}

/// Takes in what callers hear until so many more answers have come.
fn wait_for_answers(heard: &mpsc::Receiver<Heard>, all: &Mutex<Vec<Heard>>) {
    let mut answers = 0;
    while answers < ANSWERS_BETWEEN {
        let one = heard.recv().expect("callers");
        answers += usize::from(matches!(one.end, CallEnd::Answered(_)));
        all.lock().expect("list").push(one);
    }
}

/// Returns how often each marker started and finished, over all workers.
fn runs(backends: &[SocketAddr]) -> HashMap<String, (usize, usize)> {
    let mut runs: HashMap<String, (usize, usize)> = HashMap::new();
    for backend in backends {
        let (_, body) = call(*backend, Method::Get, "/v1/journal", "");
        let entries: Vec<JournalEntry> = serde_json::from_str(&body).expect("journal");
        let mut markers = HashMap::new();
        for entry in entries {
            let marker = entry.marker.or_else(|| markers.get(&entry.task).cloned());
            let marker: String = marker.expect("a start before each end");
            markers.insert(entry.task, marker.clone());
            let counts = runs.entry(marker).or_default();
            match entry.event {
                JournalEvent::Started => counts.0 += 1,
                JournalEvent::Finished => counts.1 += 1,
                JournalEvent::Stopped => {}
            }
        }
    }
    runs
}

/// Checks one caller's end against what the workers ran.
fn check(heard: &Heard, runs: &HashMap<String, (usize, usize)>) {
    let (started, finished) = runs.get(&heard.marker).copied().unwrap_or_default();
    assert!(started <= 1, "ran {started} times: {heard:?}");
    match &heard.end {
        CallEnd::Answered(body) => {
            assert_eq!((started, finished), (1, 1), "{heard:?}");
            assert!(body.contains(&format!("\"{}\"", heard.marker)), "{heard:?}");
        }
        CallEnd::Refused(run) => match run.as_str() {
            "not_run" => assert_eq!(started, 0, "{heard:?}"),
            "ran" => assert_eq!(started, 1, "{heard:?}"),
            _ => {}
        },
        CallEnd::Unanswered => assert_eq!(heard.entry, KILLED, "cut off: {heard:?}"),
    }
}

#[test]
fn every_caller_hears_the_truth_while_entries_are_killed_frozen_and_stopped() {
    let (_log, log) = ChildProcess::log();
    let backends: Vec<_> = WORKERS.map(ChildProcess::backend).into_iter().collect();
    let addresses: Vec<SocketAddr> = backends.iter().map(|(_, address)| *address).collect();
    let instances: Vec<_> = WORKERS.into_iter().zip(addresses.iter().copied()).collect();
    let (_list, list) = ChildProcess::list(&instances);
    let mut entries: Vec<TestEntry> = ZONES
        .iter()
        .map(|zone| TestEntry::start(&format!("processes-{zone}"), zone, log, list))
        .collect();
    apply_fleet(log);
    entries
        .iter()
        .for_each(|entry| wait_until_ready(entry.admin));

    let balancer = Balancer {
        entries: entries
            .iter()
            .map(|entry| (entry.callers, entry.admin))
            .collect(),
        ready: entries.iter().map(|_| AtomicBool::new(true)).collect(),
        stop: AtomicBool::new(false),
    };
    let all = Mutex::new(Vec::new());
    let graceful = thread::scope(|scope| {
        let (sender, heard) = mpsc::sync_channel(MAX_HEARD);
        for entry in 0..entries.len() {
            let balancer = &balancer;
            scope.spawn(move || balancer.check(entry));
        }
        for caller in 0..CALLERS {
            let (balancer, sender) = (&balancer, sender.clone());
            scope.spawn(move || balancer.call_on(caller, &sender));
        }
        drop(sender);
        wait_for_answers(&heard, &all);
        entries[KILLED].process.signal(Signal::KILL);
        wait_for_answers(&heard, &all);
        entries[FROZEN_ONE].process.signal(Signal::STOP);
        thread::sleep(FROZEN);
        wait_for_answers(&heard, &all);
        entries[FROZEN_ONE].process.signal(Signal::CONT);
        wait_for_answers(&heard, &all);
        entries[GRACEFUL].process.signal(Signal::TERM);
        let graceful = entries[GRACEFUL].process.wait();
        wait_for_answers(&heard, &all);
        balancer.stop.store(true, Ordering::Relaxed);
        all.lock().expect("list").extend(heard.iter());
        graceful
    });
    assert!(graceful.success(), "{graceful}");

    let runs = runs(&addresses);
    let all = all.into_inner().expect("list");
    all.iter().for_each(|heard| check(heard, &runs));
    let answered = all
        .iter()
        .filter(|heard| matches!(heard.end, CallEnd::Answered(_)));
    println!("{} of {} requests answered", answered.count(), all.len());
}
