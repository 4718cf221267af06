//! Client of backend servers, which run tasks under leases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, StatusCode};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_worker::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::http_connection::{BufferedResponse, CallError};
use crate::http_pool::HttpPool;
use crate::lease_wire::{
    FenceReply, LEASE_HEADER, LeaseReply, LeaseRequest, RENEWAL_HEADER, RUN_TIMEOUT_HEADER,
    RenewRequest, StopReply, StopState, TASK_HEADER,
};

/// Time for the response to arrive after the run timeout of a task.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a request that concerns a lease, a stop or a fence.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(700);

/// Task with its payload, to be run on a backend server.
#[derive(Debug, Clone)]
pub struct RunStart {
    /// Task, backend server and timeout of the run.
    pub start: TaskStart,
    /// Class of the lease under which it runs.
    pub class: LeaseClass,
    /// Payload that the caller submitted.
    pub payload: Arc<[u8]>,
}

/// Backend server of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAddress {
    /// Worker that hosts the backend server.
    pub worker: WorkerId,
    /// Address at which it accepts tasks.
    pub address: SocketAddr,
}

/// Result of a run, as far as the response to its request shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The complete answer of the task was received.
    Answered(Vec<u8>),
    /// The task did not run, because the worker had no free slot.
    Busy,
    /// The task did not run.
    NotRun,
    /// The task did not run, because its lease had ended.
    LeaseEnded,
    /// The task ran and has ended without an answer.
    Failed,
    /// The task may have run and may still be running.
    Unknown,
}

/// Result of a request to stop a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The task has not run and never will.
    NeverStarted,
    /// The task ran and has ended.
    Ended,
    /// The task is not running; whether it ran before is unknown.
    NotRunning,
}

/// Error of a request to grant or renew a lease.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// The request carried another renewal number than the last one, because a response was lost.
    #[error("the worker expects renewal {0}")]
    RenewalMismatch(RenewalCount),
    /// The lease has ended.
    #[error("the lease has ended")]
    Ended,
    /// There was no valid response; the request may have taken effect.
    #[error("no valid response: {0}")]
    Unanswered(String),
}

/// Runs tasks on backend servers under leases granted by them.
pub trait BackendGateway {
    /// Runs a task to its end under the lease of `grant`.
    fn run(&self, run: RunStart, grant: LeaseGrant) -> BoxedLocal<RunOutcome>;

    /// Stops a task that was, or may have been, started under `lease`.
    fn stop(
        &self,
        backend: BackendAddress,
        task: TaskId,
        lease: LeaseId,
    ) -> BoxedLocal<Result<StopOutcome, CallError>>;

    /// Acquires a new lease for `holder`; if `boot` is given, only from that boot of the worker.
    fn acquire_lease(
        &self,
        backend: BackendAddress,
        holder: HolderId,
        boot: Option<BootId>,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>>;

    /// Renews `lease`; `renewal` is the number of its last renewal.
    fn renew_lease(
        &self,
        backend: BackendAddress,
        lease: LeaseId,
        renewal: RenewalCount,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>>;

    /// Fences `holder`, so that it gets no further leases, unless it still holds one.
    fn fence_holder(
        &self,
        backend: BackendAddress,
        holder: HolderId,
    ) -> BoxedLocal<Result<FenceReply, CallError>>;
}

/// [`BackendGateway`] over HTTP.
#[derive(Clone)]
pub struct HttpBackend {
    pool: HttpPool,
}

impl HttpBackend {
    /// Creates a gateway that uses the connections of `pool`.
    pub fn new(pool: HttpPool) -> Self {
        Self { pool }
    }

    /// Sends a request that concerns a lease, a stop or a fence.
    fn send_control(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> BoxedLocal<Result<BufferedResponse, CallError>> {
        let pool = self.pool.clone();
        async move { pool.call(address, request, CONTROL_TIMEOUT).await }.boxed_local()
    }
}

impl BackendGateway for HttpBackend {
    fn run(&self, run: RunStart, grant: LeaseGrant) -> BoxedLocal<RunOutcome> {
        let pool = self.pool.clone();
        async move {
            let RunStart { start, payload, .. } = run;
            let request = run_request(&start, &payload, grant);
            let timeout = start.run_timeout + ANSWER_GRACE;
            match pool.call(start.address, request, timeout).await {
                Ok(response) => interpret_response(&start, response),
                Err(error) => interpret_error(&start, &error),
            }
        }
        .boxed_local()
    }

    fn stop(
        &self,
        backend: BackendAddress,
        task: TaskId,
        lease: LeaseId,
    ) -> BoxedLocal<Result<StopOutcome, CallError>> {
        let address = backend.address;
        let path = format!("/v1/tasks/{task:032x}");
        let mut request = build_request(Method::Delete, address, &path);
        request.insert_header(LEASE_HEADER, format!("{lease:032x}"));
        let call = self.send_control(address, request);
        async move { parse_stop_reply(address, &call.await?) }.boxed_local()
    }

    fn acquire_lease(
        &self,
        backend: BackendAddress,
        holder: HolderId,
        boot: Option<BootId>,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>> {
        let body = LeaseRequest {
            holder,
            ttl_ms: millis(WORKER_LEASE_TTL),
            boot: boot.map(|boot| format!("{boot:032x}")),
        };
        let request = json_request(backend.address, "/v1/leases", &body);
        let call = self.send_control(backend.address, request);
        async move { parse_lease_reply(call.await) }.boxed_local()
    }

    fn renew_lease(
        &self,
        backend: BackendAddress,
        lease: LeaseId,
        renewal: RenewalCount,
    ) -> BoxedLocal<Result<LeaseGrant, LeaseError>> {
        let path = format!("/v1/leases/{lease:032x}/renewals");
        let request = json_request(backend.address, &path, &RenewRequest { renewal });
        let call = self.send_control(backend.address, request);
        async move { parse_lease_reply(call.await) }.boxed_local()
    }

    fn fence_holder(
        &self,
        backend: BackendAddress,
        holder: HolderId,
    ) -> BoxedLocal<Result<FenceReply, CallError>> {
        let address = backend.address;
        let path = format!("/v1/holders/{holder}/fence");
        let call = self.send_control(address, build_request(Method::Post, address, &path));
        async move {
            let response = call.await?;
            parse_reply(address, &response)
        }
        .boxed_local()
    }
}

fn build_request(method: Method, address: SocketAddr, path: &str) -> Request {
    let url = format!("http://{address}{path}");
    Request::new(method, url.as_str())
}

fn json_request(address: SocketAddr, path: &str, body: &impl Serialize) -> Request {
    let mut request = build_request(Method::Post, address, path);
    // Serialization can't fail, because these bodies contain only JSON-compatible fields.
    request.set_body(serde_json::to_vec(body).unwrap_or_default());
    request
}

fn run_request(start: &TaskStart, payload: &[u8], grant: LeaseGrant) -> Request {
    let mut request = build_request(Method::Post, start.address, "/v1/tasks");
    request.insert_header(TASK_HEADER, format!("{:032x}", start.task));
    request.insert_header(LEASE_HEADER, format!("{:032x}", grant.lease));
    request.insert_header(RENEWAL_HEADER, grant.renewal.to_string());
    request.insert_header(RUN_TIMEOUT_HEADER, millis(start.run_timeout).to_string());
    request.set_body(payload);
    request
}

/// Maps a response to a run's outcome; one without the task id belongs to another request.
fn interpret_response(start: &TaskStart, response: BufferedResponse) -> RunOutcome {
    let status = response.status();
    let matches_task = is_response_to(start.task, &response);
    match status {
        StatusCode::Ok if matches_task => RunOutcome::Answered(response.body),
        StatusCode::PreconditionFailed if matches_task => RunOutcome::LeaseEnded,
        StatusCode::ServiceUnavailable if matches_task => RunOutcome::Busy,
        StatusCode::Gone if matches_task => RunOutcome::NotRun,
        StatusCode::InternalServerError | StatusCode::GatewayTimeout if matches_task => {
            RunOutcome::Failed
        }
        _ => {
            metrics::counter!("pw_answers_discarded_total", "cause" => "foreign").increment(1);
            let event = EventCode::AnswerDiscarded;
            tracing::warn!(event = event.number(), worker = %start.worker, %status, "response discarded");
            RunOutcome::Unknown
        }
    }
}

fn interpret_error(start: &TaskStart, error: &CallError) -> RunOutcome {
    let event = EventCode::BackendFailed;
    tracing::warn!(event = event.number(), worker = %start.worker, %error, "run failed");
    match error {
        CallError::PoolExhausted { .. } => RunOutcome::Busy,
        CallError::NotSent { .. } => RunOutcome::NotRun,
        CallError::Broken { .. } => {
            metrics::counter!("pw_answers_discarded_total", "cause" => "incomplete").increment(1);
            RunOutcome::Unknown
        }
    }
}

fn is_response_to(task: TaskId, response: &BufferedResponse) -> bool {
    let id = response.header(TASK_HEADER);
    id.and_then(|id| TaskId::from_str_radix(id, 16).ok()) == Some(task)
}

fn parse_stop_reply(
    address: SocketAddr,
    response: &BufferedResponse,
) -> Result<StopOutcome, CallError> {
    if response.status() == StatusCode::PreconditionFailed {
        return Ok(StopOutcome::NotRunning);
    }
    let reply: StopReply = parse_reply(address, response)?;
    Ok(match reply.outcome {
        StopState::NeverStarted => StopOutcome::NeverStarted,
        StopState::Stopped | StopState::Finished => StopOutcome::Ended,
    })
}

fn parse_lease_reply(call: Result<BufferedResponse, CallError>) -> Result<LeaseGrant, LeaseError> {
    let response = call.map_err(|error| LeaseError::Unanswered(error.to_string()))?;
    let reply = || {
        serde_json::from_slice::<LeaseReply>(&response.body)
            .map_err(|error| LeaseError::Unanswered(error.to_string()))
    };
    match response.status() {
        StatusCode::Ok | StatusCode::Created => reply().map(|reply| LeaseGrant {
            lease: reply.lease,
            renewal: reply.renewal,
            ttl: Duration::from_millis(reply.ttl_ms),
            boot: reply.boot,
        }),
        StatusCode::Conflict => Err(LeaseError::RenewalMismatch(reply()?.renewal)),
        StatusCode::Gone => Err(LeaseError::Ended),
        status => Err(LeaseError::Unanswered(format!("status {status}"))),
    }
}

fn parse_reply<T: DeserializeOwned>(
    address: SocketAddr,
    response: &BufferedResponse,
) -> Result<T, CallError> {
    let broken = |error: String| CallError::Broken { address, error };
    if response.status() != StatusCode::Ok {
        return Err(broken(format!("status {}", response.status())));
    }
    serde_json::from_slice(&response.body).map_err(|error| broken(error.to_string()))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
