//! Messages between entry instances, one for each HTTP/2 stream.

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

/// Error of a message to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The message exceeds the size limit.
    #[error("message is too large")]
    TooLarge,
    /// The peer refused the message.
    #[error("peer refused with status {0}")]
    Refused(StatusCode),
    /// The peer can't be reached, or the connection broke.
    #[error("peer can't be reached: {0}")]
    Unreachable(String),
}

/// Sends messages to other entry instances.
pub trait PeerLink {
    /// Sends a message and waits for the peer's acknowledgement.
    fn send(&self, address: SocketAddr, message: PeerMessage) -> BoxedLocal<Result<(), PeerError>>;
}

/// Handles messages from other entry instances.
pub trait PeerHandler {
    /// Handles one message.
    fn receive(&self, message: PeerMessage);
}

/// Client that sends messages to peers over HTTP/2, with one connection to each peer.
#[derive(Clone)]
pub struct H2Peers {
    header: PeerHeader,
    client: H2Client,
}

/// Server that receives messages from peers.
pub struct PeerServer {
    /// Listening socket.
    pub listener: TcpListener,
    /// Spawns a future for each connection and message.
    pub spawner: TaskSpawner,
    /// Fleet whose peers are accepted.
    pub fleet: FleetId,
    /// Handles the messages.
    pub handler: Rc<dyn PeerHandler>,
}

/// Decodes messages and passes them to the handler.
struct PeerDecoder {
    fleet: FleetId,
    handler: Rc<dyn PeerHandler>,
}

fn peer_channel_bounds() -> ChannelBounds {
    ChannelBounds {
        max_bytes: MAX_PEER_BYTES,
        ..Default::default()
    }
}

impl H2Peers {
    /// Creates a client that sends `header` before each message.
    pub fn new(header: PeerHeader, spawner: TaskSpawner) -> Self {
        Self {
            header,
            client: H2Client::new(peer_channel_bounds(), spawner),
        }
    }
}

impl PeerLink for H2Peers {
    fn send(&self, address: SocketAddr, message: PeerMessage) -> BoxedLocal<Result<(), PeerError>> {
        let peers = self.clone();
        async move {
            let bytes = encode_peer(&peers.header, &message).ok_or(PeerError::TooLarge)?;
            let response = peers.client.call(address, bytes.into()).await;
            response.map(drop).map_err(|error| match error {
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
    /// Accepts connections indefinitely.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be registered for asynchronous use.
    pub async fn serve(self) -> io::Result<()> {
        let handler = Rc::new(PeerDecoder {
            fleet: self.fleet,
            handler: self.handler,
        });
        let server = H2Server {
            listener: self.listener,
            spawner: self.spawner,
            bounds: peer_channel_bounds(),
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
            Some(Err(refusal)) => refusal_status(refusal),
            None => refusal_status(PeerRefusal::TooLarge),
        };
        future::ready((status, Bytes::new())).boxed_local()
    }
}

fn refusal_status(refusal: PeerRefusal) -> StatusCode {
    metrics::counter!("pw_peer_refusals_total", "cause" => refusal.to_string()).increment(1);
    let event = EventCode::PeerRefused;
    tracing::warn!(event = event.number(), %refusal, "message from a peer refused");
    match refusal {
        PeerRefusal::OtherFleet => StatusCode::FORBIDDEN,
        PeerRefusal::UnknownVersion => StatusCode::UPGRADE_REQUIRED,
        PeerRefusal::Malformed => StatusCode::BAD_REQUEST,
        PeerRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    }
}
