//! Callers that submit tasks over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::stream::{self, StreamExt};
use http_types::{Method, Request, StatusCode};
use pw_link::prelude::*;
use serde_json::{Value, json};

/// Timeout of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// Request of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub(super) account: String,
    pub(super) queue: String,
    /// Unique text by which the journal of the backend server identifies the task.
    pub(super) marker: String,
    pub(super) work: Duration,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    /// The complete response to this request.
    Answered,
    /// A response whose body does not match the request.
    WrongAnswer,
    /// A refusal, with the problem type and whether the task ran.
    Refused { kind: String, run: String },
    /// No response.
    NoResponse,
}

/// Sends all requests concurrently, in turn to each of `entries`, and waits for their outcomes.
pub(super) async fn call_all(
    entries: &[SocketAddr],
    requests: Vec<CallerRequest>,
) -> Vec<(CallerRequest, CallerOutcome)> {
    let executor = async_executor::LocalExecutor::new();
    let calls: Vec<_> = requests
        .into_iter()
        .zip(entries.iter().cycle())
        .map(|(request, entry)| {
            executor.spawn(async move {
                let outcome = call(*entry, &request).await;
                (request, outcome)
            })
        })
        .collect();
    executor
        .run(stream::iter(calls).then(|call| call).collect())
        .await
}

async fn call(entry: SocketAddr, request: &CallerRequest) -> CallerOutcome {
    let work_ms = request.work.as_millis();
    let payload = json!({ "work_ms": work_ms, "marker": request.marker }).to_string();
    let url = format!("http://{entry}/v1/queues/{}/tasks", request.queue);
    let mut http = Request::new(Method::Post, url.as_str());
    http.insert_header("Authorization", format!("Bearer {}-key", request.account));
    http.set_body(payload.clone());
    match call_http(entry, http, CALL_TIMEOUT).await {
        Ok(response) if response.status() == StatusCode::Ok => {
            if response.body == payload.as_bytes() {
                CallerOutcome::Answered
            } else {
                CallerOutcome::WrongAnswer
            }
        }
        Ok(response) => parse_refusal(&response.body),
        Err(_) => CallerOutcome::NoResponse,
    }
}

fn parse_refusal(body: &[u8]) -> CallerOutcome {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
    CallerOutcome::Refused {
        kind: text("type"),
        run: text("run"),
    }
}
