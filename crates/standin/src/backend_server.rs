//! Stand-in of a backend server on a worker.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Request, Response, StatusCode};
use pw_base::prelude::*;
use pw_link::backend::{LEASE_HEADER, TASK_HEADER};
use pw_link::prelude::*;
use pw_ring::prelude::*;
use serde::Deserialize;

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
/// The payload may be JSON with `work_ms`; the answer is the payload again.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
}

#[derive(Debug, Default, Deserialize)]
struct WorkOrder {
    #[serde(default)]
    work_ms: u64,
}

#[derive(Debug, Clone)]
struct TaskHandler {
    slots: u32,
    running: Rc<Cell<u32>>,
    known: Rc<RefCell<HashSet<TaskId>>>,
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
        let slots = settings.slots;
        DutyThread::spawn(
            &format!("standin-{}", settings.worker),
            move |spawner| async move {
                let handler = Rc::new(TaskHandler {
                    slots,
                    running: Rc::default(),
                    known: Rc::default(),
                });
                if let Err(error) = serve_http(listener, spawner, handler).await {
                    tracing::error!(%error, "backend server failed");
                }
            },
        )?;
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
        async move { handler.run(request).await }.boxed_local()
    }
}

impl TaskHandler {
    async fn run(&self, mut request: Request) -> Response {
        let (Some(task), Some(lease)) = (task_header(&request), lease_header(&request)) else {
            return Response::new(StatusCode::BadRequest);
        };
        let Ok(payload) = request.body_bytes().await else {
            return Response::new(StatusCode::BadRequest);
        };
        if self.running.get() >= self.slots {
            return Response::new(StatusCode::ServiceUnavailable);
        }
        if !self.known.borrow_mut().insert(task) {
            return Response::new(StatusCode::Conflict);
        }
        let order: WorkOrder = serde_json::from_slice(&payload).unwrap_or_default();
        let work = Duration::from_millis(order.work_ms);
        self.running.set(self.running.get() + 1);
        Timer::after(work.min(lease)).await;
        self.running.set(self.running.get() - 1);
        if work > lease {
            return Response::new(StatusCode::GatewayTimeout);
        }
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(TASK_HEADER, format!("{task:032x}"));
        response.set_body(payload);
        response
    }
}

fn task_header(request: &Request) -> Option<TaskId> {
    let text = request.header(TASK_HEADER)?.last().as_str();
    TaskId::from_str_radix(text, 16).ok()
}

fn lease_header(request: &Request) -> Option<Duration> {
    let text = request.header(LEASE_HEADER)?.last().as_str();
    text.parse().ok().map(Duration::from_millis)
}
