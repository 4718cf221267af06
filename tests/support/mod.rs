//! Starts the binaries of this package as child processes of a test.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

use std::fs;
use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use http_types::{Method, Request, StatusCode};
use primrosewheel::prelude::*;
use rustix::process::{Pid, Signal, kill_process};

/// Maximum time until processes have started and applied the configuration.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval of the readiness check.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Child process that is killed when dropped.
pub struct ChildProcess {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

/// Entry instance in a child process, with its addresses.
pub struct TestEntry {
    pub process: ChildProcess,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
}

impl ChildProcess {
    fn start(binary: &str, args: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let lines = BufReader::new(stdout).lines();
        Self { child, lines }
    }

    fn standin(args: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::start(env!("CARGO_BIN_EXE_primrosewheel-standin"), args);
        let address = process.read_address();
        (process, address)
    }

    /// Starts a log service and returns its process and address.
    pub fn log() -> (Self, SocketAddr) {
        Self::standin(&["log", "--listen", "127.0.0.1:0"])
    }

    /// Starts a backend server for `worker` and returns its process and address.
    pub fn backend(worker: &str) -> (Self, SocketAddr) {
        Self::standin(&["backend", "--listen", "127.0.0.1:0", "--worker", worker])
    }

    /// Starts an instance list and returns its process and address.
    pub fn list(instances: &[(&str, SocketAddr)]) -> (Self, SocketAddr) {
        let instances: Vec<String> = instances
            .iter()
            .map(|(worker, address)| format!("{worker}={address}"))
            .collect();
        let mut args = vec!["instances", "--listen", "127.0.0.1:0"];
        for instance in &instances {
            args.extend(["--instance", instance]);
        }
        Self::standin(&args)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the child has not been waited for");
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        self.child
            .wait()
            .expect("the child process can be waited for")
    }

    /// Reads the address at the end of the next line.
    fn read_address(&mut self) -> SocketAddr {
        let line = self
            .lines
            .next()
            .expect("the process prints its address")
            .expect("the output can be read");
        line.rsplit(' ')
            .next()
            .and_then(|word| word.parse().ok())
            .expect("the line ends with an address")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestEntry {
    /// Starts an entry instance; `name` must be unique among the tests of the workspace.
    pub fn start(name: &str, zone: &str, log: SocketAddr, instances: SocketAddr) -> Self {
        let run = std::process::id();
        let path = format!("{}/{run}-{name}.toml", env!("CARGO_TARGET_TMPDIR"));
        let settings = EntrySettings {
            entry: name.into(),
            zone: zone.into(),
            log,
            instances,
            balancer_lag: Duration::from_millis(500),
            ..EntrySettings::default()
        };
        fs::write(
            &path,
            toml::to_string(&settings).expect("the settings serialize"),
        )
        .expect("the file can be written");
        let binary = env!("CARGO_BIN_EXE_primrosewheel-entry");
        let mut process = ChildProcess::start(binary, &["--settings", &path]);
        let callers = process.read_address();
        let admin = process.read_address();
        Self {
            process,
            callers,
            admin,
        }
    }
}

/// Applies the example fleet file of Telar Norte.
pub fn apply_fleet(log: SocketAddr) {
    let applied = Command::new(env!("CARGO_BIN_EXE_primrosewheel"))
        .args(["apply", "--log", &log.to_string(), "--operator", "ane"])
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/examples/telar-norte.toml"
        ))
        .output()
        .expect("the command runs");
    assert!(applied.status.success(), "{applied:?}");
}

/// Sends a request for a short task and returns the status and body of its response.
pub fn call(address: SocketAddr, method: Method, path: &str, key: &str) -> (StatusCode, String) {
    let body = r#"{"work_ms": 1}"#;
    let response = try_call(address, method, path, key, body, CALL_TIMEOUT);
    response.expect("the response is complete")
}

/// Sends a request and returns the status and body of its response.
pub fn try_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: &str,
    body: &str,
    timeout: Duration,
) -> Result<(StatusCode, String), CallError> {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, url.as_str());
    request.insert_header("Authorization", format!("Bearer {key}"));
    request.set_body(body);
    let response = async_io::block_on(call_http(address, request, timeout))?;
    let body = String::from_utf8(response.body.clone()).expect("the body is UTF-8");
    Ok((response.status(), body))
}

/// Waits until the entry instance reports that it is ready.
pub fn wait_until_ready(admin: SocketAddr) {
    let deadline = Instant::now() + START_TIMEOUT;
    while call(admin, Method::Get, "/readyz", "").0 != StatusCode::Ok {
        assert!(Instant::now() < deadline, "the entry instance is not ready");
        thread::sleep(POLL_INTERVAL);
    }
}
