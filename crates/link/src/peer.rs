//! Links between entry instances: one message for each HTTP/2 stream.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use bytes::Bytes;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use http::StatusCode;
use pw_base::prelude::*;
use pw_ring::prelude::*;
use thiserror::Error;

use crate::h2_channel::{BytesHandler, ChannelBounds, ChannelError, H2Client, H2Server};
use crate::peer_wire::{
    MAX_PEER_BYTES, PeerHeader, PeerMessage, PeerRefusal, decode_peer, encode_peer,
};

/// Why a message did not reach a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The message is longer than the bound.
    #[error("message is too large")]
    TooLarge,
    /// The peer refused it.
    #[error("peer refused with status {0}")]
    Refused(StatusCode),
    /// The peer can't be reached or broke the connection.
    #[error("peer can't be reached: {0}")]
    Unreachable(String),
}

/// Sends messages to other entry instances.
pub trait PeerLink {
    /// Sends one message and waits until the peer has taken it.
    fn send(&self, address: SocketAddr, message: PeerMessage) -> BoxedLocal<Result<(), PeerError>>;
}

/// Takes the messages of other entry instances.
pub trait PeerHandler {
    /// Takes one message.
    fn receive(&self, message: PeerMessage);
}

/// Link to peers over HTTP/2, with one connection to each.
#[derive(Clone)]
pub struct H2Peers {
    hello: PeerHeader,
    client: H2Client,
}

/// Server for the messages of peers.
pub struct PeerServer {
    /// Listener for connections.
    pub listener: TcpListener,
    /// Starts a future for each connection and message.
    pub spawner: TaskSpawner,
    /// Fleet whose peers are heard.
    pub fleet: FleetId,
    /// Takes the messages.
    pub handler: Rc<dyn PeerHandler>,
}

/// Decodes messages and hands them on.
struct PeerDecoder {
    fleet: FleetId,
    handler: Rc<dyn PeerHandler>,
}

fn peer_bounds() -> ChannelBounds {
    ChannelBounds {
        max_bytes: MAX_PEER_BYTES,
        ..Default::default()
    }
}

impl H2Peers {
    /// Creates a link that says `hello` in front of each message.
    pub fn new(hello: PeerHeader, spawner: TaskSpawner) -> Self {
        Self {
            hello,
            client: H2Client::new(peer_bounds(), spawner),
        }
    }
}

impl PeerLink for H2Peers {
    fn send(&self, address: SocketAddr, message: PeerMessage) -> BoxedLocal<Result<(), PeerError>> {
        let link = self.clone();
        async move {
            let bytes = encode_peer(&link.hello, &message).ok_or(PeerError::TooLarge)?;
            let answer = link.client.call(address, bytes.into()).await;
            answer.map(drop).map_err(|error| match error {
                ChannelError::Refused(status) => PeerError::Refused(status),
                ChannelError::NotConnected(error) | ChannelError::Unreachable(error) => {
                    PeerError::Unreachable(error)
                }
            })
        }
        .boxed_local()
    }
}

impl PeerServer {
    /// Accepts connections for ever.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
    pub async fn serve(self) -> io::Result<()> {
        let handler = Rc::new(PeerDecoder {
            fleet: self.fleet,
            handler: self.handler,
        });
        let server = H2Server {
            listener: self.listener,
            spawner: self.spawner,
            bounds: peer_bounds(),
            handler,
        };
        server.serve().await
    }
}

impl BytesHandler for PeerDecoder {
    fn handle(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)> {
        let status = match request.map(|bytes| decode_peer(&self.fleet, &bytes)) {
            Some(Ok((_, message))) => {
                self.handler.receive(message);
                StatusCode::OK
            }
            Some(Err(refusal)) => refuse(refusal),
            None => refuse(PeerRefusal::TooLarge),
        };
        future::ready((status, Bytes::new())).boxed_local()
    }
}

fn refuse(refusal: PeerRefusal) -> StatusCode {
    metrics::counter!("pw_peer_refusals_total", "cause" => refusal.to_string()).increment(1);
    let event = EventCode::PeerRefused;
    tracing::warn!(event = event.number(), %refusal, "message of a peer refused");
    match refusal {
        PeerRefusal::OtherFleet => StatusCode::FORBIDDEN,
        PeerRefusal::UnknownVersion => StatusCode::UPGRADE_REQUIRED,
        PeerRefusal::Malformed => StatusCode::BAD_REQUEST,
        PeerRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    }
}
