//! Requests and answers between processes over HTTP/2, as plain bytes.

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

/// Path of the streams.
const STREAM_PATH: &str = "http://peer/v1/messages";
/// Longest time without a request on an accepted connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a channel, the same at both ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChannelBounds {
    /// Longest time for a new connection.
    pub connect_timeout: Duration,
    /// Longest time for one request and its answer.
    pub timeout: Duration,
    /// Largest request or answer in bytes.
    pub max_bytes: usize,
    /// Connections that a server accepts at the same time.
    pub max_connections: usize,
    /// Streams that one connection may have open at the same time.
    pub max_streams: u32,
}

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The server refused it.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// There is no connection, so the server got nothing.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The server broke the connection or gave no answer in time; it may have got the request.
    #[error("no answer: {0}")]
    Unreachable(String),
}

/// Client with one connection to each server.
#[derive(Clone)]
pub struct H2Client {
    bounds: ChannelBounds,
    spawner: TaskSpawner,
    connections: Rc<RefCell<IndexMap<SocketAddr, SendRequest<Bytes>>>>,
}

/// Answers the requests of an [`H2Server`].
pub trait BytesHandler {
    /// Answers one request; `None` for one that is longer than the bound or broken off.
    fn handle(&self, request: Option<Bytes>) -> BoxedLocal<(StatusCode, Bytes)>;
}

/// Server of a channel.
pub struct H2Server {
    /// Listener for connections.
    pub listener: TcpListener,
    /// Starts a future for each connection and request.
    pub spawner: TaskSpawner,
    /// Bounds of the channel.
    pub bounds: ChannelBounds,
    /// Answers the requests.
    pub handler: Rc<dyn BytesHandler>,
}

#[derive(Clone)]
struct ServerShell {
    spawner: TaskSpawner,
    bounds: ChannelBounds,
    handler: Rc<dyn BytesHandler>,
    open: Rc<Cell<usize>>,
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

    /// Sends one request and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses, can't be reached, breaks the connection or is too slow.
    pub async fn call(&self, address: SocketAddr, request: Bytes) -> Result<Bytes, ChannelError> {
        self.call_within(self.bounds.timeout, address, request)
            .await
    }

    /// Sends one request and waits up to `timeout` for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses, can't be reached, breaks the connection or is too slow.
    pub async fn call_within(
        &self,
        timeout: Duration,
        address: SocketAddr,
        request: Bytes,
    ) -> Result<Bytes, ChannelError> {
        let connect = within(self.bounds.connect_timeout, self.connection(address)).await;
        let late = || Err(ChannelError::NotConnected("not within its time".to_owned()));
        let sender = connect.unwrap_or_else(late)?;
        let answer = within(timeout, self.exchange(sender, request)).await;
        let late = || Err(ChannelError::Unreachable("not within its time".to_owned()));
        let answer = answer.unwrap_or_else(late);
        if matches!(answer, Err(ChannelError::Unreachable(_))) {
            self.connections.borrow_mut().swap_remove(&address);
        }
        answer
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
        *request.uri_mut() = http::Uri::from_static(STREAM_PATH);
        let (response, mut body) = sender.send_request(request, false).map_err(unreachable)?;
        body.send_data(bytes, true).map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        if response.status() != StatusCode::OK {
            return Err(ChannelError::Refused(response.status()));
        }
        let answer = read_body(response.into_body(), self.bounds.max_bytes).await;
        answer.ok_or_else(|| ChannelError::Unreachable("answer broken off or too long".to_owned()))
    }

    async fn connection(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, ChannelError> {
        let open = self.connections.borrow().get(&address).cloned();
        if let Some(sender) = open {
            return Ok(sender);
        }
        let unreachable = |error: String| ChannelError::NotConnected(error);
        let stream = Async::<TcpStream>::connect(address)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let nodelay = stream.get_ref().set_nodelay(true);
        nodelay.map_err(|error| unreachable(error.to_string()))?;
        let (sender, connection) = h2::client::handshake(stream.compat())
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        self.spawner.spawn(async move {
            // The next request on the connection hears of its end.
            _ = connection.await;
        });
        self.connections
            .borrow_mut()
            .insert(address, sender.clone());
        Ok(sender)
    }
}

impl H2Server {
    /// Accepts connections for ever.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used.
    pub async fn serve(self) -> io::Result<()> {
        let listener = Async::new(self.listener)?;
        let shell = ServerShell {
            spawner: self.spawner,
            bounds: self.bounds,
            handler: self.handler,
            open: Rc::default(),
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            if shell.open.get() >= shell.bounds.max_connections {
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

impl ServerShell {
    async fn serve_connection(&self, stream: Async<TcpStream>) -> Result<(), h2::Error> {
        if let Err(error) = stream.get_ref().set_nodelay(true) {
            tracing::debug!(event = EventCode::PeerFailed.number(), %error, "connection failed");
            return Ok(());
        }
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(self.bounds.max_streams)
            .initial_window_size(self.bounds.max_bytes as u32)
            .handshake::<_, Bytes>(stream.compat());
        let Some(connection) = within(self.bounds.timeout, handshake).await else {
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
        let request = within(self.bounds.timeout, read_body(body, self.bounds.max_bytes)).await;
        let (status, bytes) = self.handler.handle(request.flatten()).await;
        let mut response = Response::new(());
        *response.status_mut() = status;
        // A peer that has gone needs no answer.
        if let Ok(mut stream) = respond.send_response(response, bytes.is_empty())
            && !bytes.is_empty()
        {
            _ = stream.send_data(bytes, true);
        }
    }
}

/// Reads a body of at most `max_bytes`; `None` when it is longer or broken off.
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

/// Waits for `work`; `None` after `timeout`.
async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(timeout).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}
