//! HTTP/1.1 server that runs on a single duty thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::{self, BoxedLocal};
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode, headers};
use pw_base::prelude::*;
use pw_ring::prelude::*;
use strum::{Display, EnumIter};

use crate::request_stream::{MAX_HEAD_BYTES, RequestPart, RequestStream};

/// Maximum number of bytes discarded before a connection is closed, so that the caller can read the
/// last response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Time for a caller to close its connection after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the first byte on a new connection while the server drains.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles the requests of an [`HttpServer`].
///
/// The future of a request is dropped when the caller closes its side of the connection before the
/// response.
pub trait HttpHandler {
    /// Handles a request whose body has been received completely.
    ///
    /// An extension of the request holds the [`ServePhase`] at its first byte.
    fn handle(&self, request: Request) -> BoxedLocal<Response>;

    /// Returns the response to a request that could not be read.
    fn refuse(&self, fault: RequestFault) -> Response {
        Response::new(fault.status())
    }
}

/// Reason why a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestFault {
    /// The head is not valid HTTP/1.1.
    HeadMalformed,
    /// The head is longer than 8 KiB.
    HeadTooLarge,
    /// The head was not received in time.
    HeadTooSlow,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// The body ended before it was complete.
    BodyIncomplete,
    /// The bodies in memory exceed their total size limit.
    TooManyBodies,
    /// Too many connections are open.
    TooManyConnections,
}

/// Phase of a server's lifecycle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServePhase {
    /// Normal operation.
    #[default]
    Serving,
    /// Requests are served, and each response closes its connection.
    Lingering,
    /// The server stops once no connection is left.
    Draining,
}

/// Limits of an HTTP server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerBounds {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of open connections from one address.
    pub max_per_address: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Maximum total size in bytes of the request bodies in memory.
    pub max_body_total: usize,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for sending a response.
    pub send_timeout: Duration,
}

/// HTTP server that has not been started yet.
pub struct HttpServer {
    /// Listening socket.
    pub listener: TcpListener,
    /// Spawns a future for each connection.
    pub spawner: TaskSpawner,
    /// Handles the requests.
    pub handler: Rc<dyn HttpHandler>,
    /// Limits of the server.
    pub bounds: ServerBounds,
}

struct ServerState {
    spawner: TaskSpawner,
    handler: Rc<dyn HttpHandler>,
    bounds: ServerBounds,
    phase: Cell<ServePhase>,
    /// Ring that closes when the server drains.
    drain: RingReceiver<()>,
    connections: RefCell<ConnectionCount>,
    body_bytes: Cell<usize>,
    /// Wakes the server after the end of a connection.
    ended: RingSender<()>,
}

#[derive(Default)]
struct ConnectionCount {
    open: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// Slot of an open connection, released when dropped.
struct ConnectionSlot {
    state: Rc<ServerState>,
    address: IpAddr,
}

/// Reservation of memory for a request body, released when dropped.
struct BodyReservation {
    state: Rc<ServerState>,
    bytes: usize,
}

impl RequestFault {
    /// Returns the status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::HeadMalformed => StatusCode::BadRequest,
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::HeadTooSlow | Self::BodyTooSlow => StatusCode::RequestTimeout,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::BodyIncomplete => StatusCode::BadRequest,
            Self::TooManyBodies | Self::TooManyConnections => StatusCode::ServiceUnavailable,
        }
    }
}

impl Default for ServerBounds {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_per_address: 512,
            head_timeout: Duration::from_secs(10),
            max_body: 16 * 1024 * 1024,
            max_body_total: 256 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            send_timeout: Duration::from_secs(10),
        }
    }
}

/// Accepts connections indefinitely and handles their requests with `handler`.
///
/// # Errors
///
/// Fails when the listener can't be registered for asynchronous use.
pub async fn serve_http(
    listener: TcpListener,
    spawner: TaskSpawner,
    handler: Rc<dyn HttpHandler>,
) -> io::Result<()> {
    let server = HttpServer {
        listener,
        spawner,
        handler,
        bounds: ServerBounds::default(),
    };
    let (_phases, phases) = ring("phases", 1);
    server.serve(phases).await
}

impl HttpServer {
    /// Serves requests until the server has drained or the sender of `phases` is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be registered for asynchronous use.
    pub async fn serve(self, phases: RingReceiver<ServePhase>) -> io::Result<()> {
        let listener = Async::new(self.listener)?;
        let (drain_sender, drain) = ring("drain", 1);
        let (ended, ended_receiver) = ring("ended", 1);
        let state = Rc::new(ServerState {
            spawner: self.spawner,
            handler: self.handler,
            bounds: self.bounds,
            phase: Cell::default(),
            drain,
            connections: RefCell::default(),
            body_bytes: Cell::default(),
            ended,
        });
        let mut drain_sender = Some(drain_sender);
        loop {
            match state.next_input(&listener, &phases, &ended_receiver).await {
                ServerInput::Accepted(stream, address) => state.accept(stream, address),
                ServerInput::Phase(phase) => {
                    state.phase.set(phase);
                    if phase == ServePhase::Draining {
                        drain_sender = None;
                    }
                }
                ServerInput::AcceptFailed(error) => {
                    let event = EventCode::CallerFailed;
                    tracing::warn!(event = event.number(), %error, "connection not accepted");
                    Timer::after(ACCEPT_PAUSE).await;
                }
                ServerInput::ConnectionEnded => {}
                ServerInput::Stopped => return Ok(()),
            }
            let drained = drain_sender.is_none() && state.connections.borrow().open == 0;
            if drained && !accept_pending(&state, &listener) {
                return Ok(());
            }
        }
    }
}

enum ServerInput {
    Accepted(Async<TcpStream>, SocketAddr),
    AcceptFailed(io::Error),
    Phase(ServePhase),
    ConnectionEnded,
    Stopped,
}

/// Accepts the connections in the listener's backlog; returns whether there were any.
fn accept_pending(state: &Rc<ServerState>, listener: &Async<TcpListener>) -> bool {
    let mut accepted = false;
    while let Ok((stream, address)) = listener.get_ref().accept() {
        let Ok(stream) = Async::new(stream) else {
            continue;
        };
        state.accept(stream, address);
        accepted = true;
    }
    accepted
}

impl ServerState {
    async fn next_input(
        &self,
        listener: &Async<TcpListener>,
        phases: &RingReceiver<ServePhase>,
        ended: &RingReceiver<()>,
    ) -> ServerInput {
        let phase = async {
            phases
                .recv()
                .await
                .map_or(ServerInput::Stopped, ServerInput::Phase)
        };
        let ended = async {
            // The server state holds a sender, so the ring stays open.
            _ = ended.recv().await;
            ServerInput::ConnectionEnded
        };
        let accept = async {
            match listener.accept().await {
                Ok((stream, address)) => ServerInput::Accepted(stream, address),
                Err(error) => ServerInput::AcceptFailed(error),
            }
        };
        future::or(phase, future::or(ended, accept)).await
    }

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>, address: SocketAddr) {
        if let Err(error) = stream.get_ref().set_nodelay(true) {
            tracing::debug!(event = EventCode::CallerFailed.number(), %error, "connection failed");
            return;
        }
        let mut stream = RequestStream::new(stream);
        let state = Rc::clone(self);
        match self.take_slot(address.ip()) {
            Some(slot) => self.spawner.spawn(async move {
                state.serve_connection(&mut stream).await;
                drop(slot);
            }),
            None => self.spawner.spawn(async move {
                state
                    .refuse(&mut stream, RequestFault::TooManyConnections)
                    .await;
            }),
        }
    }

    fn take_slot(self: &Rc<Self>, address: IpAddr) -> Option<ConnectionSlot> {
        let mut count = self.connections.borrow_mut();
        let from_address = count.by_address.get(&address).copied().unwrap_or_default();
        let bounds = &self.bounds;
        if count.open >= bounds.max_connections || from_address >= bounds.max_per_address {
            return None;
        }
        count.open += 1;
        count.by_address.insert(address, from_address + 1);
        let state = Rc::clone(self);
        Some(ConnectionSlot { state, address })
    }

    /// Serves the requests of a connection in sequence.
    async fn serve_connection(self: &Rc<Self>, stream: &mut RequestStream) {
        let mut first_request = true;
        loop {
            match self.serve_request(stream, first_request).await {
                Ok(true) => first_request = false,
                Ok(false) => return,
                Err(fault) => return self.refuse(stream, fault).await,
            }
        }
    }

    /// Serves the next request; returns whether the connection can be reused.
    async fn serve_request(
        self: &Rc<Self>,
        stream: &mut RequestStream,
        first_request: bool,
    ) -> Result<bool, RequestFault> {
        let Some(mut request) = self.next_head(stream, first_request).await? else {
            return Ok(false);
        };
        let reservation = self.read_body(&mut request).await?;
        let method = request.method();
        let close = has_close(request.header(headers::CONNECTION)) || !stream.is_complete();
        let handled = async { Some(self.handler.handle(request).await) };
        let disconnected = async {
            stream.closed().await;
            None
        };
        let Some(mut response) = future::or(handled, disconnected).await else {
            metrics::counter!("pw_requests_abandoned_total").increment(1);
            return Ok(false);
        };
        drop(reservation);
        if close || self.phase.get() != ServePhase::Serving {
            response.insert_header(headers::CONNECTION, "close");
        }
        let close = has_close(response.header(headers::CONNECTION));
        let sent = self.send(stream, response, method).await;
        if sent && close {
            close_gracefully(stream).await;
        }
        Ok(sent && !close)
    }

    /// Reads the head of the next request; `None` when the connection has ended.
    async fn next_head(
        &self,
        stream: &mut RequestStream,
        first_request: bool,
    ) -> Result<Option<Request>, RequestFault> {
        if !self.wait_for_request(stream, first_request).await {
            return Ok(None);
        }
        let phase = self.phase.get();
        let decode = async { Some(async_h1::server::decode(stream.clone()).await) };
        let head = future::or(decode, expire(self.bounds.head_timeout)).await;
        match head.ok_or(RequestFault::HeadTooSlow)? {
            Ok(None) => Ok(None),
            Ok(Some((mut request, _))) => {
                stream.expect(part_after_head(&request));
                request.ext_mut().insert(phase);
                Ok(Some(request))
            }
            Err(_) if stream.head_bytes() >= MAX_HEAD_BYTES => Err(RequestFault::HeadTooLarge),
            Err(_) => Err(RequestFault::HeadMalformed),
        }
    }

    /// Receives the complete body of `request` and replaces the body with its bytes.
    async fn read_body(
        self: &Rc<Self>,
        request: &mut Request,
    ) -> Result<BodyReservation, RequestFault> {
        let max_body = self.bounds.max_body;
        let declared = request.len();
        let expected = declared.unwrap_or(if is_chunked(request) { max_body } else { 0 });
        if expected > max_body {
            return Err(RequestFault::BodyTooLarge);
        }
        let reservation = self
            .reserve_body(expected)
            .ok_or(RequestFault::TooManyBodies)?;
        if expected == 0 {
            return Ok(reservation);
        }
        let mut bytes = Vec::with_capacity(declared.unwrap_or_default());
        let mut body = request.take_body().take(max_body as u64 + 1);
        let read = async { Some(body.read_to_end(&mut bytes).await) };
        let read = future::or(read, expire(self.bounds.body_timeout)).await;
        let read = read.ok_or(RequestFault::BodyTooSlow)?;
        if bytes.len() > max_body {
            return Err(RequestFault::BodyTooLarge);
        }
        if read.is_err() || declared.is_some_and(|declared| declared != bytes.len()) {
            return Err(RequestFault::BodyIncomplete);
        }
        request.set_body(bytes);
        Ok(reservation)
    }

    fn reserve_body(self: &Rc<Self>, bytes: usize) -> Option<BodyReservation> {
        let total = self.body_bytes.get().checked_add(bytes)?;
        if total > self.bounds.max_body_total {
            return None;
        }
        self.body_bytes.set(total);
        let state = Rc::clone(self);
        Some(BodyReservation { state, bytes })
    }

    /// Waits for the first byte of a request; returns false when the connection is to be closed.
    ///
    /// While the server drains, a request that has already arrived is still served, and a new
    /// connection has [`FIRST_BYTE_GRACE`] for its first byte.
    async fn wait_for_request(&self, stream: &mut RequestStream, first_request: bool) -> bool {
        let arrived = async { stream.wait_for_request().await.unwrap_or(false) };
        let drained = async {
            // The ring carries no messages; it closes when the server drains.
            _ = self.drain.recv().await;
            if first_request {
                Timer::after(FIRST_BYTE_GRACE).await;
            }
            false
        };
        let idle = async { expire(self.bounds.idle_timeout).await.unwrap_or(false) };
        future::or(arrived, future::or(drained, idle)).await
    }

    async fn refuse(&self, stream: &mut RequestStream, fault: RequestFault) {
        metrics::counter!("pw_requests_refused_total", "fault" => fault.to_string()).increment(1);
        let mut response = self.handler.refuse(fault);
        response.insert_header(headers::CONNECTION, "close");
        if self.send(stream, response, Method::Get).await {
            close_gracefully(stream).await;
        }
    }

    /// Sends a response; returns whether it was sent in time.
    async fn send(&self, stream: &mut RequestStream, response: Response, method: Method) -> bool {
        let send = async {
            let mut bytes = Vec::new();
            let mut encoder = async_h1::server::Encoder::new(response, method);
            encoder.read_to_end(&mut bytes).await?;
            stream.write_all(&bytes).await
        };
        let timer = async {
            Timer::after(self.bounds.send_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(send, timer).await {
            Ok(()) => true,
            Err(error) => {
                tracing::debug!(event = EventCode::CallerFailed.number(), %error, "connection failed");
                false
            }
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let total = &self.state.body_bytes;
        total.set(total.get() - self.bytes);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut count = self.state.connections.borrow_mut();
        count.open -= 1;
        if let Some(from_address) = count.by_address.get_mut(&self.address) {
            *from_address -= 1;
            if *from_address == 0 {
                count.by_address.remove(&self.address);
            }
        }
        // The send may fail on a full ring; the message in it already wakes the server.
        _ = self.state.ended.offer(());
    }
}

/// Returns `None` after `timeout`.
async fn expire<T>(timeout: Duration) -> Option<T> {
    Timer::after(timeout).await;
    None
}

/// Closes a connection after its last response without resetting it.
async fn close_gracefully(stream: &mut RequestStream) {
    let closed = async {
        stream.close_gracefully(MAX_DISCARDED_BYTES).await;
        None
    };
    future::or(closed, expire::<()>(CLOSE_TIMEOUT)).await;
}

fn part_after_head(request: &Request) -> RequestPart {
    if is_chunked(request) {
        return RequestPart::Chunks;
    }
    let left = request.len().unwrap_or_default() as u64;
    RequestPart::Body { left }
}

fn is_chunked(request: &Request) -> bool {
    request.header(headers::TRANSFER_ENCODING).is_some()
}

fn has_close(connection: Option<&headers::HeaderValues>) -> bool {
    connection.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}
