//! An account's upper limit across two entry processes, one of which vanishes, and the log after it.

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
/// Longest wait for anything; only a failure lasts as long.
const BOUND: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(100);
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

/// A child that ends with the test; its output stays open as long.
struct ChildProcess {
    child: Child,
    _output: BufReader<ChildStdout>,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // It may have ended before.
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
        .expect("binary starts");
    let stdout = child.stdout.take().expect("stdout is piped");
    let mut output = BufReader::new(stdout);
    let mut line = String::new();
    output.read_line(&mut line).expect("a line");
    let address = line.trim().rsplit(' ').next().expect("a word");
    let address = address.parse().expect("an address");
    let process = ChildProcess {
        child,
        _output: output,
    };
    (process, address)
}

/// Returns the path of a file that no other run uses.
fn temporary(name: &str) -> String {
    let run = std::process::id();
    format!("{}/limits-{run}-{name}", env!("CARGO_TARGET_TMPDIR"))
}

fn start_entry(
    number: usize,
    log: SocketAddr,
    instances: SocketAddr,
) -> (ChildProcess, SocketAddr) {
    let path = temporary(&format!("{number}.toml"));
    let settings = EntrySettings {
        entry: format!("entry-{number}").into(),
        zone: ["a", "b"][number].into(),
        log,
        instances,
        ..EntrySettings::default()
    };
    fs::write(&path, toml::to_string(&settings).expect("settings")).expect("file");
    start(
        env!("CARGO_BIN_EXE_primrosewheel-entry"),
        &["--settings", &path],
    )
}

fn backend(worker: &str) -> BackendServer {
    BackendServer::start(&ServerSettings {
        address: ([127, 0, 0, 1], 0).into(),
        worker: worker.into(),
        slots: 8,
    })
    .expect("backend server")
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
    let response = async_io::block_on(call_http(address, request, BOUND)).ok()?;
    Some((response.status(), response.body))
}

fn submit(entry: SocketAddr, marker: &str) -> Option<StatusCode> {
    let body = format!(r#"{{"work_ms": 300, "marker": "{marker}"}}"#);
    call(entry, Method::Post, "/v1/queues/queue/tasks", &body).map(|(status, _)| status)
}

fn journal(servers: &[BackendServer]) -> Vec<JournalEntry> {
    let mut entries: Vec<JournalEntry> = servers
        .iter()
        .flat_map(|server| {
            let (_, body) =
                call(server.address(), Method::Get, "/v1/journal", "").expect("journal");
            serde_json::from_slice::<Vec<JournalEntry>>(&body).expect("entries")
        })
        .collect();
    // Where two clocks agree, an end counts before a start.
    entries.sort_by_key(|entry| (entry.at, entry.event == JournalEvent::Started));
    entries
}

/// Returns the most tasks that ran at the same time from `since` on.
fn most_running(entries: &[JournalEntry], since: SystemTime) -> usize {
    let mut running = 0_usize;
    let mut most = 0;
    for entry in entries {
        match entry.event {
            JournalEvent::Started => running += 1,
            JournalEvent::Finished | JournalEvent::Stopped => running -= 1,
        }
        if entry.at >= since {
            most = most.max(running);
        }
    }
    most
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + BOUND;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(PAUSE);
    }
}

/// Callers that submit one task after the other until they are told to stop.
struct CallerCrowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerCrowd {
    fn start(entry: SocketAddr, marker: &'static str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if submit(entry, marker) != Some(StatusCode::Ok) {
                        thread::sleep(PAUSE);
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
            thread.join().expect("caller");
        }
    }
}

#[test]
fn limit_holds_across_entries_and_comes_back_from_a_vanished_one() {
    let standin = env!("CARGO_BIN_EXE_primrosewheel-standin");
    let (log_process, log) = start(standin, &["log", "--listen", "127.0.0.1:0"]);
    let servers = [backend("w-a"), backend("w-b")];
    let workers = ["w-a", "w-b"].into_iter().zip(&servers);
    let list = workers.map(|(worker, server)| InstanceEntry {
        worker: worker.into(),
        address: server.address(),
        state: InstanceState::Live,
    });
    let list = InstanceList::start(([127, 0, 0, 1], 0).into(), list.collect()).expect("list");
    let digest = String::from(digest_key("key"));
    let file = temporary("fleet.toml");
    fs::write(&file, FLEET.replace("KEY", &digest)).expect("file");
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
        .expect("command runs");
    assert!(applied.status.success(), "{applied:?}");
    let (gone, first) = start_entry(0, log, list.address());
    let (_entry, second) = start_entry(1, log, list.address());

    let start = SystemTime::now();
    let crowds = [
        CallerCrowd::start(first, "0"),
        CallerCrowd::start(second, "1"),
    ];
    wait_for("both entries together reach the limit", || {
        let entries = journal(&servers);
        let has = |marker: &str| entries.iter().any(|e| e.marker.as_deref() == Some(marker));
        has("0") && has("1") && most_running(&entries, start) == LIMIT
    });

    drop(gone);
    let killed = SystemTime::now();
    let [idle, busy] = crowds;
    idle.stop();
    wait_for(
        "the other entry gets the permits of the vanished one",
        || {
            // What ran at the kill has ended two lease lengths later.
            most_running(&journal(&servers), killed + 4 * WORKER_LEASE_TTL) == LIMIT
        },
    );
    println!(
        "permits back after {:?}",
        killed.elapsed().unwrap_or_default()
    );

    drop(log_process);
    thread::sleep(FLOAT_VALIDITY + 2 * WORKER_LEASE_TTL);
    let before = journal(&servers).len();
    wait_for("floor permits go on without the log", || {
        journal(&servers).len() > before + 10
    });
    busy.stop();
    assert_eq!(most_running(&journal(&servers), start), LIMIT);
}
