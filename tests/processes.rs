//! Responses to callers under load while entry instances are killed, suspended and shut down.
//!
//! Each response must match the runs of its task in the journals of the backend servers.

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
/// Number of answered requests between two faults.
const ANSWERS_BETWEEN_FAULTS: usize = 150;
/// Capacity of the channel of outcomes; far above the number of requests in a test, so that no
/// caller blocks.
const MAX_PENDING_OUTCOMES: usize = 65_536;
const TASKS: &str = "/v1/queues/cutting-plans/tasks";
const KEY: &str = "bilbao-key";
/// Timeout of a request; longer than `SUSPEND_TIME`.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a readiness check, after which the balancer considers an entry instance not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of the readiness checks; well below the `balancer_lag` setting of the entry instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a caller before it retries when no entry instance is ready.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Minimum time for which an entry instance is suspended; longer than a worker lease, so that its
/// leases expire.
const SUSPEND_TIME: Duration = Duration::from_millis(2_500);
const WORKERS: [&str; 4] = ["cutting-01", "cutting-02", "cutting-03", "cutting-04"];
const ZONES: [&str; 4] = [
    "cantabrico-a",
    "cantabrico-b",
    "cantabrico-c",
    "cantabrico-d",
];
/// Index of the entry instance that is killed.
const KILLED: usize = 0;
/// Index of the entry instance that is suspended.
const SUSPENDED: usize = 1;
/// Index of the entry instance that is shut down gracefully.
const STOPPED: usize = 2;

/// Load balancer that routes callers to entry instances that were ready at the last check.
struct Balancer {
    /// Caller address and admin address of each entry instance.
    entries: Vec<(SocketAddr, SocketAddr)>,
    ready: Vec<AtomicBool>,
    stop: AtomicBool,
}

/// Outcome of a request, which its marker identifies.
#[derive(Debug)]
struct CallOutcome {
    marker: String,
    entry: usize,
    result: CallResult,
}

#[derive(Debug)]
enum CallResult {
    Answered(String),
    Refused(String),
    Unanswered,
}

impl Balancer {
    /// Returns the first ready entry instance, starting at the index of the caller.
    fn pick(&self, caller: usize) -> Option<usize> {
        let count = self.entries.len();
        let mut candidates = (0..count).map(|step| (caller + step) % count);
        candidates.find(|entry| self.ready[*entry].load(Ordering::Relaxed))
    }

    fn check_readiness(&self, entry: usize) {
        let (_, admin) = self.entries[entry];
        while !self.stop.load(Ordering::Relaxed) {
            let answer = try_call(admin, Method::Get, "/readyz", "", "", CHECK_TIMEOUT);
            let ready = answer.is_ok_and(|(status, _)| status == StatusCode::Ok);
            self.ready[entry].store(ready, Ordering::Relaxed);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Sends one request after the other until the balancer is stopped.
    fn send_requests(&self, caller: usize, outcomes: &mpsc::SyncSender<CallOutcome>) {
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(entry) = self.pick(caller) else {
                thread::sleep(RETRY_DELAY);
                continue;
            };
            number += 1;
            let marker = format!("{caller}-{number}");
            let body = format!(r#"{{"marker": "{marker}", "work_ms": {}}}"#, number % 40);
            let (callers, _) = self.entries[entry];
            let answer = try_call(callers, Method::Post, TASKS, KEY, &body, CALL_TIMEOUT);
            let result = CallResult::from_response(answer);
            let _ = outcomes.send(CallOutcome {
                marker,
                entry,
                result,
            });
        }
    }
}

impl CallResult {
    fn from_response(response: Result<(StatusCode, String), CallError>) -> Self {
        match response {
            Ok((StatusCode::Ok, body)) => Self::Answered(body),
            Ok((_, body)) => {
                let problem: serde_json::Value =
                    serde_json::from_str(&body).expect("the body is a problem document");
                Self::Refused(
                    problem["run"]
                        .as_str()
                        .expect("the field `run` is a string")
                        .to_owned(),
                )
            }
            Err(_) => Self::Unanswered,
        }
    }
}

/// Collects outcomes until `ANSWERS_BETWEEN_FAULTS` further requests have been answered.
fn wait_for_answers(outcomes: &mpsc::Receiver<CallOutcome>, collected: &Mutex<Vec<CallOutcome>>) {
    let mut answers = 0;
    while answers < ANSWERS_BETWEEN_FAULTS {
        let outcome = outcomes.recv().expect("callers are running");
        answers += usize::from(matches!(outcome.result, CallResult::Answered(_)));
        collected
            .lock()
            .expect("the lock is not poisoned")
            .push(outcome);
    }
}

/// Returns the numbers of starts and completions of each marker on all workers.
fn runs(backends: &[SocketAddr]) -> HashMap<String, (usize, usize)> {
    let mut runs: HashMap<String, (usize, usize)> = HashMap::new();
    for backend in backends {
        let (_, body) = call(*backend, Method::Get, "/v1/journal", "");
        let entries: Vec<JournalEntry> = serde_json::from_str(&body).expect("the journal is valid");
        let mut markers = HashMap::new();
        for entry in entries {
            let marker = entry.marker.or_else(|| markers.get(&entry.task).cloned());
            let marker: String = marker.expect("each end follows a start");
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

/// Checks that the outcome of a request matches the runs on the workers.
fn check_outcome(outcome: &CallOutcome, runs: &HashMap<String, (usize, usize)>) {
    let (started, finished) = runs.get(&outcome.marker).copied().unwrap_or_default();
    assert!(started <= 1, "the task ran {started} times: {outcome:?}");
    match &outcome.result {
        CallResult::Answered(body) => {
            assert_eq!((started, finished), (1, 1), "{outcome:?}");
            assert!(
                body.contains(&format!("\"{}\"", outcome.marker)),
                "{outcome:?}"
            );
        }
        CallResult::Refused(run) => match run.as_str() {
            "not_run" => assert_eq!(started, 0, "{outcome:?}"),
            "ran" => assert_eq!(started, 1, "{outcome:?}"),
            _ => {}
        },
        CallResult::Unanswered => assert_eq!(outcome.entry, KILLED, "no response: {outcome:?}"),
    }
}

#[test]
fn responses_match_runs_while_entries_are_killed_suspended_and_stopped() {
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
    let collected = Mutex::new(Vec::new());
    let exit_status = thread::scope(|scope| {
        let (sender, receiver) = mpsc::sync_channel(MAX_PENDING_OUTCOMES);
        for entry in 0..entries.len() {
            let balancer = &balancer;
            scope.spawn(move || balancer.check_readiness(entry));
        }
        for caller in 0..CALLERS {
            let (balancer, sender) = (&balancer, sender.clone());
            scope.spawn(move || balancer.send_requests(caller, &sender));
        }
        drop(sender);
        wait_for_answers(&receiver, &collected);
        entries[KILLED].process.signal(Signal::KILL);
        wait_for_answers(&receiver, &collected);
        entries[SUSPENDED].process.signal(Signal::STOP);
        thread::sleep(SUSPEND_TIME);
        wait_for_answers(&receiver, &collected);
        entries[SUSPENDED].process.signal(Signal::CONT);
        wait_for_answers(&receiver, &collected);
        entries[STOPPED].process.signal(Signal::TERM);
        let exit_status = entries[STOPPED].process.wait();
        wait_for_answers(&receiver, &collected);
        balancer.stop.store(true, Ordering::Relaxed);
        collected
            .lock()
            .expect("the lock is not poisoned")
            .extend(receiver.iter());
        exit_status
    });
    assert!(exit_status.success(), "{exit_status}");

    let runs = runs(&addresses);
    let collected = collected.into_inner().expect("the lock is not poisoned");
    collected
        .iter()
        .for_each(|outcome| check_outcome(outcome, &runs));
    let answered = collected
        .iter()
        .filter(|outcome| matches!(outcome.result, CallResult::Answered(_)));
    println!(
        "{} of {} requests answered",
        answered.count(),
        collected.len()
    );
}
