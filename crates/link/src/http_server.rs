//! An HTTP server on the thread of one duty.

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

/// Most bytes of a refused request that are read, so that the caller can read the refusal.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Longest wait for a caller to close a connection after its last response.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the first byte on a connection that a draining server accepts.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);
/// Pause after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the requests of an HTTP server.
///
/// The future is dropped when the caller closes its side of the connection before the response.
pub trait HttpHandler {
    /// Answers one request with its whole body.
    ///
    /// It carries the [`ServePhase`] at its first byte as an extension.
    fn handle(&self, request: Request) -> BoxedLocal<Response>;

    /// Answers a request that could not be read.
    fn refuse(&self, fault: RequestFault) -> Response {
        Response::new(fault.status())
    }
}

/// Why a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestFault {
    /// The head is not a head of HTTP/1.1.
    HeadMalformed,
    /// The head is longer than 8 KiB.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The body is longer than the bound.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The body ended before its end.
    BodyIncomplete,
    /// Too many bodies are held in memory.
    TooManyBodies,
    /// Too many connections are open.
    TooManyConnections,
}

/// Phase of a server's life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServePhase {
    /// It serves.
    #[default]
    Serving,
    /// It serves, and each response closes its connection.
    Lingering,
    /// It ends once no connection is left.
    Draining,
}

/// Bounds of an HTTP server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerBounds {
    /// Connections that may be open at the same time.
    pub max_connections: usize,
    /// Connections that may be open from one address at the same time.
    pub max_per_address: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Largest body of a request in bytes.
    pub max_body: usize,
    /// Bytes of bodies that may be held at the same time.
    pub max_body_total: usize,
    /// Longest time for the body of a request.
    pub body_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
    /// Longest time for a caller to take a response.
    pub send_timeout: Duration,
}

/// An HTTP server that has not been started yet.
pub struct HttpServer {
    /// Listener for connections.
    pub listener: TcpListener,
    /// Starts a future for each connection.
    pub spawner: TaskSpawner,
    /// Answers the requests.
    pub handler: Rc<dyn HttpHandler>,
    /// Bounds of the server.
    pub bounds: ServerBounds,
}

struct ServerShell {
    spawner: TaskSpawner,
    handler: Rc<dyn HttpHandler>,
    bounds: ServerBounds,
    phase: Cell<ServePhase>,
    /// Closed when the server drains.
    drain: RingReceiver<()>,
    connections: RefCell<ConnectionCount>,
    body_bytes: Cell<usize>,
    /// Takes a message when a connection has ended.
    ended: RingSender<()>,
}

#[derive(Default)]
struct ConnectionCount {
    open: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// Counts a connection as open until it is dropped.
struct ConnectionSlot {
    shell: Rc<ServerShell>,
    address: IpAddr,
}

/// Reserves memory for the body of a request until it is dropped.
struct BodyReserve {
    shell: Rc<ServerShell>,
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

/// Accepts connections for ever and answers their requests with `handler`.
///
/// # Errors
///
/// Fails when the listener fails.
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
    /// Serves until it has drained, or until the sender of `phases` is gone.
    ///
    /// # Errors
    ///
    /// Fails when the listener fails.
    pub async fn serve(self, phases: RingReceiver<ServePhase>) -> io::Result<()> {
        let listener = Async::new(self.listener)?;
        let (drain_sender, drain) = ring("drain", 1);
        let (ended, ended_receiver) = ring("ended", 1);
        let shell = Rc::new(ServerShell {
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
            match shell.next_input(&listener, &phases, &ended_receiver).await {
                ServerInput::Accepted(stream, address) => shell.accept(stream, address),
                ServerInput::Phase(phase) => {
                    shell.phase.set(phase);
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
            let drained = drain_sender.is_none() && shell.connections.borrow().open == 0;
            if drained && !accept_pending(&shell, &listener) {
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

/// Accepts the connections that wait already; returns whether there was one.
fn accept_pending(shell: &Rc<ServerShell>, listener: &Async<TcpListener>) -> bool {
    let mut accepted = false;
    while let Ok((stream, address)) = listener.get_ref().accept() {
        let Ok(stream) = Async::new(stream) else {
            continue;
        };
        shell.accept(stream, address);
        accepted = true;
    }
    accepted
}

impl ServerShell {
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
            // The shell holds a sender, so the ring stays open.
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
        let shell = Rc::clone(self);
        match self.take_slot(address.ip()) {
            Some(slot) => self.spawner.spawn(async move {
                shell.serve_connection(&mut stream).await;
                drop(slot);
            }),
            None => self.spawner.spawn(async move {
                shell
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
        let shell = Rc::clone(self);
        Some(ConnectionSlot { shell, address })
    }

    /// Answers the requests of a connection, one after the other.
    async fn serve_connection(self: &Rc<Self>, stream: &mut RequestStream) {
        let mut first = true;
        loop {
            match self.serve_request(stream, first).await {
                Ok(true) => first = false,
                Ok(false) => return,
                Err(fault) => return self.refuse(stream, fault).await,
            }
        }
    }

    /// Answers the next request; returns whether the connection may carry another one.
    async fn serve_request(
        self: &Rc<Self>,
        stream: &mut RequestStream,
        first: bool,
    ) -> Result<bool, RequestFault> {
        let Some(mut request) = self.next_head(stream, first).await? else {
            return Ok(false);
        };
        let reserve = self.read_body(&mut request).await?;
        let method = request.method();
        let closes = has_close(request.header(headers::CONNECTION)) || !stream.is_over();
        let answer = async { Some(self.handler.handle(request).await) };
        let gone = async {
            stream.closed().await;
            None
        };
        let Some(mut response) = future::or(answer, gone).await else {
            metrics::counter!("pw_requests_abandoned_total").increment(1);
            return Ok(false);
        };
        drop(reserve);
        if closes || self.phase.get() != ServePhase::Serving {
            response.insert_header(headers::CONNECTION, "close");
        }
        let closes = has_close(response.header(headers::CONNECTION));
        let sent = self.send(stream, response, method).await;
        if sent && closes {
            finish(stream).await;
        }
        Ok(sent && !closes)
    }

    /// Reads the head of the next request; `None` when the connection has ended.
    async fn next_head(
        &self,
        stream: &mut RequestStream,
        first: bool,
    ) -> Result<Option<Request>, RequestFault> {
        if !self.wait_for_request(stream, first).await {
            return Ok(None);
        }
        let phase = self.phase.get();
        let decode = async { Some(async_h1::server::decode(stream.clone()).await) };
        let head = future::or(decode, after(self.bounds.head_timeout)).await;
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

    /// Replaces the body of `request` by its bytes, once all of them have arrived.
    async fn read_body(
        self: &Rc<Self>,
        request: &mut Request,
    ) -> Result<BodyReserve, RequestFault> {
        let max_body = self.bounds.max_body;
        let declared = request.len();
        let expected = declared.unwrap_or(if has_chunks(request) { max_body } else { 0 });
        if expected > max_body {
            return Err(RequestFault::BodyTooLarge);
        }
        let reserve = self.reserve(expected).ok_or(RequestFault::TooManyBodies)?;
        if expected == 0 {
            return Ok(reserve);
        }
        let mut bytes = Vec::with_capacity(declared.unwrap_or_default());
        let mut body = request.take_body().take(max_body as u64 + 1);
        let read = async { Some(body.read_to_end(&mut bytes).await) };
        let read = future::or(read, after(self.bounds.body_timeout)).await;
        let read = read.ok_or(RequestFault::BodyTooSlow)?;
        if bytes.len() > max_body {
            return Err(RequestFault::BodyTooLarge);
        }
        if read.is_err() || declared.is_some_and(|declared| declared != bytes.len()) {
            return Err(RequestFault::BodyIncomplete);
        }
        request.set_body(bytes);
        Ok(reserve)
    }

    fn reserve(self: &Rc<Self>, bytes: usize) -> Option<BodyReserve> {
        let total = self.body_bytes.get().checked_add(bytes)?;
        if total > self.bounds.max_body_total {
            return None;
        }
        self.body_bytes.set(total);
        let shell = Rc::clone(self);
        Some(BodyReserve { shell, bytes })
    }

    /// Waits for the first byte of a request; returns whether there is one.
    ///
    /// A byte that has arrived goes before the end of the server, and a caller that has just
    /// connected gets time for its first byte.
    async fn wait_for_request(&self, stream: &mut RequestStream, first: bool) -> bool {
        let arrived = async { stream.wait_for_request().await.unwrap_or(false) };
        let drained = async {
            // The ring has no messages; it ends when the server drains.
            _ = self.drain.recv().await;
            if first {
                Timer::after(FIRST_BYTE_GRACE).await;
            }
            false
        };
        let idle = async { after(self.bounds.idle_timeout).await.unwrap_or(false) };
        future::or(arrived, future::or(drained, idle)).await
    }

    async fn refuse(&self, stream: &mut RequestStream, fault: RequestFault) {
        metrics::counter!("pw_requests_refused_total", "fault" => fault.to_string()).increment(1);
        let mut response = self.handler.refuse(fault);
        response.insert_header(headers::CONNECTION, "close");
        if self.send(stream, response, Method::Get).await {
            finish(stream).await;
        }
    }

    /// Sends a response; returns whether the caller took it in time.
    async fn send(&self, stream: &mut RequestStream, response: Response, method: Method) -> bool {
        let send = async {
            let mut bytes = Vec::new();
            let mut encoder = async_h1::server::Encoder::new(response, method);
            encoder.read_to_end(&mut bytes).await?;
            stream.write_all(&bytes).await
        };
        let late = async {
            Timer::after(self.bounds.send_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(send, late).await {
            Ok(()) => true,
            Err(error) => {
                tracing::debug!(event = EventCode::CallerFailed.number(), %error, "connection failed");
                false
            }
        }
    }
}

impl Drop for BodyReserve {
    fn drop(&mut self) {
        let total = &self.shell.body_bytes;
        total.set(total.get() - self.bytes);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut count = self.shell.connections.borrow_mut();
        count.open -= 1;
        if let Some(from_address) = count.by_address.get_mut(&self.address) {
            *from_address -= 1;
            if *from_address == 0 {
                count.by_address.remove(&self.address);
            }
        }
        // One message is enough to wake the server.
        _ = self.shell.ended.offer(());
    }
}

/// Returns nothing after `timeout`.
async fn after<T>(timeout: Duration) -> Option<T> {
    Timer::after(timeout).await;
    None
}

/// Ends a connection without cutting off its last response.
async fn finish(stream: &mut RequestStream) {
    let finished = async {
        stream.finish(MAX_DISCARDED_BYTES).await;
        None
    };
    future::or(finished, after::<()>(FINISH_TIMEOUT)).await;
}

fn part_after_head(request: &Request) -> RequestPart {
    if has_chunks(request) {
        return RequestPart::Chunks;
    }
    let left = request.len().unwrap_or_default() as u64;
    RequestPart::Body { left }
}

fn has_chunks(request: &Request) -> bool {
    request.header(headers::TRANSFER_ENCODING).is_some()
}

fn has_close(connection: Option<&headers::HeaderValues>) -> bool {
    connection.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}
