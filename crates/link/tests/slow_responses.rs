//! Responses that arrive slowly, and ones that stop arriving.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures_lite::future::block_on;
use http_types::{Method, Request, Url};
use pw_base::prelude::*;
use pw_link::prelude::*;

/// Parts of a response, and the pause before each.
const PARTS: usize = 20;
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Shorter than all pauses together, and far longer than one.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// Serves one request with a response of [`PARTS`] bytes, of which `sent` arrive.
fn start_server(sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        _ = stream.read(&mut request);
        _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n");
        for _ in 0..sent {
            thread::sleep(PART_PAUSE);
            _ = stream.write_all(b"x");
        }
        // Keeps the connection open until the client closes it.
        _ = stream.read(&mut request);
    });
    address
}

fn call(address: SocketAddr, max_exchange: Duration) -> Result<BufferedResponse, CallError> {
    let bounds = PoolBounds {
        max_exchange,
        ..Default::default()
    };
    let pool = HttpPool::new(bounds, Arc::new(SystemClock));
    let url = Url::parse(&format!("http://{address}/")).expect("a URL");
    block_on(pool.call(address, Request::new(Method::Get, url), TIMEOUT))
}

/// A node on a slow link never got a page of the log, and so never opened its shard.
#[test]
fn a_response_that_goes_on_arriving_outlasts_the_timeout() {
    let address = start_server(PARTS);
    let response = call(address, Duration::from_secs(60)).expect("a response");
    assert_eq!(response.body.len(), PARTS);
}

#[test]
fn a_response_that_stops_arriving_does_not() {
    let address = start_server(2);
    let response = call(address, Duration::from_secs(60));
    assert!(matches!(response, Err(CallError::Broken { .. })));
}

#[test]
fn a_response_that_arrives_too_slowly_is_given_up() {
    let address = start_server(PARTS);
    let response = call(address, Duration::ZERO);
    assert!(matches!(response, Err(CallError::Broken { .. })));
}
