//! HTTP routes for callers.

use http_types::Method;

use crate::problem::{CallerProblem, RequestProblem};

/// Placeholder of the parameter in a pattern.
const PARAMETER: &str = "{}";

/// Action requested by a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAction {
    /// Submit a task to the queue named by the parameter and wait for its outcome.
    SubmitTask,
    /// Cancel the task named by the parameter.
    CancelTask,
    /// Cancel the tasks listed in the body.
    CancelTasks,
}

/// HTTP route for callers.
#[derive(Debug)]
pub struct CallerRoute {
    /// HTTP method.
    pub method: Method,
    /// Path with the placeholder `{}` for its parameter.
    pub pattern: &'static str,
    /// Action of the route.
    pub action: CallerAction,
}

/// Route of a request, with the value of its parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Action of the route.
    pub action: CallerAction,
    /// Value of the parameter; empty for a route without one.
    pub parameter: &'a str,
}

/// All routes.
pub const CALLER_ROUTES: &[CallerRoute] = &[
    CallerRoute {
        method: Method::Post,
        pattern: "/v1/queues/{}/tasks",
        action: CallerAction::SubmitTask,
    },
    CallerRoute {
        method: Method::Post,
        pattern: "/v1/tasks/cancel",
        action: CallerAction::CancelTasks,
    },
    CallerRoute {
        method: Method::Delete,
        pattern: "/v1/tasks/{}",
        action: CallerAction::CancelTask,
    },
];

/// Returns the route of a request.
///
/// # Errors
///
/// Fails if no route has the path, or if the path does not support the method.
pub fn find_route(method: Method, path: &str) -> Result<RouteMatch<'_>, CallerProblem> {
    let known = CALLER_ROUTES
        .iter()
        .filter_map(|route| Some((route, match_pattern(route.pattern, path)?)));
    let mut methods = Vec::new();
    for (route, parameter) in known {
        if route.method == method {
            let action = route.action;
            return Ok(RouteMatch { action, parameter });
        }
        methods.push(route.method.to_string());
    }
    Err(if methods.is_empty() {
        CallerProblem::of_request(RequestProblem::UnknownPath, None)
    } else {
        let detail = format!("the path takes {}", methods.join(", "));
        CallerProblem::of_request(RequestProblem::MethodNotAllowed, Some(detail))
    })
}

/// Returns the parameter of `path` if the path matches `pattern`.
fn match_pattern<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = pattern.split_once(PARAMETER) else {
        return (pattern == path).then_some("");
    };
    let parameter = path.strip_prefix(before)?.strip_suffix(after)?;
    (!parameter.is_empty() && !parameter.contains('/')).then_some(parameter)
}
