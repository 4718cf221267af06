//! The path from a fleet file to a caller's answer, with each part as a process of its own.

use std::fs;
use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use http_types::{Method, Request, StatusCode};
use primrosewheel::prelude::*;

/// Longest wait for processes to start and configuration to spread.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for one response.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

struct ChildProcess {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl ChildProcess {
    fn start(binary: &str, args: &[&str]) -> Self {
        let mut child = Command::new(binary)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let lines = BufReader::new(stdout).lines();
        Self { child, lines }
    }

    fn standin(args: &[&str]) -> (Self, SocketAddr) {
        let mut process = Self::start(env!("CARGO_BIN_EXE_primrosewheel-standin"), args);
        let address = process.address();
        (process, address)
    }

    /// Reads the address at the end of the next line.
    fn address(&mut self) -> SocketAddr {
        let line = self.lines.next().expect("a line").expect("readable");
        line.rsplit(' ')
            .next()
            .and_then(|word| word.parse().ok())
            .expect("an address")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn call(address: SocketAddr, method: Method, path: &str, key: &str) -> (StatusCode, String) {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, url.as_str());
    request.insert_header("Authorization", format!("Bearer {key}"));
    request.set_body(r#"{"work_ms": 1}"#);
    let response = async_io::block_on(call_http(address, request, CALL_TIMEOUT)).expect("answer");
    (
        response.status(),
        String::from_utf8(response.body).expect("text"),
    )
}

fn wait_until_ready(admin: SocketAddr) {
    let deadline = Instant::now() + START_TIMEOUT;
    while call(admin, Method::Get, "/readyz", "").0 != StatusCode::Ok {
        assert!(Instant::now() < deadline, "entry is not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn request_is_served_through_every_process() {
    let (_log, log) = ChildProcess::standin(&["log", "--listen", "127.0.0.1:0"]);
    let backend_args = [
        "backend",
        "--listen",
        "127.0.0.1:0",
        "--worker",
        "cutting-01",
    ];
    let (_backend, backend) = ChildProcess::standin(&backend_args);
    let instance = format!("cutting-01={backend}");
    let list_args = [
        "instances",
        "--listen",
        "127.0.0.1:0",
        "--instance",
        &instance,
    ];
    let (_list, list) = ChildProcess::standin(&list_args);

    let folder = env!("CARGO_TARGET_TMPDIR");
    let mut entries: Vec<(ChildProcess, SocketAddr, SocketAddr)> = (1..=2)
        .map(|number| {
            let path = format!("{folder}/entry-{number}.toml");
            let settings = EntrySettings {
                entry: format!("entry-{number}").into(),
                zone: "cantabrico-a".into(),
                log,
                instances: list,
                ..EntrySettings::default()
            };
            fs::write(&path, toml::to_string(&settings).expect("settings")).expect("file");
            let binary = env!("CARGO_BIN_EXE_primrosewheel-entry");
            let mut process = ChildProcess::start(binary, &["--settings", &path]);
            let callers = process.address();
            let admin = process.address();
            (process, callers, admin)
        })
        .collect();

    let applied = Command::new(env!("CARGO_BIN_EXE_primrosewheel"))
        .args(["apply", "--log", &log.to_string(), "--operator", "ane"])
        .arg(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/examples/telar-norte.toml"
        ))
        .output()
        .expect("command runs");
    assert!(applied.status.success(), "{applied:?}");

    for (_, callers, admin) in &mut entries {
        wait_until_ready(*admin);
        let path = "/v1/queues/cutting-plans/tasks";
        let (status, body) = call(*callers, Method::Post, path, "bilbao-key");
        assert_eq!(
            (status, body.as_str()),
            (StatusCode::Ok, r#"{"work_ms": 1}"#)
        );
        let (status, body) = call(*callers, Method::Post, path, "nobody-key");
        assert_eq!(status, StatusCode::Unauthorized);
        assert!(body.contains(r#""run":"not_run""#), "{body}");
    }
}
