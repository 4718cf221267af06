//! Channel for requests and responses between processes, as plain bytes over HTTP/2.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::future::{self, BoxedLocal};
use h2::RecvStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_ring::prelude::*;
use thiserror::Error;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// URI of the requests of all channels.
const STREAM_URI: &str = "http://peer/v1/messages";
/// Time without a request after which a server closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of a channel, which the client and the server share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChannelBounds {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a request and its response.
    pub timeout: Duration,
    /// Maximum size of a request or response body in bytes.
    pub max_bytes: usize,
    /// Maximum number of concurrent connections to a server.
    pub max_connections: usize,
    /// Maximum number of concurrent streams on a connection.
    pub max_streams: u32,
}

/// Error of a request on a channel.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The server refused the request.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The connection could not be established, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection broke or the request timed out; the server may have received it.
    #[error("no response: {0}")]
    Unreachable(String),
}

/// Client with one connection to each server.
#[derive(Clone)]
pub struct H2Client {
    bounds: ChannelBounds,
    spawner: TaskSpawner,
    connections: Rc<RefCell<IndexMap<SocketAddr, SendRequest<Bytes>>>>,
}

/// Handles the requests of an [`H2Server`].
pub trait BytesHandler {
    /// Handles one request; `None` stands for one that is too large or incomplete.
    fn handle(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)>;
}

/// Server of a channel.
pub struct H2Server {
    /// Listening socket.
    pub listener: TcpListener,
    /// Spawns a future for each connection and request.
    pub spawner: TaskSpawner,
    /// Limits of the channel.
    pub bounds: ChannelBounds,
    /// Handles the requests.
    pub handler: Rc<dyn BytesHandler>,
}

#[derive(Clone)]
struct ServerState {
    spawner: TaskSpawner,
    bounds: ChannelBounds,
    handler: Rc<dyn BytesHandler>,
    open_connections: Rc<Cell<usize>>,
}

impl Default for ChannelBounds {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            max_bytes: 256 * 1024,
            max_connections: 512,
            max_streams: 8,
        }
    }
}

impl H2Client {
    /// Creates a client without connections.
    pub fn new(bounds: ChannelBounds, spawner: TaskSpawner) -> Self {
        Self {
            bounds,
            spawner,
            connections: Rc::default(),
        }
    }

    /// Sends a request and waits for its complete response.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses the request or can't be reached, when the connection breaks,
    /// or on a timeout.
    pub async fn call(&self, address: SocketAddr, request: Bytes) -> Result<Bytes, ChannelError> {
        self.call_within(self.bounds.timeout, address, request)
            .await
    }

    /// Sends a request and waits up to `timeout` for its complete response.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses the request or can't be reached, when the connection breaks,
    /// or on a timeout.
    pub async fn call_within(
        &self,
        timeout: Duration,
        address: SocketAddr,
        request: Bytes,
    ) -> Result<Bytes, ChannelError> {
        let connect = with_timeout(self.bounds.connect_timeout, self.connection(address)).await;
        let timeout_error = || Err(ChannelError::NotConnected("timed out".to_owned()));
        let sender = connect.unwrap_or_else(timeout_error)?;
        let response = with_timeout(timeout, self.exchange(sender, request)).await;
        let timeout_error = || Err(ChannelError::Unreachable("timed out".to_owned()));
        let response = response.unwrap_or_else(timeout_error);
        if matches!(response, Err(ChannelError::Unreachable(_))) {
            self.connections.borrow_mut().swap_remove(&address);
        }
        response
    }

    async fn exchange(
        &self,
        sender: SendRequest<Bytes>,
        bytes: Bytes,
    ) -> Result<Bytes, ChannelError> {
        let unreachable = |error: h2::Error| ChannelError::Unreachable(error.to_string());
        let mut sender = sender.ready().await.map_err(unreachable)?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(STREAM_URI);
        let (response, mut body) = sender.send_request(request, false).map_err(unreachable)?;
        body.send_data(bytes, true).map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        if response.status() != StatusCode::OK {
            return Err(ChannelError::Refused(response.status()));
        }
        let body = read_body(response.into_body(), self.bounds.max_bytes).await;
        body.ok_or_else(|| ChannelError::Unreachable("response incomplete or too large".to_owned()))
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, ChannelError> {
        let open = self.connections.borrow().get(&address).cloned();
        if let Some(sender) = open {
            return Ok(sender);
        }
        let not_connected = |error: String| ChannelError::NotConnected(error);
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|error| not_connected(error.to_string()))?;
        let nodelay = stream.get_ref().set_nodelay(true);
        nodelay.map_err(|error| not_connected(error.to_string()))?;
        let (sender, connection) = h2::client::handshake(stream.compat())
            .await
            .map_err(|error| not_connected(error.to_string()))?;
        self.spawner.spawn(async move {
            // The next request on the connection reports the error.
            _ = connection.await;
        });
        self.connections
            .borrow_mut()
            .insert(address, sender.clone());
        Ok(sender)
    }
}

impl H2Server {
    /// Accepts connections indefinitely.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be registered for asynchronous use.
    pub async fn serve(self) -> io::Result<()> {
        let listener = Async::new(self.listener)?;
        let state = ServerState {
            spawner: self.spawner,
            bounds: self.bounds,
            handler: self.handler,
            open_connections: Rc::default(),
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            if state.open_connections.get() >= state.bounds.max_connections {
                continue;
            }
            state.open_connections.set(state.open_connections.get() + 1);
            let connection = state.clone();
            state.spawner.spawn(async move {
                if let Err(error) = connection.serve_connection(stream).await {
                    let event = EventCode::PeerFailed;
                    tracing::debug!(event = event.number(), %error, "peer connection failed");
                }
                connection
                    .open_connections
                    .set(connection.open_connections.get() - 1);
            });
        }
    }
}

impl ServerState {
    async fn serve_connection(&self, stream: Async<TcpStream>) -> Result<(), h2::Error> {
        if let Err(error) = stream.get_ref().set_nodelay(true) {
            tracing::debug!(event = EventCode::PeerFailed.number(), %error, "connection failed");
            return Ok(());
        }
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(self.bounds.max_streams)
            .initial_window_size(self.bounds.max_bytes as u32)
            .handshake::<_, Bytes>(stream.compat());
        let Some(connection) = with_timeout(self.bounds.timeout, handshake).await else {
            return Ok(());
        };
        let mut connection = connection?;
        while let Some(Some(accepted)) = with_timeout(IDLE_TIMEOUT, connection.accept()).await {
            let (request, respond) = accepted?;
            let state = self.clone();
            self.spawner.spawn(async move {
                state.answer(request.into_body(), respond).await;
            });
        }
        Ok(())
    }

    async fn answer(&self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let request =
            with_timeout(self.bounds.timeout, read_body(body, self.bounds.max_bytes)).await;
        let (status, bytes) = self.handler.handle(request.flatten()).await;
        let mut response = Response::new(());
        *response.status_mut() = status;
        // An error means that the client has disconnected and needs no response.
        if let Ok(mut stream) = respond.send_response(response, bytes.is_empty())
            && !bytes.is_empty()
        {
            _ = stream.send_data(bytes, true);
        }
    }
}

/// Reads a body of at most `max_bytes`; `None` when it is larger or incomplete.
async fn read_body(mut body: RecvStream, max_bytes: usize) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.ok()?;
        if bytes.len() + data.len() > max_bytes {
            return None;
        }
        body.flow_control().release_capacity(data.len()).ok()?;
        bytes.extend_from_slice(&data);
    }
    Some(bytes.freeze())
}

/// Runs `work` for up to `timeout`; `None` on a timeout.
async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(work.await) }, timer).await
}
