//! The duty that serves callers over HTTP.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future::{BoxedLocal, FutureExt};
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode, headers};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;
use pw_team::prelude::*;
use pw_worker::prelude::*;
use serde_json::json;

use crate::message::{DeskMessage, TaskReply};

/// Header that carries the identity of a task.
const TASK_HEADER: &str = "Task-Id";
/// Header that carries the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "Deadline-Ms";
/// Prefix of problem types.
const PROBLEM_PREFIX: &str = "urn:primrosewheel:problem:";

/// Serves callers until the listener fails.
pub async fn run(
    listener: TcpListener,
    spawner: TaskSpawner,
    clock: Arc<dyn ClockSource>,
    max_payload: usize,
    desk: RingSender<DeskMessage>,
) {
    let handler = Rc::new(CallerHandler {
        clock,
        max_payload,
        desk,
    });
    if let Err(error) = serve_http(listener, spawner, handler).await {
        tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
    }
}

#[derive(Clone)]
struct CallerHandler {
    clock: Arc<dyn ClockSource>,
    max_payload: usize,
    desk: RingSender<DeskMessage>,
}

struct Problem {
    status: StatusCode,
    kind: String,
    certainty: RunCertainty,
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            handler
                .submit(request)
                .await
                .unwrap_or_else(|problem| problem.reply())
        }
        .boxed_local()
    }
}

impl CallerHandler {
    async fn submit(&self, mut http: Request) -> Result<Response, Problem> {
        let queue = queue_of(http.url().path())
            .ok_or_else(|| Problem::not_run(StatusCode::NotFound, "unknown-path"))?;
        if http.method() != Method::Post {
            return Err(Problem::not_run(
                StatusCode::MethodNotAllowed,
                "method-not-allowed",
            ));
        }
        let id = uuid::Uuid::new_v4().as_u128();
        let request = TaskRequest {
            id,
            queue,
            key: bearer_of(&http).map(digest_key),
            deadline: self.deadline_of(&http)?,
            size: ResourceSize::default(),
        };
        let payload = self.read_payload(&mut http).await?;
        let (reply, replies) = ring("reply", 1);
        let message = DeskMessage::Submit {
            request,
            payload,
            reply,
        };
        if self.desk.offer(message).is_err() {
            return Err(Problem::refusal(
                RefusalReason::Overloaded,
                RunCertainty::NotRun,
            ));
        }
        match replies.recv().await {
            Some(reply) => answer(id, reply),
            None => Err(Problem::refusal(
                RefusalReason::ShuttingDown,
                RunCertainty::Unknown,
            )),
        }
    }

    fn deadline_of(&self, http: &Request) -> Result<Option<Instant>, Problem> {
        let Some(values) = http.header(DEADLINE_HEADER) else {
            return Ok(None);
        };
        let millis = values.last().as_str().parse();
        let wait = millis.map(Duration::from_millis);
        let deadline = wait
            .ok()
            .and_then(|wait| self.clock.now().checked_add(wait));
        match deadline {
            Some(deadline) => Ok(Some(deadline)),
            None => Err(Problem::not_run(
                StatusCode::BadRequest,
                "malformed-deadline",
            )),
        }
    }

    async fn read_payload(&self, http: &mut Request) -> Result<Arc<[u8]>, Problem> {
        let mut payload = Vec::new();
        let bound = self.max_payload as u64 + 1;
        let declared = http.len();
        let read = http.take_body().take(bound).read_to_end(&mut payload).await;
        if payload.len() > self.max_payload {
            return Err(Problem::not_run(
                StatusCode::PayloadTooLarge,
                "payload-too-large",
            ));
        }
        if read.is_err() || declared.is_some_and(|length| length != payload.len()) {
            return Err(Problem::not_run(
                StatusCode::BadRequest,
                "payload-incomplete",
            ));
        }
        Ok(payload.into())
    }
}

impl Problem {
    fn not_run(status: StatusCode, kind: &str) -> Self {
        Self {
            status,
            kind: kind.to_owned(),
            certainty: RunCertainty::NotRun,
        }
    }

    fn refusal(reason: RefusalReason, certainty: RunCertainty) -> Self {
        let status = match reason {
            RefusalReason::UnknownQueue => StatusCode::NotFound,
            RefusalReason::KeyRejected => StatusCode::Unauthorized,
            RefusalReason::Overloaded => StatusCode::TooManyRequests,
            RefusalReason::Unplaceable => StatusCode::UnprocessableEntity,
            RefusalReason::Cancelled => StatusCode::Gone,
            RefusalReason::DeadlinePassed => StatusCode::GatewayTimeout,
            RefusalReason::BackendFailed => StatusCode::BadGateway,
            RefusalReason::NotReady | RefusalReason::ShuttingDown => StatusCode::ServiceUnavailable,
        };
        Self {
            status,
            kind: reason.to_string(),
            certainty,
        }
    }

    /// Returns the problem document of RFC 9457.
    fn reply(&self) -> Response {
        let document = json!({
            "type": format!("{PROBLEM_PREFIX}{}", self.kind),
            "title": self.kind,
            "status": u16::from(self.status),
            "run": self.certainty.as_ref(),
        });
        let mut response = Response::new(self.status);
        response.set_body(document.to_string());
        response.insert_header(headers::CONTENT_TYPE, "application/problem+json");
        response
    }
}

fn answer(id: TaskId, reply: TaskReply) -> Result<Response, Problem> {
    match reply.verdict {
        TaskVerdict::Answered => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header(TASK_HEADER, format!("{id:032x}"));
            response.set_body(reply.answer);
            Ok(response)
        }
        TaskVerdict::Refused { reason, certainty } => Err(Problem::refusal(reason, certainty)),
    }
}

/// Returns the queue of the path `/v1/queues/{queue}/tasks`.
fn queue_of(path: &str) -> Option<QueueId> {
    let queue = path.strip_prefix("/v1/queues/")?.strip_suffix("/tasks")?;
    (!queue.is_empty() && !queue.contains('/')).then(|| queue.into())
}

fn bearer_of(http: &Request) -> Option<&str> {
    http.header(headers::AUTHORIZATION)?
        .last()
        .as_str()
        .strip_prefix("Bearer ")
}
