//! The server keeps its bounds, answers what it has begun to read, and ends without cutting off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Request, Response, StatusCode};
use pw_link::prelude::*;
use pw_ring::prelude::*;

const SHORT: Duration = Duration::from_millis(50);
const HEAD: &str = "POST /echo HTTP/1.1\r\nHost: entry\r\n";

/// Answers with the body; a body "wait" is never answered, and its end is told.
struct EchoHandler {
    seen: RingSender<HandlerEvent>,
}

#[derive(Debug, PartialEq, Eq)]
enum HandlerEvent {
    Began,
    Dropped,
}

struct DropNote(RingSender<HandlerEvent>);

impl Drop for DropNote {
    fn drop(&mut self) {
        _ = self.0.offer(HandlerEvent::Dropped);
    }
}

impl HttpHandler for EchoHandler {
    fn handle(&self, mut request: Request) -> BoxedLocal<Response> {
        let seen = self.seen.clone();
        async move {
            let body = request.body_bytes().await.unwrap_or_default();
            if body == b"wait" {
                let note = DropNote(seen.clone());
                _ = seen.offer(HandlerEvent::Began);
                std::future::pending::<()>().await;
                drop(note);
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
    seen: RingReceiver<HandlerEvent>,
    thread: DutyThread,
}

impl TestServer {
    fn start(bounds: ServerBounds) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        let (phases, phase_receiver) = ring("phases", 4);
        let (sender, seen) = ring("seen", 16);
        let thread = DutyThread::spawn("http", move |spawner| async move {
            let server = HttpServer {
                listener,
                spawner,
                handler: Rc::new(EchoHandler { seen: sender }),
                bounds,
            };
            server.serve(phase_receiver).await.expect("listener");
        });
        Self {
            address,
            phases,
            seen,
            thread: thread.expect("thread"),
        }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("server listens")
    }

    fn phase(&self, phase: ServePhase) {
        async_io::block_on(self.phases.send(phase)).expect("server runs");
    }

    fn saw(&self) -> Option<HandlerEvent> {
        async_io::block_on(self.seen.recv())
    }
}

fn post(body: &str) -> String {
    format!("{HEAD}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends `text` and returns all that the server says until it closes.
fn talk(stream: &mut TcpStream, text: &str) -> String {
    // The server may close early on a request that it refuses.
    _ = stream.write_all(text.as_bytes());
    read_all(stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer);
    String::from_utf8(answer).expect("text")
}

/// Reads one response with a body that ends in `end`.
fn read_response(stream: &mut TcpStream, end: &str) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(end.as_bytes()) {
        assert_eq!(stream.read(&mut byte).expect("open"), 1, "closed early");
        answer.push(byte[0]);
    }
    String::from_utf8(answer).expect("text")
}

#[test]
fn request_that_breaks_a_bound_is_refused_with_its_status() {
    let bounds = ServerBounds {
        max_body: 8,
        max_body_total: 6,
        head_timeout: SHORT,
        body_timeout: SHORT,
        ..ServerBounds::default()
    };
    let long = "x".repeat(9_000);
    let lines = [
        ("nonsense", "\u{1}\u{2}\r\n\r\n".to_owned(), 400),
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
            "body beyond the total",
            format!("{HEAD}Content-Length: 7\r\n\r\n"),
            503,
        ),
        (
            "large chunks",
            format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n"),
            503,
        ),
    ];
    let server = TestServer::start(bounds);
    for (name, text, status) in lines {
        let answer = talk(&mut server.connect(), &text);
        let expected = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&expected), "{name}: {answer}");
    }
    let answer = talk(
        &mut server.connect(),
        &format!("{HEAD}Connection: close\r\n\r\n"),
    );
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn cut_body_is_refused() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    let text = format!("{HEAD}Content-Length: 4\r\n\r\nab");
    stream.write_all(text.as_bytes()).expect("open");
    stream.shutdown(Shutdown::Write).expect("open");
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

#[test]
fn connections_beyond_the_bound_are_refused() {
    let bounds = ServerBounds {
        max_connections: 2,
        ..ServerBounds::default()
    };
    let server = TestServer::start(bounds);
    let mut kept = [server.connect(), server.connect()];
    for stream in &mut kept {
        stream.write_all(post("one").as_bytes()).expect("open");
        read_response(stream, "one");
    }
    let answer = talk(&mut server.connect(), &post("two"));
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

#[test]
fn requests_sent_at_once_are_all_answered_in_their_order() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    let text = post("one") + &post("two") + &post("three");
    stream.write_all(text.as_bytes()).expect("open");
    for body in ["one", "two", "three"] {
        read_response(&mut stream, body);
    }
}

#[test]
fn caller_that_closes_drops_its_request() {
    let server = TestServer::start(ServerBounds::default());
    let mut stream = server.connect();
    stream.write_all(post("wait").as_bytes()).expect("open");
    assert_eq!(server.saw(), Some(HandlerEvent::Began));
    drop(stream);
    assert_eq!(server.saw(), Some(HandlerEvent::Dropped));
}

#[test]
fn draining_server_answers_what_has_begun_and_ends() {
    let server = TestServer::start(ServerBounds::default());
    let mut idle = server.connect();
    idle.write_all(post("one").as_bytes()).expect("open");
    read_response(&mut idle, "one");
    let mut half = server.connect();
    half.write_all(post("one").as_bytes()).expect("open");
    read_response(&mut half, "one");
    half.write_all(HEAD.as_bytes()).expect("open");

    server.phase(ServePhase::Lingering);
    let answer = talk(&mut server.connect(), &post("two"));
    assert!(answer.contains("connection: close"), "{answer}");

    server.phase(ServePhase::Draining);
    assert_eq!(read_all(&mut idle), "", "an idle connection is closed");
    let answer = talk(&mut half, "Content-Length: 5\r\n\r\nthree");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("three"), "{answer}");
    assert!(server.thread.join());
}
