//! Stand-in of a backend server on a worker.

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

/// Connections that may be open at the same time; on loopback all come from one address.
const MAX_CONNECTIONS: usize = 4096;

/// How a stand-in backend server behaves.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Address to listen at.
    pub address: SocketAddr,
    /// Worker that it stands for.
    pub worker: WorkerId,
    /// Tasks that it runs at the same time.
    pub slots: u32,
}

/// A backend server that runs made-up tasks.
///
/// The payload may be JSON with `work_ms` and `marker`; the answer is the payload again.
/// `GET /v1/journal` tells what ran.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
struct WorkOrder {
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
    /// Wakes running tasks, so that they look whether they may go on.
    wakers: IndexMap<TaskId, RingSender<()>>,
}

/// Headers of a start.
#[derive(Clone, Copy)]
struct StartHead {
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
    /// Starts the server on a thread of its own.
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
            // Without a change of its phase the server serves until its listener fails.
            let (_phases, phases) = ring("phases", 1);
            if let Err(error) = server.serve(phases).await {
                tracing::error!(%error, "backend server failed");
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address that the server listens at.
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
            (Method::Post, ["v1", "leases"]) => self.take_lease(request).await,
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

    async fn take_lease(&self, mut request: Request) -> Response {
        let Ok(body) = request.body_json::<LeaseRequest>().await else {
            return Response::new(StatusCode::BadRequest);
        };
        let lease = uuid::Uuid::new_v4().as_u128();
        let ttl = Duration::from_millis(body.ttl_ms).min(WORKER_LEASE_TTL);
        let mut state = self.state.borrow_mut();
        // A name that is not a boot is not this one.
        let boot = body.boot.map(|boot| parse_id(&boot).unwrap_or_default());
        let grant = state
            .leases
            .check_boot(boot)
            .and_then(|()| state.leases.take(Instant::now(), lease, body.holder, ttl));
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
        let Some(head) = StartHead::of(&request) else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut response = match request.body_bytes().await {
            Ok(payload) => self.run_whole(&head, payload).await,
            Err(_) => Response::new(StatusCode::BadRequest),
        };
        response.insert_header(TASK_HEADER, format!("{:032x}", head.task));
        response
    }

    /// Runs a task whose payload has arrived.
    async fn run_whole(&self, head: &StartHead, payload: Vec<u8>) -> Response {
        let order: WorkOrder = serde_json::from_slice(&payload).unwrap_or_default();
        let woken = match self.begin(head, order.marker) {
            Ok(woken) => woken,
            Err(error) => return Response::new(start_status(error)),
        };
        let work = Duration::from_millis(order.work_ms);
        let whole = async {
            Timer::after(work.min(head.run_timeout)).await;
            work <= head.run_timeout
        };
        let mut guard = RunGuard {
            handler: self,
            head: *head,
            is_finished: false,
        };
        let done = future::or(self.until_stopped(head, &woken), whole).await;
        guard.is_finished = true;
        if !self.finish(head, done) {
            return Response::new(StatusCode::GatewayTimeout);
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(payload);
        response
    }

    fn begin(
        &self,
        head: &StartHead,
        marker: Option<String>,
    ) -> Result<RingReceiver<()>, StartError> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        state
            .leases
            .start(now, head.reference, head.task, self.slots)?;
        state.journal.add(head.task, marker, JournalEvent::Started);
        let (waker, woken) = ring("stop", 1);
        state.wakers.insert(head.task, waker);
        Ok(woken)
    }

    /// Notes the end of a task; returns whether its answer is whole.
    fn finish(&self, head: &StartHead, done: bool) -> bool {
        let mut state = self.state.borrow_mut();
        state.wakers.swap_remove(&head.task);
        let allowed = state
            .leases
            .may_run(Instant::now(), head.reference.lease, head.task);
        state.leases.end(head.reference.lease, head.task);
        let finished = done && allowed;
        let event = if finished {
            JournalEvent::Finished
        } else {
            JournalEvent::Stopped
        };
        state.journal.add(head.task, None, event);
        finished
    }

    /// Waits until the task may no longer run.
    async fn until_stopped(&self, head: &StartHead, woken: &RingReceiver<()>) -> bool {
        loop {
            let expires_at = {
                let state = self.state.borrow();
                let allowed = state
                    .leases
                    .may_run(Instant::now(), head.reference.lease, head.task);
                state
                    .leases
                    .expires_at(head.reference.lease)
                    .filter(|_| allowed)
            };
            let Some(expires_at) = expires_at else {
                return false;
            };
            // Either the lease may have ended or a stop may have come.
            _ = woken.recv_until(Some(expires_at)).await;
        }
    }
}

/// Ends a run whose connection is gone before its end.
struct RunGuard<'a> {
    handler: &'a TaskHandler,
    head: StartHead,
    is_finished: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.handler.finish(&self.head, false);
        }
    }
}

impl ServerState {
    /// Returns the state of a new boot.
    fn new() -> Self {
        Self {
            leases: LeaseTable::new(uuid::Uuid::new_v4().as_u128()),
            journal: RunJournal::default(),
            wakers: IndexMap::new(),
        }
    }

    fn wake(&self, task: TaskId) {
        if let Some(waker) = self.wakers.get(&task) {
            // A full ring wakes the task as well.
            _ = waker.offer(());
        }
    }
}

impl StartHead {
    fn of(request: &Request) -> Option<Self> {
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
    let reply = |grant: LeaseGrant| LeaseReply {
        lease: grant.lease,
        renewal: grant.renewal,
        ttl_ms: u64::try_from(grant.ttl.as_millis()).unwrap_or(u64::MAX),
        boot: grant.boot,
    };
    match grant {
        Ok(grant) => json_reply(status, &reply(grant)),
        Err(GrantError::RenewalMismatch(grant)) => json_reply(StatusCode::Conflict, &reply(grant)),
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
