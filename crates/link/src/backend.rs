//! Backend servers, which run tasks under leases.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, StatusCode};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;

use crate::http_call::{CallError, WholeResponse, call_http};

/// Header that carries the identity of a task, in both directions.
pub const TASK_HEADER: &str = "Task-Id";
/// Header that carries the length of the lease in milliseconds.
pub const LEASE_HEADER: &str = "Lease-Ms";
/// Time for the answer's way back after the lease has ended.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// A task with its payload, on its way to a backend server.
#[derive(Debug, Clone)]
pub struct RunStart {
    /// Where and how it runs.
    pub start: TaskStart,
    /// Bytes that the caller submitted.
    pub payload: Arc<[u8]>,
}

/// How a run ended, with the whole answer when there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// How it ended.
    pub report: RunReport,
    /// The whole answer; empty unless the report says answered.
    pub answer: Vec<u8>,
}

/// Runs tasks on backend servers.
pub trait BackendGateway {
    /// Runs one task to its end.
    fn run(&self, run: RunStart) -> BoxedLocal<RunResult>;
}

/// Gateway to backend servers over HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpBackend;

impl RunResult {
    fn without_answer(report: RunReport) -> Self {
        Self {
            report,
            answer: Vec::new(),
        }
    }
}

impl BackendGateway for HttpBackend {
    fn run(&self, run: RunStart) -> BoxedLocal<RunResult> {
        async move {
            let RunStart { start, payload } = run;
            let request = build_request(&start, &payload);
            let timeout = start.run_timeout + ANSWER_GRACE;
            match call_http(start.address, request, timeout).await {
                Ok(response) => judge_response(&start, response),
                Err(error) => {
                    let event = EventCode::BackendFailed;
                    tracing::warn!(event = event.number(), worker = %start.worker, %error, "run failed");
                    RunResult::without_answer(match error {
                        CallError::NotSent { .. } => RunReport::NotRun,
                        CallError::Broken { .. } => RunReport::Unknown,
                    })
                }
            }
        }
        .boxed_local()
    }
}

fn build_request(start: &TaskStart, payload: &[u8]) -> Request {
    let url = format!("http://{}/v1/tasks", start.address);
    let mut request = Request::new(Method::Post, url.as_str());
    request.insert_header(TASK_HEADER, format!("{:032x}", start.task));
    request.insert_header(LEASE_HEADER, start.run_timeout.as_millis().to_string());
    request.set_body(payload);
    request
}

fn judge_response(start: &TaskStart, response: WholeResponse) -> RunResult {
    match response.status() {
        StatusCode::Ok if is_answer_of(start.task, &response) => RunResult {
            report: RunReport::Answered,
            answer: response.body,
        },
        StatusCode::ServiceUnavailable => RunResult::without_answer(RunReport::Busy),
        StatusCode::Conflict => RunResult::without_answer(RunReport::NotRun),
        status => {
            let event = EventCode::AnswerDiscarded;
            tracing::warn!(event = event.number(), worker = %start.worker, %status, "answer discarded");
            RunResult::without_answer(RunReport::Unknown)
        }
    }
}

fn is_answer_of(task: TaskId, response: &WholeResponse) -> bool {
    let id = response.header(TASK_HEADER);
    id.and_then(|id| TaskId::from_str_radix(id, 16).ok()) == Some(task)
}
