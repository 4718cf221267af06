//! Tests that the gateway reports the correct outcome of a run for every kind of response or
//! connection failure.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_worker::prelude::*;

const TASK: TaskId = 0xabc;
const RUN_TIMEOUT: Duration = Duration::from_secs(10);

/// Server that answers the requests of each connection with the next of its scripts.
struct ScriptedServer {
    address: SocketAddr,
    /// Receives a message for each connection that the server closed.
    closed: Receiver<()>,
    thread: JoinHandle<usize>,
}

impl ScriptedServer {
    /// Starts the server. Each script holds the responses of one connection, which the server
    /// closes after the last one.
    fn start(scripts: Vec<Vec<String>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        let (sender, closed) = mpsc::sync_channel(scripts.len());
        let thread = thread::spawn(move || {
            let serve = |responses: Vec<String>| {
                let (mut stream, _) = listener.accept().expect("connection");
                let served = responses.iter().filter(|text| respond(&mut stream, text));
                let requests = served.count();
                drop(stream);
                // Only one of the tests receives this message.
                let _ = sender.send(());
                requests
            };
            scripts.into_iter().map(serve).sum()
        });
        Self {
            address,
            closed,
            thread,
        }
    }

    /// Waits for the end of all scripts and returns the number of requests received.
    fn join(self) -> usize {
        self.thread.join().expect("server")
    }
}

fn respond(stream: &mut TcpStream, response: &str) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"}") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        request.push(byte[0]);
    }
    stream.write_all(response.as_bytes()).is_ok()
}

fn gateway(bounds: PoolBounds) -> HttpBackend {
    HttpBackend::new(HttpPool::new(bounds, Arc::new(SystemClock)))
}

fn run(gateway: &HttpBackend, address: SocketAddr) -> RunOutcome {
    let start = TaskStart {
        task: TASK,
        worker: "cutting-01".into(),
        address,
        run_timeout: RUN_TIMEOUT,
        permit: None,
    };
    let payload = Arc::from(b"{}".as_slice());
    let grant = LeaseGrant {
        lease: 1,
        renewal: 0,
        ttl: WORKER_LEASE_TTL,
        boot: 1,
    };
    let run = RunStart {
        start,
        class: LeaseClass::Always,
        payload,
    };
    async_io::block_on(gateway.run(run, grant))
}

fn response(status: &str, task: TaskId, declared: usize, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nTask-Id: {task:032x}\r\nContent-Length: {declared}\r\n\r\n{body}")
}

#[test]
fn response_determines_run_outcome() {
    let cases = [
        (
            "complete",
            response("200 OK", TASK, 4, "done"),
            RunOutcome::Answered(b"done".to_vec()),
        ),
        (
            "truncated body",
            response("200 OK", TASK, 9, "done"),
            RunOutcome::Unknown,
        ),
        (
            "response for another task",
            response("200 OK", TASK + 1, 4, "done"),
            RunOutcome::Unknown,
        ),
        (
            "refusal for another task",
            response("503 Service Unavailable", TASK + 1, 0, ""),
            RunOutcome::Unknown,
        ),
        (
            "no free slot",
            response("503 Service Unavailable", TASK, 0, ""),
            RunOutcome::Busy,
        ),
        (
            "stopped before the start",
            response("410 Gone", TASK, 0, ""),
            RunOutcome::NotRun,
        ),
        (
            "lease ended",
            response("412 Precondition Failed", TASK, 0, ""),
            RunOutcome::LeaseEnded,
        ),
        (
            "known task id",
            response("409 Conflict", TASK, 0, ""),
            RunOutcome::Unknown,
        ),
        (
            "task failed",
            response("500 Internal Server Error", TASK, 0, ""),
            RunOutcome::Failed,
        ),
        (
            "invalid response",
            "\u{1}\u{2}\r\n\r\n".to_owned(),
            RunOutcome::Unknown,
        ),
        ("empty response", String::new(), RunOutcome::Unknown),
        (
            "no content length",
            format!("HTTP/1.1 200 OK\r\nTask-Id: {TASK:032x}\r\n\r\n"),
            RunOutcome::Unknown,
        ),
        (
            "truncated chunk",
            format!(
                "HTTP/1.1 200 OK\r\nTask-Id: {TASK:032x}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo"
            ),
            RunOutcome::Unknown,
        ),
    ];
    for (name, text, expected) in cases {
        let server = ScriptedServer::start(vec![vec![text]]);
        let outcome = run(&gateway(PoolBounds::default()), server.address);
        assert_eq!(outcome, expected, "{name}");
        assert_eq!(server.join(), 1, "{name}");
    }
}

#[test]
fn oversized_response_is_discarded() {
    let server = ScriptedServer::start(vec![vec![response("200 OK", TASK, 4, "done")]]);
    let bounds = PoolBounds {
        max_body: 3,
        ..PoolBounds::default()
    };
    assert_eq!(run(&gateway(bounds), server.address), RunOutcome::Unknown);
}

#[test]
fn task_is_not_run_when_connection_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let outcome = run(&gateway(PoolBounds::default()), address);
    assert_eq!(outcome, RunOutcome::NotRun);
}

#[test]
fn connection_is_reused_for_further_runs() {
    let complete = || response("200 OK", TASK, 4, "done");
    let server = ScriptedServer::start(vec![vec![complete(), complete(), complete()]]);
    let gateway = gateway(PoolBounds::default());
    for _ in 0..3 {
        let outcome = run(&gateway, server.address);
        assert_eq!(outcome, RunOutcome::Answered(b"done".to_vec()));
    }
    assert_eq!(server.join(), 3);
}

#[test]
fn closed_or_corrupted_connection_is_not_reused() {
    let complete = response("200 OK", TASK, 4, "done");
    let duplicated = format!("{complete}{complete}");
    for (name, first) in [
        ("closed", complete.clone()),
        ("duplicate response", duplicated),
    ] {
        let server = ScriptedServer::start(vec![vec![first], vec![complete.clone()]]);
        let gateway = gateway(PoolBounds::default());
        let answered = RunOutcome::Answered(b"done".to_vec());
        assert_eq!(run(&gateway, server.address), answered, "{name}");
        server.closed.recv().expect("closed");
        assert_eq!(run(&gateway, server.address), answered, "{name}");
    }
}

#[test]
fn run_is_not_sent_when_all_connections_are_in_use() {
    let bounds = PoolBounds {
        max_busy: 0,
        ..PoolBounds::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    assert_eq!(run(&gateway(bounds), address), RunOutcome::Busy);
    listener.set_nonblocking(true).expect("listener");
    assert!(listener.accept().is_err(), "a connection was opened");
}
