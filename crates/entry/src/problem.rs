//! Error responses to callers: problem documents as in RFC 9457.

use http_types::{Response, StatusCode, headers};
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use serde_json::json;
use strum::{Display, EnumIter};

/// Prefix of problem types.
pub const PROBLEM_PREFIX: &str = "urn:primrosewheel:problem:";
/// Media type of problem documents.
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";
/// Seconds after which a caller may retry a request that was refused for lack of capacity.
const RETRY_AFTER_SECONDS: &str = "1";

/// Reason to refuse a request before it becomes a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestProblem {
    /// No route has the path.
    UnknownPath,
    /// The path does not support the method.
    MethodNotAllowed,
    /// A header value can't be parsed.
    MalformedHeader,
    /// The body can't be parsed.
    MalformedBody,
    /// No open task of the caller's account has this id on this entry instance.
    UnknownTask,
}

/// Error response to a caller, with what is known about the task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerProblem {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Problem type without [`PROBLEM_PREFIX`].
    pub kind: String,
    /// Whether the task ran.
    pub certainty: RunCertainty,
    /// Task that the problem concerns.
    pub task: Option<TaskId>,
    /// Explanation specific to this request.
    pub detail: Option<String>,
}

impl CallerProblem {
    /// Creates the problem of a request that did not become a task.
    pub fn of_request(problem: RequestProblem, detail: Option<String>) -> Self {
        let (status, certainty) = match problem {
            RequestProblem::UnknownPath => (StatusCode::NotFound, RunCertainty::NotRun),
            RequestProblem::MethodNotAllowed => {
                (StatusCode::MethodNotAllowed, RunCertainty::NotRun)
            }
            RequestProblem::MalformedHeader | RequestProblem::MalformedBody => {
                (StatusCode::BadRequest, RunCertainty::NotRun)
            }
            RequestProblem::UnknownTask => (StatusCode::NotFound, RunCertainty::Unknown),
        };
        Self {
            status,
            kind: problem.to_string(),
            certainty,
            task: None,
            detail,
        }
    }

    /// Creates the problem of a request that the HTTP server rejected.
    pub fn of_fault(fault: RequestFault) -> Self {
        Self {
            status: fault.status(),
            kind: fault.to_string(),
            certainty: RunCertainty::NotRun,
            task: None,
            detail: None,
        }
    }

    /// Creates the problem of a refused task.
    pub fn of_task(task: TaskId, reason: RefusalReason, certainty: RunCertainty) -> Self {
        Self {
            status: status_of(reason),
            kind: reason.to_string(),
            certainty,
            task: Some(task),
            detail: None,
        }
    }

    /// Returns the response with the problem document.
    pub fn response(&self) -> Response {
        let mut document = json!({
            "type": format!("{PROBLEM_PREFIX}{}", self.kind),
            "title": self.kind.replace('-', " "),
            "status": u16::from(self.status),
            "run": self.certainty.as_ref(),
        });
        if let Some(task) = self.task {
            document["task"] = json!(format!("{task:032x}"));
        }
        if let Some(detail) = &self.detail {
            document["detail"] = json!(detail);
        }
        let mut response = Response::new(self.status);
        response.set_body(document.to_string());
        response.insert_header(headers::CONTENT_TYPE, PROBLEM_MEDIA_TYPE);
        if matches!(
            self.status,
            StatusCode::TooManyRequests | StatusCode::ServiceUnavailable
        ) {
            response.insert_header(headers::RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        response
    }
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownQueue => StatusCode::NotFound,
        RefusalReason::KeyRejected => StatusCode::Unauthorized,
        RefusalReason::Overloaded => StatusCode::TooManyRequests,
        RefusalReason::Unplaceable | RefusalReason::RequestMismatch => {
            StatusCode::UnprocessableEntity
        }
        RefusalReason::Cancelled | RefusalReason::TaskKnown => StatusCode::Conflict,
        RefusalReason::AnswerNotKept => StatusCode::Gone,
        RefusalReason::DeadlinePassed => StatusCode::GatewayTimeout,
        RefusalReason::BackendFailed => StatusCode::BadGateway,
        RefusalReason::NotReady | RefusalReason::ShuttingDown => StatusCode::ServiceUnavailable,
    }
}
