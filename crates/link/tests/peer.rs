//! Tests of messages between peers: delivery, refusals and invalid input.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use http::StatusCode;
use pw_base::prelude::*;
use pw_link::peer_wire::{MAX_PEER_BYTES, PEER_VERSION};
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;

struct RingHandler(RingSender<PeerMessage>);

impl PeerHandler for RingHandler {
    fn receive(&self, message: PeerMessage) {
        self.0.offer(message).expect("space in the ring");
    }
}

fn header(fleet: &str) -> PeerHeader {
    PeerHeader::new(fleet.into(), "entry-1".into())
}

fn heartbeat() -> PeerMessage {
    PeerMessage::Heartbeat(MemberKey {
        entry: "entry-1".into(),
        process: 7,
        incarnation: 1,
    })
}

/// Starts a server of the fleet "guild"; returns its address and the received messages.
fn start_server() -> (SocketAddr, RingReceiver<PeerMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    let (sender, received) = ring("heard", 16);
    DutyThread::spawn("peers", move |spawner| async move {
        let server = PeerServer {
            listener,
            spawner,
            fleet: "guild".into(),
            handler: Rc::new(RingHandler(sender)),
        };
        server.serve().await.expect("listener");
    })
    .expect("thread");
    (address, received)
}

/// Sends `count` heartbeats in sequence over one client and returns the results.
fn send(address: SocketAddr, header: PeerHeader, count: usize) -> Vec<Result<(), PeerError>> {
    let (sender, results) = ring("results", count);
    let duty = DutyThread::spawn("peer", move |spawner| async move {
        let peers = H2Peers::new(header, spawner);
        for _ in 0..count {
            let result = peers.send(address, heartbeat()).await;
            sender.send(result).await.expect("receiver");
        }
    });
    assert!(duty.expect("thread").join());
    let results = (0..count).map(|_| async_io::block_on(results.recv()));
    results.map(|result| result.expect("result")).collect()
}

#[test]
fn messages_on_one_connection_are_received() {
    let (address, received) = start_server();
    assert!(send(address, header("guild"), 3).iter().all(Result::is_ok));
    for _ in 0..3 {
        assert_eq!(async_io::block_on(received.recv()), Some(heartbeat()));
    }
}

#[test]
fn other_fleet_or_version_is_refused() {
    let (address, received) = start_server();
    let newer = PeerHeader {
        version: PEER_VERSION + 1,
        ..header("guild")
    };
    let cases = [
        (header("telar-norte"), StatusCode::FORBIDDEN),
        (newer, StatusCode::UPGRADE_REQUIRED),
    ];
    for (header, expected) in cases {
        let results = send(address, header, 1);
        let refused = matches!(&results[0], Err(PeerError::Refused(status)) if *status == expected);
        assert!(refused, "{results:?}");
    }
    send(address, header("guild"), 1);
    assert_eq!(async_io::block_on(received.recv()), Some(heartbeat()));
}

#[test]
fn invalid_bytes_do_not_stop_the_server() {
    let (address, received) = start_server();
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 100_000],
        Vec::new(),
    ] {
        let mut stream = TcpStream::connect(address).expect("server listens");
        // The server may close the connection early on invalid bytes.
        _ = stream.write_all(&bytes);
    }
    send(address, header("guild"), 1);
    assert_eq!(async_io::block_on(received.recv()), Some(heartbeat()));
}

#[test]
fn unreachable_peer_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let results = send(address, header("guild"), 2);
    let unreachable =
        |result: &Result<(), PeerError>| matches!(result, Err(PeerError::Unreachable(_)));
    assert!(results.iter().all(unreachable), "{results:?}");
}

#[test]
fn malformed_message_is_refused() {
    let fleet: FleetId = "guild".into();
    let valid = encode_peer(&header("guild"), &heartbeat()).expect("message");
    assert!(decode_peer(&fleet, &valid).is_ok());
    for length in 0..valid.len() {
        let truncated = decode_peer(&fleet, &valid[..length]);
        assert_eq!(
            truncated.err(),
            Some(PeerRefusal::Malformed),
            "{length} bytes"
        );
    }
    let trailing = [valid.as_slice(), b"x"].concat();
    assert_eq!(
        decode_peer(&fleet, &trailing).err(),
        Some(PeerRefusal::Malformed)
    );
    let oversized = vec![0; MAX_PEER_BYTES + 1];
    assert_eq!(
        decode_peer(&fleet, &oversized).err(),
        Some(PeerRefusal::TooLarge)
    );
}
