//! Links between entry instances: HTTP/2 streams, each with one message.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::future::{self, BoxedLocal, FutureExt};
use h2::RecvStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_ring::prelude::*;
use thiserror::Error;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer_wire::{
    MAX_PEER_BYTES, PeerHello, PeerMessage, PeerRefusal, decode_peer, encode_peer,
};

/// Path of the streams.
const PEER_PATH: &str = "http://peer/v1/messages";
/// Longest time for one message and its answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without a message on an accepted connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Connections of peers that may be open at the same time.
const MAX_PEER_CONNECTIONS: usize = 512;
/// Streams that a peer may have open at the same time.
const MAX_PEER_STREAMS: u32 = 8;
/// Pause after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    fn hear(&self, message: PeerMessage);
}

/// Link to peers over HTTP/2, with one connection to each.
#[derive(Clone)]
pub struct H2Peers {
    hello: PeerHello,
    spawner: TaskSpawner,
    connections: Rc<RefCell<IndexMap<SocketAddr, SendRequest<Bytes>>>>,
}

impl H2Peers {
    /// Creates a link that says `hello` in front of each message.
    pub fn new(hello: PeerHello, spawner: TaskSpawner) -> Self {
        Self {
            hello,
            spawner,
            connections: Rc::default(),
        }
    }

    async fn deliver(self, address: SocketAddr, message: PeerMessage) -> Result<(), PeerError> {
        let bytes = encode_peer(&self.hello, &message).ok_or(PeerError::TooLarge)?;
        let late = async {
            Timer::after(MESSAGE_TIMEOUT).await;
            Err(PeerError::Unreachable("no answer in time".to_owned()))
        };
        let sent = future::or(self.exchange(address, bytes.into()), late).await;
        if matches!(sent, Err(PeerError::Unreachable(_))) {
            self.connections.borrow_mut().swap_remove(&address);
        }
        sent
    }

    async fn exchange(&self, address: SocketAddr, bytes: Bytes) -> Result<(), PeerError> {
        let unreachable = |error: h2::Error| PeerError::Unreachable(error.to_string());
        let sender = self.connection(address).await?;
        let mut sender = sender.ready().await.map_err(unreachable)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(PEER_PATH);
        let (response, mut body) = sender.send_request(request, false).map_err(unreachable)?;
        body.send_data(bytes, true).map_err(unreachable)?;
        match response.await.map_err(unreachable)?.status() {
            StatusCode::OK => Ok(()),
            status => Err(PeerError::Refused(status)),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let open = self.connections.borrow().get(&address).cloned();
        if let Some(sender) = open {
            return Ok(sender);
        }
        let unreachable = |error: String| PeerError::Unreachable(error);
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let (sender, connection) = h2::client::handshake(stream.compat())
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        self.spawner.spawn(async move {
            // The next message on the connection hears of its end.
            _ = connection.await;
        });
        self.connections
            .borrow_mut()
            .insert(address, sender.clone());
        Ok(sender)
    }
}

impl PeerLink for H2Peers {
    fn send(&self, address: SocketAddr, message: PeerMessage) -> BoxedLocal<Result<(), PeerError>> {
        self.clone().deliver(address, message).boxed_local()
    }
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

#[derive(Clone)]
struct PeerShell {
    spawner: TaskSpawner,
    fleet: FleetId,
    handler: Rc<dyn PeerHandler>,
    open: Rc<Cell<usize>>,
}

impl PeerServer {
    /// Accepts connections for ever.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
    pub async fn serve(self) -> io::Result<()> {
        let listener = Async::new(self.listener)?;
        let shell = PeerShell {
            spawner: self.spawner,
            fleet: self.fleet,
            handler: self.handler,
            open: Rc::default(),
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            if shell.open.get() >= MAX_PEER_CONNECTIONS {
                continue;
            }
            shell.open.set(shell.open.get() + 1);
            let connection = shell.clone();
            shell.spawner.spawn(async move {
                if let Err(error) = connection.serve_connection(stream).await {
                    let event = EventCode::PeerFailed;
                    tracing::debug!(event = event.number(), %error, "connection of a peer failed");
                }
                connection.open.set(connection.open.get() - 1);
            });
        }
    }
}

impl PeerShell {
    async fn serve_connection(&self, stream: Async<TcpStream>) -> Result<(), h2::Error> {
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(MAX_PEER_STREAMS)
            .initial_window_size(MAX_PEER_BYTES as u32)
            .handshake::<_, Bytes>(stream.compat());
        let Some(connection) = within(MESSAGE_TIMEOUT, handshake).await else {
            return Ok(());
        };
        let mut connection = connection?;
        while let Some(Some(accepted)) = within(IDLE_TIMEOUT, connection.accept()).await {
            let (request, respond) = accepted?;
            let shell = self.clone();
            self.spawner.spawn(async move {
                shell.answer(request.into_body(), respond).await;
            });
        }
        Ok(())
    }

    async fn answer(&self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let bytes = within(MESSAGE_TIMEOUT, read_body(body)).await;
        let status = match bytes.unwrap_or(Err(PeerRefusal::Malformed)) {
            Ok(bytes) => self.hear(&bytes),
            Err(refusal) => self.refuse(refusal),
        };
        let mut response = Response::new(());
        *response.status_mut() = status;
        // A peer that has gone needs no answer.
        _ = respond.send_response(response, true);
    }

    fn hear(&self, bytes: &[u8]) -> StatusCode {
        match decode_peer(&self.fleet, bytes) {
            Ok((_, message)) => {
                self.handler.hear(message);
                StatusCode::OK
            }
            Err(refusal) => self.refuse(refusal),
        }
    }

    fn refuse(&self, refusal: PeerRefusal) -> StatusCode {
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
}

async fn read_body(mut body: RecvStream) -> Result<Bytes, PeerRefusal> {
    let mut bytes = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| PeerRefusal::Malformed)?;
        if bytes.len() + data.len() > MAX_PEER_BYTES {
            return Err(PeerRefusal::TooLarge);
        }
        let released = body.flow_control().release_capacity(data.len());
        released.map_err(|_| PeerRefusal::Malformed)?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Waits for `work`; `None` after `timeout`.
async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}
