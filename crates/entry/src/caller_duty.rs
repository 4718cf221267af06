//! The duty that serves callers over HTTP.

use std::net::TcpListener;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::headers::HeaderName;
use http_types::{Request, Response, StatusCode, headers};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::caller_route::{CallerAction, find_route};
use crate::message::{
    CancelOutcome, CancelRequest, DispatchMessage, IdempotencyKey, TaskReply, TaskSubmission,
};
use crate::problem::{CallerProblem, RequestProblem};

/// Header for the id of a task, in requests and responses.
pub const TASK_HEADER: &str = "Task-Id";
/// Header for the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "Deadline-Ms";
/// Header for the key that identifies repeats of a request, of which at most one runs.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Header for the declared CPU use of a task in thousandths of a core.
pub const MILLICORES_HEADER: &str = "Task-Millicores";
/// Header for the declared memory use of a task in MiB.
pub const MEMORY_HEADER: &str = "Task-Memory-Mib";
/// Header for the declared number of accelerators of a task.
pub const ACCELERATORS_HEADER: &str = "Task-Accelerators";
/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 255;
/// Maximum number of tasks in one cancel request.
const MAX_CANCEL_TASKS: usize = 1_000;

/// Listener of the duty, and ring to the dispatch duty.
pub struct CallerLinks {
    /// Listener for callers.
    pub listener: TcpListener,
    /// Limits of the HTTP server.
    pub bounds: ServerBounds,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Ring to the dispatch duty.
    pub dispatch: RingSender<DispatchMessage>,
}

/// Serves callers until the server has drained or the sender of `phases` is dropped.
pub async fn run(links: CallerLinks, spawner: TaskSpawner, phases: RingReceiver<ServePhase>) {
    let handler = CallerHandler {
        clock: links.clock,
        dispatch: links.dispatch,
        spawner: spawner.clone(),
    };
    let server = HttpServer {
        listener: links.listener,
        spawner,
        handler: Rc::new(handler),
        bounds: links.bounds,
    };
    if let Err(error) = server.serve(phases).await {
        tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
    }
}

#[derive(Clone)]
struct CallerHandler {
    clock: Arc<dyn ClockSource>,
    dispatch: RingSender<DispatchMessage>,
    spawner: TaskSpawner,
}

/// Abandons the task if it is dropped before the reply, because the caller has disconnected.
struct AbandonGuard {
    task: Option<TaskId>,
    dispatch: RingSender<DispatchMessage>,
    spawner: TaskSpawner,
}

#[derive(Debug, Deserialize)]
struct CancelBody {
    tasks: Vec<String>,
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request) -> BoxedLocal<Response> {
        let handler = self.clone();
        async move {
            let response = handler.respond(request).await;
            response.unwrap_or_else(|problem| problem.response())
        }
        .boxed_local()
    }

    fn refuse(&self, fault: RequestFault) -> Response {
        CallerProblem::of_fault(fault).response()
    }
}

impl CallerHandler {
    async fn respond(&self, http: Request) -> Result<Response, CallerProblem> {
        let path = http.url().path().to_owned();
        let route = find_route(http.method(), &path)?;
        match route.action {
            CallerAction::SubmitTask => self.submit(route.parameter.into(), http).await,
            CallerAction::CancelTask => self.cancel_one(route.parameter, &http).await,
            CallerAction::CancelTasks => self.cancel_many(http).await,
        }
    }

    async fn submit(&self, queue: QueueId, mut http: Request) -> Result<Response, CallerProblem> {
        let request = self.read_task_request(queue, &http)?;
        let task = request.id;
        if http.ext().get::<ServePhase>() == Some(&ServePhase::Draining) {
            let reason = RefusalReason::ShuttingDown;
            return Err(CallerProblem::of_task(task, reason, RunCertainty::NotRun));
        }
        let payload = read_body(&mut http).await?;
        let idempotency = read_idempotency_key(&http, &request.queue, &payload)?;
        let (reply, replies) = ring("reply", 1);
        let submission = TaskSubmission {
            request,
            payload: payload.into(),
            idempotency,
            reply,
        };
        if self
            .dispatch
            .offer(DispatchMessage::Submit(submission))
            .is_err()
        {
            let reason = RefusalReason::Overloaded;
            return Err(CallerProblem::of_task(task, reason, RunCertainty::NotRun));
        }
        let mut guard = self.abandon_guard(task);
        let reply = replies.recv().await;
        guard.task = None;
        match reply {
            Some(reply) => task_response(reply),
            None => Err(CallerProblem::of_task(
                task,
                RefusalReason::ShuttingDown,
                RunCertainty::Unknown,
            )),
        }
    }

    fn abandon_guard(&self, task: TaskId) -> AbandonGuard {
        AbandonGuard {
            task: Some(task),
            dispatch: self.dispatch.clone(),
            spawner: self.spawner.clone(),
        }
    }

    fn read_task_request(
        &self,
        queue: QueueId,
        http: &Request,
    ) -> Result<TaskRequest, CallerProblem> {
        let size = ResourceSize {
            millicores: read_number(http, MILLICORES_HEADER)?.unwrap_or_default(),
            memory_mib: read_number(http, MEMORY_HEADER)?.unwrap_or_default(),
            accelerators: read_number(http, ACCELERATORS_HEADER)?.unwrap_or_default(),
        };
        Ok(TaskRequest {
            id: read_task_id(http)?,
            queue,
            key: read_key_digest(http),
            deadline: self.read_deadline(http)?,
            size,
        })
    }

    fn read_deadline(&self, http: &Request) -> Result<Option<Instant>, CallerProblem> {
        let Some(millis) = read_number(http, DEADLINE_HEADER)? else {
            return Ok(None);
        };
        let deadline = self.clock.now().checked_add(Duration::from_millis(millis));
        deadline
            .map(Some)
            .ok_or_else(|| malformed_header(DEADLINE_HEADER))
    }

    async fn cancel_one(&self, text: &str, http: &Request) -> Result<Response, CallerProblem> {
        let unknown = || CallerProblem::of_request(RequestProblem::UnknownTask, None);
        let task = parse_task_id(text).ok_or_else(unknown)?;
        let outcomes = self.cancel(vec![task], http).await?;
        match outcomes.as_slice() {
            [CancelOutcome::Cancelled] => Ok(json_response(
                &json!({ "task": text, "outcome": CancelOutcome::Cancelled }),
            )),
            _ => Err(unknown()),
        }
    }

    async fn cancel_many(&self, mut http: Request) -> Result<Response, CallerProblem> {
        let malformed =
            |detail: String| CallerProblem::of_request(RequestProblem::MalformedBody, Some(detail));
        let body = read_body(&mut http).await?;
        let body: CancelBody =
            serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))?;
        if body.tasks.len() > MAX_CANCEL_TASKS {
            return Err(malformed(format!("more than {MAX_CANCEL_TASKS} tasks")));
        }
        let tasks = body.tasks.iter().map(|text| {
            parse_task_id(text).ok_or_else(|| malformed(format!("{text:?} is no identity")))
        });
        let tasks = tasks.collect::<Result<Vec<_>, _>>()?;
        let outcomes = self.cancel(tasks, &http).await?;
        let entries = body.tasks.iter().zip(outcomes);
        let entries = entries.map(|(task, outcome)| json!({ "task": task, "outcome": outcome }));
        Ok(json_response(
            &json!({ "tasks": entries.collect::<Vec<_>>() }),
        ))
    }

    async fn cancel(
        &self,
        tasks: Vec<TaskId>,
        http: &Request,
    ) -> Result<Vec<CancelOutcome>, CallerProblem> {
        let (reply, replies) = ring("reply", 1);
        let request = CancelRequest {
            tasks,
            key: read_key_digest(http),
            reply,
        };
        let offered = self
            .dispatch
            .offer(DispatchMessage::Cancel(request))
            .is_ok();
        let outcomes = if offered { replies.recv().await } else { None };
        outcomes.ok_or_else(|| {
            let problem = CallerProblem::of_fault(RequestFault::TooManyConnections);
            CallerProblem {
                kind: RefusalReason::Overloaded.to_string(),
                certainty: RunCertainty::Unknown,
                ..problem
            }
        })
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        let Some(task) = self.task.take() else {
            return;
        };
        let dispatch = self.dispatch.clone();
        self.spawner.spawn(async move {
            // The ring is closed only when the node is stopping; then the task ends with it.
            _ = dispatch.send(DispatchMessage::Abandon(task)).await;
        });
    }
}

fn task_response(reply: TaskReply) -> Result<Response, CallerProblem> {
    match reply.outcome {
        TaskOutcome::Answered => {
            let mut response = Response::new(StatusCode::Ok);
            response.insert_header(TASK_HEADER, format!("{:032x}", reply.task));
            response.set_body(reply.answer);
            Ok(response)
        }
        TaskOutcome::Refused { reason, certainty } => {
            Err(CallerProblem::of_task(reply.task, reason, certainty))
        }
    }
}

fn json_response(value: &serde_json::Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(value.to_string());
    response.set_content_type(http_types::mime::JSON);
    response
}

async fn read_body(http: &mut Request) -> Result<Vec<u8>, CallerProblem> {
    let body = http.body_bytes().await;
    body.map_err(|error| {
        CallerProblem::of_request(RequestProblem::MalformedBody, Some(error.to_string()))
    })
}

/// Returns the task id from the request, or a random one.
fn read_task_id(http: &Request) -> Result<TaskId, CallerProblem> {
    match http.header(TASK_HEADER) {
        None => Ok(uuid::Uuid::new_v4().as_u128()),
        Some(values) => {
            parse_task_id(values.last().as_str()).ok_or_else(|| malformed_header(TASK_HEADER))
        }
    }
}

/// Parses a task id: a UUID in hexadecimal, with or without hyphens.
fn parse_task_id(text: &str) -> Option<TaskId> {
    uuid::Uuid::parse_str(text).ok().map(|id| id.as_u128())
}

fn read_idempotency_key(
    http: &Request,
    queue: &QueueId,
    payload: &[u8],
) -> Result<Option<IdempotencyKey>, CallerProblem> {
    let Some(values) = http.header(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let text = values.last().as_str();
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY {
        return Err(malformed_header(IDEMPOTENCY_HEADER));
    }
    let digest = Sha256::new()
        .chain_update((queue.len() as u64).to_le_bytes())
        .chain_update(queue.as_bytes())
        .chain_update(payload);
    Ok(Some(IdempotencyKey {
        text: text.into(),
        digest: digest.finalize().into(),
    }))
}

fn read_key_digest(http: &Request) -> Option<KeyDigest> {
    let values = http.header(headers::AUTHORIZATION)?;
    values
        .last()
        .as_str()
        .strip_prefix("Bearer ")
        .map(digest_key)
}

fn read_number<T: FromStr>(http: &Request, name: &str) -> Result<Option<T>, CallerProblem> {
    let name: HeaderName = name.into();
    let Some(values) = http.header(&name) else {
        return Ok(None);
    };
    let number = values.last().as_str().parse();
    number
        .map(Some)
        .map_err(|_| malformed_header(name.as_str()))
}

fn malformed_header(name: &str) -> CallerProblem {
    CallerProblem::of_request(RequestProblem::MalformedHeader, Some(name.to_owned()))
}
