//! Stand-in for a backend server on a worker.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_link::lease_wire::{
    LEASE_HEADER, LeaseReply, LeaseRequest, RENEWAL_HEADER, RUN_TIMEOUT_HEADER, RenewRequest,
    StopReply, TASK_HEADER,
};
use pw_link::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;
use serde::Deserialize;

use crate::journal::{JournalEvent, RunJournal};
use crate::lease_table::{GrantError, LeaseReference, LeaseTable, StartError};
use crate::reply::json_reply;

/// Maximum number of open connections; on loopback all of them come from one address.
const MAX_CONNECTIONS: usize = 4096;

/// Settings of a [`BackendServer`].
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Worker on which the server pretends to run.
    pub worker: WorkerId,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
}

/// Backend server that simulates tasks by waiting.
///
/// The payload may be JSON with `work_ms` and `marker`; the response echoes the payload.
/// `GET /v1/journal` returns the starts and ends of all tasks.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
struct TaskPayload {
    #[serde(default)]
    work_ms: u64,
    #[serde(default)]
    marker: Option<String>,
}

#[derive(Clone)]
struct TaskHandler {
    slots: usize,
    state: Rc<RefCell<ServerState>>,
}

struct ServerState {
    leases: LeaseTable,
    journal: RunJournal,
    /// Senders that wake running tasks so that they check whether they may continue.
    wakers: IndexMap<TaskId, RingSender<()>>,
}

/// Headers of a start request.
#[derive(Clone, Copy)]
struct StartHeaders {
    task: TaskId,
    reference: LeaseReference,
    run_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            worker: WorkerId::from("worker"),
            slots: 8,
        }
    }
}

impl BackendServer {
    /// Starts the server on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or no thread can be started.
    pub fn start(settings: &ServerSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address)?;
        let address = listener.local_addr()?;
        let slots = settings.slots as usize;
        let name = format!("standin-{}", settings.worker);
        DutyThread::spawn(&name, move |spawner| async move {
            let state = Rc::new(RefCell::new(ServerState::new()));
            let handler = Rc::new(TaskHandler { slots, state });
            let server = HttpServer {
                listener,
                spawner,
                handler,
                bounds: ServerBounds {
                    max_connections: MAX_CONNECTIONS,
                    max_per_address: MAX_CONNECTIONS,
                    ..ServerBounds::default()
                },
            };
            // The phase never changes, so the server runs until its listener fails.
            let (_phases, phases) = ring("phases", 1);
            if let Err(error) = server.serve(phases).await {
                tracing::error!(%error, "backend server failed");
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl HttpHandler for TaskHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move { handler.route(request).await }.boxed_local()
    }
}

impl TaskHandler {
    async fn route(&self, request: Request) -> Response {
        let path = request.url().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), parts.as_slice()) {
            (Method::Post, ["v1", "tasks"]) => self.run(request).await,
            (Method::Delete, ["v1", "tasks", task]) => self.stop(&request, task),
            (Method::Post, ["v1", "leases"]) => self.grant_lease(request).await,
            (Method::Post, ["v1", "leases", lease, "renewals"]) => {
                self.renew_lease(request, lease).await
            }
            (Method::Post, ["v1", "holders", holder, "fence"]) => self.fence(holder),
            (Method::Get, ["v1", "journal"]) => {
                json_reply(StatusCode::Ok, self.state.borrow().journal.entries())
            }
            _ => Response::new(StatusCode::NotFound),
        }
    }

    async fn grant_lease(&self, mut request: Request) -> Response {
        let Ok(body) = request.body_json::<LeaseRequest>().await else {
            return Response::new(StatusCode::BadRequest);
        };
        let lease = uuid::Uuid::new_v4().as_u128();
        let ttl = Duration::from_millis(body.ttl_ms).min(WORKER_LEASE_TTL);
        let mut state = self.state.borrow_mut();
        // A malformed boot is mapped to 0, which does not match the current boot.
        let boot = body.boot.map(|boot| parse_id(&boot).unwrap_or_default());
        let grant = state
            .leases
            .check_boot(boot)
            .and_then(|()| state.leases.grant(Instant::now(), lease, body.holder, ttl));
        grant_reply(StatusCode::Created, grant)
    }

    async fn renew_lease(&self, mut request: Request, lease: &str) -> Response {
        let (Some(lease), Ok(body)) = (parse_id(lease), request.body_json::<RenewRequest>().await)
        else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut state = self.state.borrow_mut();
        let grant = state.leases.renew(Instant::now(), lease, body.renewal);
        grant_reply(StatusCode::Ok, grant)
    }

    fn fence(&self, holder: &str) -> Response {
        let mut state = self.state.borrow_mut();
        let reply = state.leases.fence(Instant::now(), holder.into());
        json_reply(StatusCode::Ok, &reply)
    }

    fn stop(&self, request: &Request, task: &str) -> Response {
        let (Some(task), Some(lease)) = (parse_id(task), id_header(request, LEASE_HEADER)) else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut state = self.state.borrow_mut();
        let Some(outcome) = state.leases.stop(Instant::now(), lease, task) else {
            return Response::new(StatusCode::PreconditionFailed);
        };
        state.wake(task);
        json_reply(StatusCode::Ok, &StopReply { outcome })
    }

    async fn run(&self, mut request: Request) -> Response {
        let Some(headers) = StartHeaders::parse(&request) else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut response = match request.body_bytes().await {
            Ok(payload) => self.run_payload(&headers, payload).await,
            Err(_) => Response::new(StatusCode::BadRequest),
        };
        response.insert_header(TASK_HEADER, format!("{:032x}", headers.task));
        response
    }

    /// Runs a task whose payload was received completely.
    async fn run_payload(&self, headers: &StartHeaders, payload: Vec<u8>) -> Response {
        let task: TaskPayload = serde_json::from_slice(&payload).unwrap_or_default();
        let woken = match self.begin(headers, task.marker) {
            Ok(woken) => woken,
            Err(error) => return Response::new(start_status(error)),
        };
        let work = Duration::from_millis(task.work_ms);
        let work_done = async {
            Timer::after(work.min(headers.run_timeout)).await;
            work <= headers.run_timeout
        };
        let mut guard = RunGuard {
            handler: self,
            headers: *headers,
            is_finished: false,
        };
        let done = future::or(self.wait_until_stopped(headers, &woken), work_done).await;
        guard.is_finished = true;
        if !self.finish(headers, done) {
            return Response::new(StatusCode::GatewayTimeout);
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(payload);
        response
    }

    fn begin(
        &self,
        headers: &StartHeaders,
        marker: Option<String>,
    ) -> Result<RingReceiver<()>, StartError> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        state
            .leases
            .start(now, headers.reference, headers.task, self.slots)?;
        state
            .journal
            .add(headers.task, marker, JournalEvent::Started);
        let (waker, woken) = ring("stop", 1);
        state.wakers.insert(headers.task, waker);
        Ok(woken)
    }

    /// Records the end of a task; returns whether the task was completed.
    fn finish(&self, headers: &StartHeaders, done: bool) -> bool {
        let mut state = self.state.borrow_mut();
        state.wakers.swap_remove(&headers.task);
        let may_run = state
            .leases
            .may_run(Instant::now(), headers.reference.lease, headers.task);
        state.leases.end(headers.reference.lease, headers.task);
        let finished = done && may_run;
        let event = if finished {
            JournalEvent::Finished
        } else {
            JournalEvent::Stopped
        };
        state.journal.add(headers.task, None, event);
        finished
    }

    /// Waits until the task may no longer run; returns `false`.
    async fn wait_until_stopped(&self, headers: &StartHeaders, woken: &RingReceiver<()>) -> bool {
        loop {
            let expires_at = {
                let state = self.state.borrow();
                let may_run =
                    state
                        .leases
                        .may_run(Instant::now(), headers.reference.lease, headers.task);
                state
                    .leases
                    .expires_at(headers.reference.lease)
                    .filter(|_| may_run)
            };
            let Some(expires_at) = expires_at else {
                return false;
            };
            // The wait ends when the task is stopped or when the last known expiry is reached.
            _ = woken.recv_until(Some(expires_at)).await;
        }
    }
}

/// Ends a run whose connection is closed before the run has finished.
struct RunGuard<'a> {
    handler: &'a TaskHandler,
    headers: StartHeaders,
    is_finished: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.handler.finish(&self.headers, false);
        }
    }
}

impl ServerState {
    /// Creates the state of a new boot.
    fn new() -> Self {
        Self {
            leases: LeaseTable::new(uuid::Uuid::new_v4().as_u128()),
            journal: RunJournal::default(),
            wakers: IndexMap::new(),
        }
    }

    fn wake(&self, task: TaskId) {
        if let Some(waker) = self.wakers.get(&task) {
            // If the ring is full, an earlier signal will wake the task.
            _ = waker.offer(());
        }
    }
}

impl StartHeaders {
    fn parse(request: &Request) -> Option<Self> {
        Some(Self {
            task: id_header(request, TASK_HEADER)?,
            reference: LeaseReference {
                lease: id_header(request, LEASE_HEADER)?,
                renewal: number_header(request, RENEWAL_HEADER)?,
            },
            run_timeout: Duration::from_millis(number_header(request, RUN_TIMEOUT_HEADER)?),
        })
    }
}

fn grant_reply(status: StatusCode, grant: Result<LeaseGrant, GrantError>) -> Response {
    let to_reply = |grant: LeaseGrant| LeaseReply {
        lease: grant.lease,
        renewal: grant.renewal,
        ttl_ms: u64::try_from(grant.ttl.as_millis()).unwrap_or(u64::MAX),
        boot: grant.boot,
    };
    match grant {
        Ok(grant) => json_reply(status, &to_reply(grant)),
        Err(GrantError::RenewalMismatch(grant)) => {
            json_reply(StatusCode::Conflict, &to_reply(grant))
        }
        Err(GrantError::LeaseEnded) => Response::new(StatusCode::Gone),
        Err(GrantError::Fenced | GrantError::BootMismatch) => Response::new(StatusCode::Forbidden),
    }
}

fn start_status(error: StartError) -> StatusCode {
    match error {
        StartError::LeaseEnded => StatusCode::PreconditionFailed,
        StartError::StaleRenewal | StartError::Stopped => StatusCode::Gone,
        StartError::DuplicateTask => StatusCode::Conflict,
        StartError::NoSlot => StatusCode::ServiceUnavailable,
    }
}

fn id_header(request: &Request, name: &str) -> Option<u128> {
    parse_id(request.header(name)?.last().as_str())
}

fn number_header(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.last().as_str().parse().ok()
}

fn parse_id(text: &str) -> Option<u128> {
    u128::from_str_radix(text, 16).ok()
}
