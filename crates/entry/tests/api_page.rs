//! The API page for callers describes every route and every problem type, with its status and
//! whether the task ran.

use pw_dispatch::prelude::*;
use pw_entry::caller_route::CALLER_ROUTES;
use pw_entry::problem::{CallerProblem, RequestProblem};
use pw_link::prelude::*;
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../../docs/API.md");

/// Returns the cells of the page's table row that starts with `kind`.
fn row(kind: &str) -> Option<Vec<&'static str>> {
    let start = format!("| `{kind}` |");
    let line = PAGE.lines().find(|line| line.starts_with(&start))?;
    Some(line.trim_matches('|').split('|').map(str::trim).collect())
}

#[test]
fn every_problem_type_is_described() {
    let not_run = RunCertainty::NotRun;
    let requests = RequestProblem::iter().map(|problem| CallerProblem::of_request(problem, None));
    let faults = RequestFault::iter().map(CallerProblem::of_fault);
    let refusals = RefusalReason::iter().map(|reason| CallerProblem::of_task(1, reason, not_run));
    let mut kinds = Vec::new();
    for problem in requests.chain(faults).chain(refusals) {
        let cells = row(&problem.kind).unwrap_or_else(|| panic!("{} is missing", problem.kind));
        assert_eq!(cells[1], u16::from(problem.status).to_string(), "{cells:?}");
        assert!(cells[2].contains(problem.certainty.as_ref()) || problem.task.is_some());
        kinds.push(format!("| `{}` |", problem.kind));
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let stale: Vec<_> = rows
        .filter(|line| !line.contains("/v1/") && !line.contains("-Id`") && !line.contains(": "))
        .filter(|line| !kinds.iter().any(|kind| line.starts_with(kind)))
        .collect();
    assert_eq!(
        stale,
        Vec::<&str>::new(),
        "the page lists a problem type that does not exist"
    );
}

#[test]
fn every_route_is_described() {
    for route in CALLER_ROUTES {
        let path = route.pattern;
        let found = PAGE.contains(&format!("`{} {path}`", route.method));
        assert!(found, "{} {path} is missing", route.method);
    }
}
