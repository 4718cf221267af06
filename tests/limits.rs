//! Upper limit of an account across two entry instances; one of them and later the log are killed.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

use http_types::{Method, Request, StatusCode};
use primrosewheel::prelude::*;
use primrosewheel::standin::prelude::*;

const LIMIT: usize = 4;
const CALLERS: usize = 6;
/// Timeout of requests and conditions; elapses only on a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const FLEET: &str = r#"
fleet = "limits"
[[zones]]
id = "a"
[[zones]]
id = "b"
[[workers]]
id = "w-a"
zone = "a"
rack = "a1"
cores = 8
memory_gib = 8
slots = 8
connections = 64
[[workers]]
id = "w-b"
zone = "b"
rack = "b1"
cores = 8
memory_gib = 8
slots = 8
connections = 64
[[pools]]
id = "pool"
workers = ["w-a", "w-b"]
max_unavailable = 1
[[accounts]]
id = "account"
share = 1
limit = 4
[[accounts.keys]]
id = "key"
sha256 = "KEY"
[[accounts]]
id = "other"
share = 3
limit = 16
[[queues]]
id = "queue"
pool = "pool"
run_timeout = "10s"
deadline = "60s"
"#;

/// Child process that is killed when dropped. Its standard output stays open until then.
struct ChildProcess {
    child: Child,
    _output: BufReader<ChildStdout>,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(binary: &str, args: &[&str]) -> (ChildProcess, SocketAddr) {
    let mut child = Command::new(binary)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut output = BufReader::new(stdout);
    let mut line = String::new();
    output
        .read_line(&mut line)
        .expect("the process prints its address");
    let address = line
        .trim()
        .rsplit(' ')
        .next()
        .expect("the line is not empty");
    let address = address.parse().expect("the line ends with an address");
    let process = ChildProcess {
        child,
        _output: output,
    };
    (process, address)
}

/// Returns a file path that is unique to this test run.
fn temporary_path(name: &str) -> String {
    let run = std::process::id();
    format!("{}/limits-{run}-{name}", env!("CARGO_TARGET_TMPDIR"))
}

fn start_entry(
    number: usize,
    log: SocketAddr,
    instances: SocketAddr,
) -> (ChildProcess, SocketAddr) {
    let path = temporary_path(&format!("{number}.toml"));
    let settings = EntrySettings {
        entry: format!("entry-{number}").into(),
        zone: ["a", "b"][number].into(),
        log,
        instances,
        ..EntrySettings::default()
    };
    fs::write(
        &path,
        toml::to_string(&settings).expect("the settings serialize"),
    )
    .expect("the file can be written");
    start(
        env!("CARGO_BIN_EXE_primrosewheel-entry"),
        &["--settings", &path],
    )
}

fn start_backend(worker: &str) -> BackendServer {
    BackendServer::start(&ServerSettings {
        address: ([127, 0, 0, 1], 0).into(),
        worker: worker.into(),
        slots: 8,
    })
    .expect("the backend server starts")
}

fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<(StatusCode, Vec<u8>)> {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, url.as_str());
    request.insert_header("Authorization", "Bearer key");
    request.set_body(body);
    let response = async_io::block_on(call_http(address, request, TEST_TIMEOUT)).ok()?;
    Some((response.status(), response.body))
}

fn submit(entry: SocketAddr, marker: &str) -> Option<StatusCode> {
    let body = format!(r#"{{"work_ms": 300, "marker": "{marker}"}}"#);
    call(entry, Method::Post, "/v1/queues/queue/tasks", &body).map(|(status, _)| status)
}

fn read_journals(servers: &[BackendServer]) -> Vec<JournalEntry> {
    let mut entries: Vec<JournalEntry> = servers
        .iter()
        .flat_map(|server| {
            let (_, body) = call(server.address(), Method::Get, "/v1/journal", "")
                .expect("the journal is served");
            serde_json::from_slice::<Vec<JournalEntry>>(&body).expect("the journal is valid")
        })
        .collect();
    // Orders ends before starts of the same time, so that their tasks do not count as concurrent.
    entries.sort_by_key(|entry| (entry.at, entry.event == JournalEvent::Started));
    entries
}

/// Returns the maximum number of tasks that ran concurrently from `since` on.
fn max_running(entries: &[JournalEntry], since: SystemTime) -> usize {
    let mut running = 0_usize;
    let mut peak = 0;
    for entry in entries {
        match entry.event {
            JournalEvent::Started => running += 1,
            JournalEvent::Finished | JournalEvent::Stopped => running -= 1,
        }
        if entry.at >= since {
            peak = peak.max(running);
        }
    }
    peak
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Threads that each submit one task after the other until they are stopped.
struct CallerGroup {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerGroup {
    fn start(entry: SocketAddr, marker: &'static str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if submit(entry, marker) != Some(StatusCode::Ok) {
                        thread::sleep(POLL_INTERVAL);
                    }
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the caller thread does not panic");
        }
    }
}

#[test]
fn limit_holds_across_entries_and_after_one_is_killed() {
    let standin = env!("CARGO_BIN_EXE_primrosewheel-standin");
    let (log_process, log) = start(standin, &["log", "--listen", "127.0.0.1:0"]);
    let servers = [start_backend("w-a"), start_backend("w-b")];
    let workers = ["w-a", "w-b"].into_iter().zip(&servers);
    let list = workers.map(|(worker, server)| InstanceEntry {
        worker: worker.into(),
        address: server.address(),
        state: InstanceState::Live,
    });
    let list = InstanceList::start(([127, 0, 0, 1], 0).into(), list.collect())
        .expect("the instance list starts");
    let digest = String::from(digest_key("key"));
    let file = temporary_path("fleet.toml");
    fs::write(&file, FLEET.replace("KEY", &digest)).expect("the file can be written");
    let applied = Command::new(env!("CARGO_BIN_EXE_primrosewheel"))
        .args([
            "apply",
            "--log",
            &log.to_string(),
            "--operator",
            "ane",
            &file,
        ])
        .output()
        .expect("the command runs");
    assert!(applied.status.success(), "{applied:?}");
    let (killed_entry, first) = start_entry(0, log, list.address());
    let (_entry, second) = start_entry(1, log, list.address());

    let start = SystemTime::now();
    let groups = [
        CallerGroup::start(first, "0"),
        CallerGroup::start(second, "1"),
    ];
    wait_for(
        "both entry instances run tasks and together reach the limit",
        || {
            let entries = read_journals(&servers);
            let started = |marker: &str| {
                entries
                    .iter()
                    .any(|entry| entry.marker.as_deref() == Some(marker))
            };
            started("0") && started("1") && max_running(&entries, start) == LIMIT
        },
    );

    drop(killed_entry);
    let killed_at = SystemTime::now();
    let [killed_callers, remaining_callers] = groups;
    killed_callers.stop();
    wait_for(
        "the remaining entry instance obtains the permits of the killed one",
        || {
            // Tasks that ran at the kill have ended after two lease times.
            max_running(&read_journals(&servers), killed_at + 4 * WORKER_LEASE_TTL) == LIMIT
        },
    );
    println!(
        "permits back after {:?}",
        killed_at.elapsed().unwrap_or_default()
    );

    drop(log_process);
    thread::sleep(FLOAT_VALIDITY + 2 * WORKER_LEASE_TTL);
    let before = read_journals(&servers).len();
    wait_for(
        "tasks with floor permits still start without the log",
        || read_journals(&servers).len() > before + 10,
    );
    remaining_callers.stop();
    assert_eq!(max_running(&read_journals(&servers), start), LIMIT);
}
