//! Tests of the HTTP server: its limits, its responses and its graceful shutdown.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Request, Response, StatusCode};
use pw_link::prelude::*;
use pw_ring::prelude::*;

const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const HEAD: &str = "POST /echo HTTP/1.1\r\nHost: entry\r\n";

/// Responds with the body of the request; a request with the body "wait" gets no response, and the
/// handler reports its start and its cancellation.
struct EchoHandler {
    events: RingSender<HandlerEvent>,
}

#[derive(Debug, PartialEq, Eq)]
enum HandlerEvent {
    Started,
    Dropped,
}

struct DropReporter(RingSender<HandlerEvent>);

impl Drop for DropReporter {
    fn drop(&mut self) {
        _ = self.0.offer(HandlerEvent::Dropped);
    }
}

impl HttpHandler for EchoHandler {
    fn handle(&self, mut request: Request) -> BoxedLocal<Response> {
        let events = self.events.clone();
        async move {
            let body = request.body_bytes().await.unwrap_or_default();
            if body == b"wait" {
                let reporter = DropReporter(events.clone());
                _ = events.offer(HandlerEvent::Started);
                std::future::pending::<()>().await;
                drop(reporter);
            }
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response
        }
        .boxed_local()
    }
}

struct TestServer {
    address: SocketAddr,
    phases: RingSender<ServePhase>,
    events: RingReceiver<HandlerEvent>,
    thread: DutyThread,
}

impl TestServer {
    fn start(bounds: ServerBounds) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        let (phases, phase_receiver) = ring("phases", 4);
        let (sender, events) = ring("seen", 16);
        let thread = DutyThread::spawn("http", move |spawner| async move {
            let server = HttpServer {
                listener,
                spawner,
                handler: Rc::new(EchoHandler { events: sender }),
                bounds,
            };
            server.serve(phase_receiver).await.expect("listener");
        });
        Self {
            address,
            phases,
            events,
            thread: thread.expect("thread"),
        }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("server listens")
    }

    fn set_phase(&self, phase: ServePhase) {
        async_io::block_on(self.phases.send(phase)).expect("server runs");
    }

    fn next_event(&self) -> Option<HandlerEvent> {
        async_io::block_on(self.events.recv())
    }
}

fn post(body: &str) -> String {
    format!("{HEAD}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends `text` and returns everything that the server sends before it closes the connection.
fn exchange(stream: &mut TcpStream, text: &str) -> String {
    // The server may close the connection early when it refuses the request.
    _ = stream.write_all(text.as_bytes());
    read_all(stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    _ = stream.read_to_end(&mut response);
    String::from_utf8(response).expect("text")
}

/// Reads one response whose body ends with `end`.
fn read_response(stream: &mut TcpStream, end: &str) -> String {
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(end.as_bytes()) {
        assert_eq!(stream.read(&mut byte).expect("open"), 1, "closed early");
        response.push(byte[0]);
    }
    String::from_utf8(response).expect("text")
}

#[test]
fn request_over_a_limit_is_refused_with_the_matching_status() {
    let bounds = ServerBounds {
        max_body: 8,
        max_body_total: 6,
        head_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        ..ServerBounds::default()
    };
    let long = "x".repeat(9_000);
    let cases = [
        ("invalid head", "\u{1}\u{2}\r\n\r\n".to_owned(), 400),
        ("slow head", HEAD.to_owned(), 408),
        ("large head", format!("{HEAD}Large: {long}\r\n\r\n"), 431),
        (
            "slow body",
            format!("{HEAD}Content-Length: 4\r\n\r\nab"),
            408,
        ),
        (
            "large body",
            format!("{HEAD}Content-Length: 9\r\n\r\n"),
            413,
        ),
        (
            "body over the total limit",
            format!("{HEAD}Content-Length: 7\r\n\r\n"),
            503,
        ),
        (
            "chunked body over the total limit",
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n"),
            503,
        ),
    ];
    let server = TestServer::start(bounds);
    for (name, text, status) in cases {
        let response = exchange(&mut server.connect(), &text);
        let expected = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&expected), "{name}: {response}");
    }
    let response = exchange(
        &mut server.connect(),
        &format!("{HEAD}Connection: close\r\n\r\n"),
    );
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}

#[test]
fn truncated_body_is_refused() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    let text = format!("{HEAD}Content-Length: 4\r\n\r\nab");
    stream.write_all(text.as_bytes()).expect("open");
    stream.shutdown(Shutdown::Write).expect("open");
    let response = read_all(&mut stream);
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
}

#[test]
fn connections_over_the_limit_are_refused() {
    let bounds = ServerBounds {
        max_connections: 2,
        ..ServerBounds::default()
    };
    let server = TestServer::start(bounds);
    let mut open = [server.connect(), server.connect()];
    for stream in &mut open {
        stream.write_all(post("one").as_bytes()).expect("open");
        read_response(stream, "one");
    }
    let response = exchange(&mut server.connect(), &post("two"));
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    let text = post("one") + &post("two") + &post("three");
    stream.write_all(text.as_bytes()).expect("open");
    for body in ["one", "two", "three"] {
        read_response(&mut stream, body);
    }
}

#[test]
fn closed_connection_cancels_its_request() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    stream.write_all(post("wait").as_bytes()).expect("open");
    assert_eq!(server.next_event(), Some(HandlerEvent::Started));
    drop(stream);
    assert_eq!(server.next_event(), Some(HandlerEvent::Dropped));
}

#[test]
fn draining_server_finishes_open_requests_and_stops() {
    let server = TestServer::start(ServerBounds::default());
    let mut idle = server.connect();
    idle.write_all(post("one").as_bytes()).expect("open");
    read_response(&mut idle, "one");
    let mut partial = server.connect();
    partial.write_all(post("one").as_bytes()).expect("open");
    read_response(&mut partial, "one");
    partial.write_all(HEAD.as_bytes()).expect("open");

    server.set_phase(ServePhase::Lingering);
    let response = exchange(&mut server.connect(), &post("two"));
    assert!(response.contains("connection: close"), "{response}");

    server.set_phase(ServePhase::Draining);
    assert_eq!(read_all(&mut idle), "", "an idle connection is closed");
    let response = exchange(&mut partial, "Content-Length: 5\r\n\r\nthree");
    assert!(response.contains("connection: close"), "{response}");
    assert!(response.ends_with("three"), "{response}");
    assert!(server.thread.join());
}
