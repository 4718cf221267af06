//! Peers hear each other's messages, and nothing else does harm.

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
        self.0.offer(message).expect("room");
    }
}

fn hello(fleet: &str) -> PeerHeader {
    PeerHeader::new(fleet.into(), "entry-1".into())
}

fn heartbeat() -> PeerMessage {
    PeerMessage::Heartbeat(MemberKey {
        entry: "entry-1".into(),
        process: 7,
        incarnation: 1,
    })
}

/// Starts a server of the fleet "guild"; returns its address and what it hears.
fn start_server() -> (SocketAddr, RingReceiver<PeerMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    let (sender, heard) = ring("heard", 16);
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
    (address, heard)
}

/// Sends heartbeats, one after the other on one link, and returns the results.
fn send(address: SocketAddr, hello: PeerHeader, count: usize) -> Vec<Result<(), PeerError>> {
    let (sender, results) = ring("results", count);
    let duty = DutyThread::spawn("peer", move |spawner| async move {
        let link = H2Peers::new(hello, spawner);
        for _ in 0..count {
            let result = link.send(address, heartbeat()).await;
            sender.send(result).await.expect("receiver");
        }
    });
    assert!(duty.expect("thread").join());
    let results = (0..count).map(|_| async_io::block_on(results.recv()));
    results.map(|result| result.expect("result")).collect()
}

#[test]
fn messages_arrive_on_one_connection() {
    let (address, heard) = start_server();
    assert!(send(address, hello("guild"), 3).iter().all(Result::is_ok));
    for _ in 0..3 {
        assert_eq!(async_io::block_on(heard.recv()), Some(heartbeat()));
    }
}

#[test]
fn other_fleets_and_versions_are_refused() {
    let (address, heard) = start_server();
    let newer = PeerHeader {
        version: PEER_VERSION + 1,
        ..hello("guild")
    };
    let lines = [
        (hello("telar-norte"), StatusCode::FORBIDDEN),
        (newer, StatusCode::UPGRADE_REQUIRED),
    ];
    for (hello, expected) in lines {
        let results = send(address, hello, 1);
        let refused = matches!(&results[0], Err(PeerError::Refused(status)) if *status == expected);
        assert!(refused, "{results:?}");
    }
    send(address, hello("guild"), 1);
    assert_eq!(async_io::block_on(heard.recv()), Some(heartbeat()));
}

#[test]
fn nonsense_does_no_harm() {
    let (address, heard) = start_server();
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 100_000],
        Vec::new(),
    ] {
        let mut stream = TcpStream::connect(address).expect("server listens");
        // The server may close early on what it does not understand.
        _ = stream.write_all(&bytes);
    }
    send(address, hello("guild"), 1);
    assert_eq!(async_io::block_on(heard.recv()), Some(heartbeat()));
}

#[test]
fn peer_that_has_gone_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let results = send(address, hello("guild"), 2);
    let gone = |result: &Result<(), PeerError>| matches!(result, Err(PeerError::Unreachable(_)));
    assert!(results.iter().all(gone), "{results:?}");
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    let fleet: FleetId = "guild".into();
    let good = encode_peer(&hello("guild"), &heartbeat()).expect("message");
    assert!(decode_peer(&fleet, &good).is_ok());
    for length in 0..good.len() {
        let cut = decode_peer(&fleet, &good[..length]);
        assert_eq!(cut.err(), Some(PeerRefusal::Malformed), "{length} bytes");
    }
    let longer = [good.as_slice(), b"x"].concat();
    assert_eq!(
        decode_peer(&fleet, &longer).err(),
        Some(PeerRefusal::Malformed)
    );
    let large = vec![0; MAX_PEER_BYTES + 1];
    assert_eq!(
        decode_peer(&fleet, &large).err(),
        Some(PeerRefusal::TooLarge)
    );
}
