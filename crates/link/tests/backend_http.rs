//! What the gateway says of a run is true, whatever the backend server does with the connection.

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

/// Server that answers each connection's requests with the next of its scripts.
struct ScriptServer {
    address: SocketAddr,
    /// Gets a message for each connection that was closed.
    closed: Receiver<()>,
    thread: JoinHandle<usize>,
}

impl ScriptServer {
    /// Each script holds the responses of one connection; the server closes it after the last.
    fn start(scripts: Vec<Vec<String>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        let (sender, closed) = mpsc::sync_channel(scripts.len());
        let thread = thread::spawn(move || {
            let serve = |responses: Vec<String>| {
                let (mut stream, _) = listener.accept().expect("connection");
                let answered = responses.iter().filter(|text| answer(&mut stream, text));
                let requests = answered.count();
                drop(stream);
                // Only one of the tests waits for this.
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

    /// Waits for the end of all scripts and returns how many requests were read.
    fn requests(self) -> usize {
        self.thread.join().expect("server")
    }
}

fn answer(stream: &mut TcpStream, response: &str) -> bool {
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
fn outcome_is_what_the_response_proves() {
    let lines = [
        (
            "whole",
            response("200 OK", TASK, 4, "done"),
            RunOutcome::Answered(b"done".to_vec()),
        ),
        (
            "truncated",
            response("200 OK", TASK, 9, "done"),
            RunOutcome::Unknown,
        ),
        (
            "crossed",
            response("200 OK", TASK + 1, 4, "done"),
            RunOutcome::Unknown,
        ),
        (
            "crossed refusal",
            response("503 Service Unavailable", TASK + 1, 0, ""),
            RunOutcome::Unknown,
        ),
        (
            "refusal",
            response("503 Service Unavailable", TASK, 0, ""),
            RunOutcome::Busy,
        ),
        (
            "ended identity",
            response("410 Gone", TASK, 0, ""),
            RunOutcome::NotRun,
        ),
        (
            "lease",
            response("412 Precondition Failed", TASK, 0, ""),
            RunOutcome::LeaseEnded,
        ),
        (
            "known",
            response("409 Conflict", TASK, 0, ""),
            RunOutcome::Unknown,
        ),
        (
            "failed",
            response("500 Internal Server Error", TASK, 0, ""),
            RunOutcome::Failed,
        ),
        (
            "nonsense",
            "\u{1}\u{2}\r\n\r\n".to_owned(),
            RunOutcome::Unknown,
        ),
        ("nothing", String::new(), RunOutcome::Unknown),
        (
            "without a length",
            format!("HTTP/1.1 200 OK\r\nTask-Id: {TASK:032x}\r\n\r\n"),
            RunOutcome::Unknown,
        ),
        (
            "cut chunks",
            format!(
                "HTTP/1.1 200 OK\r\nTask-Id: {TASK:032x}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo"
            ),
            RunOutcome::Unknown,
        ),
    ];
    for (name, text, expected) in lines {
        let server = ScriptServer::start(vec![vec![text]]);
        let outcome = run(&gateway(PoolBounds::default()), server.address);
        assert_eq!(outcome, expected, "{name}");
        assert_eq!(server.requests(), 1, "{name}");
    }
}

#[test]
fn response_beyond_the_bound_is_discarded() {
    let server = ScriptServer::start(vec![vec![response("200 OK", TASK, 4, "done")]]);
    let bounds = PoolBounds {
        max_body: 3,
        ..PoolBounds::default()
    };
    assert_eq!(run(&gateway(bounds), server.address), RunOutcome::Unknown);
}

#[test]
fn refused_connection_is_certainly_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let outcome = run(&gateway(PoolBounds::default()), address);
    assert_eq!(outcome, RunOutcome::NotRun);
}

#[test]
fn connection_is_kept_for_further_runs() {
    let whole = || response("200 OK", TASK, 4, "done");
    let server = ScriptServer::start(vec![vec![whole(), whole(), whole()]]);
    let gateway = gateway(PoolBounds::default());
    for _ in 0..3 {
        let outcome = run(&gateway, server.address);
        assert_eq!(outcome, RunOutcome::Answered(b"done".to_vec()));
    }
    assert_eq!(server.requests(), 3);
}

#[test]
fn kept_connection_that_was_closed_or_spoiled_is_not_used_again() {
    let whole = response("200 OK", TASK, 4, "done");
    let doubled = format!("{whole}{whole}");
    for (name, first) in [("closed", whole.clone()), ("doubled", doubled)] {
        let server = ScriptServer::start(vec![vec![first], vec![whole.clone()]]);
        let gateway = gateway(PoolBounds::default());
        let answered = RunOutcome::Answered(b"done".to_vec());
        assert_eq!(run(&gateway, server.address), answered, "{name}");
        server.closed.recv().expect("closed");
        assert_eq!(run(&gateway, server.address), answered, "{name}");
    }
}

#[test]
fn runs_beyond_the_connections_of_a_worker_are_not_sent() {
    let bounds = PoolBounds {
        max_busy: 0,
        ..PoolBounds::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    assert_eq!(run(&gateway(bounds), address), RunOutcome::Busy);
    listener.set_nonblocking(true).expect("listener");
    assert!(listener.accept().is_err(), "no connection was made");
}
