//! Property tests of the HTTP server: invalid input neither stops it nor corrupts other responses.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Request, Response, StatusCode};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{RngSeed, TestRunner};
use pw_link::prelude::*;
use pw_ring::prelude::*;

const SEED: u64 = 0x0000_4177;
const VALID_REQUEST: &[u8] =
    b"POST /queues/a/tasks HTTP/1.1\r\nHost: entry\r\nContent-Length: 4\r\n\r\nplan";

struct EchoHandler;

impl HttpHandler for EchoHandler {
    fn handle(&self, mut request: Request) -> BoxedLocal<Response> {
        async move {
            let body = request.body_bytes().await.unwrap_or_default();
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response
        }
        .boxed_local()
    }
}

fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address");
    let address = listener.local_addr().expect("bound address");
    DutyThread::spawn("http", move |spawner| async move {
        let handler: Rc<dyn HttpHandler> = Rc::new(EchoHandler);
        serve_http(listener, spawner, handler)
            .await
            .expect("listener");
    })
    .expect("thread");
    address
}

/// Sends `bytes`, closes the sending side, and returns everything that the server sends.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("server listens");
    let mut response = Vec::new();
    // The server may close the connection early when it refuses the bytes.
    if stream.write_all(bytes).is_ok() && stream.shutdown(Shutdown::Write).is_ok() {
        _ = stream.read_to_end(&mut response);
    }
    response
}

fn assert_serves(address: SocketAddr) {
    let response = exchange(address, VALID_REQUEST);
    assert!(
        response.starts_with(b"HTTP/1.1 200"),
        "server is not serving"
    );
    assert!(
        response.ends_with(b"plan"),
        "response belongs to another request"
    );
}

fn invalid_bytes() -> impl Strategy<Value = Vec<u8>> {
    let tokens = select(vec![
        "GET ",
        "POST ",
        "\u{0}",
        "/",
        "/queues/%ff",
        " HTTP/1.1\r\n",
        " HTTP/9.9\r\n",
        "\r\n",
        "Host: a\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "ffffffffffffffff\r\n",
        "Authorization: Bearer \u{7f}\r\n",
        "Expect: 100-continue\r\n",
        "\r\n\r\n",
        ":\r\n",
    ]);
    let heads = vec(tokens, 0..16).prop_map(|tokens| tokens.concat().into_bytes());
    let mutations = (any::<Index>(), any::<u8>()).prop_map(|(at, byte)| {
        let mut bytes = VALID_REQUEST.to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes
    });
    let truncations =
        any::<Index>().prop_map(|at| VALID_REQUEST[..at.index(VALID_REQUEST.len())].to_vec());
    prop_oneof![vec(any::<u8>(), 0..300), heads, mutations, truncations]
}

#[test]
fn invalid_requests_do_not_stop_the_server() {
    let address = start_server();
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    runner
        .run(&invalid_bytes(), |bytes| {
            exchange(address, &bytes);
            assert_serves(address);
            Ok(())
        })
        .expect("server keeps serving");
}

#[test]
fn endless_request_head_is_refused() {
    const MEBIBYTES: usize = 64;
    let address = start_server();
    let mut stream = TcpStream::connect(address).expect("server listens");
    let chunk = vec![b'a'; 1024 * 1024];
    let sent = (0..MEBIBYTES)
        .take_while(|_| stream.write_all(&chunk).is_ok())
        .count();
    assert!(sent < MEBIBYTES, "the server read {sent} MiB of a head");
    assert_serves(address);
}
