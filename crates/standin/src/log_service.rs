//! Stand-in for the platform's log service.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;
use serde::Deserialize;
use serde_json::json;

use crate::reply::json_reply;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1_000;
/// Poll interval of a read that waits for records.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time that a read waits for records.
const MAX_READ_WAIT: Duration = Duration::from_secs(10);

/// Log service that keeps its records in memory.
#[derive(Debug)]
pub struct LogService {
    address: SocketAddr,
}

#[derive(Debug, Default, Clone)]
struct LogHandler {
    records: Rc<RefCell<Vec<Vec<u8>>>>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: usize,
    #[serde(default)]
    wait_ms: u64,
}

impl LogService {
    /// Starts the service on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or no thread can be started.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        DutyThread::spawn("standin-log", move |spawner| async move {
            let handler = Rc::new(LogHandler::default());
            if let Err(error) = serve_http(listener, spawner, handler).await {
                tracing::error!(%error, "log service failed");
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl HttpHandler for LogHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            match request.method() {
                Method::Post => handler.append(request).await,
                Method::Get => handler.read(&request).await,
                _ => Response::new(StatusCode::MethodNotAllowed),
            }
        }
        .boxed_local()
    }
}

impl LogHandler {
    async fn append(&self, mut request: Request) -> Response {
        let Ok(record) = request.body_bytes().await else {
            return Response::new(StatusCode::BadRequest);
        };
        let mut records = self.records.borrow_mut();
        records.push(record);
        let offset: LogOffset = (records.len() - 1) as LogOffset;
        json_reply(StatusCode::Created, &json!({ "offset": offset }))
    }

    async fn read(&self, request: &Request) -> Response {
        let Ok(query) = request.query::<ReadQuery>() else {
            return Response::new(StatusCode::BadRequest);
        };
        let wait = Duration::from_millis(query.wait_ms).min(MAX_READ_WAIT);
        let deadline = Instant::now() + wait;
        while self.records.borrow().len() <= query.from && Instant::now() < deadline {
            Timer::after(READ_POLL_INTERVAL).await;
        }
        let records = self.records.borrow();
        let entries: Vec<WireEntry> = records
            .iter()
            .enumerate()
            .skip(query.from)
            .take(MAX_READ_RECORDS)
            .map(|(offset, record)| WireEntry {
                offset: offset as LogOffset,
                record: BASE64_STANDARD.encode(record),
            })
            .collect();
        let end = records.len() as LogOffset;
        json_reply(StatusCode::Ok, &WireBatch { entries, end })
    }
}
