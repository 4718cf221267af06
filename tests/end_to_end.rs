//! End-to-end test from a fleet file to the response to a caller, with a process for each service.

mod support;

use http_types::{Method, StatusCode};
use support::{ChildProcess, TestEntry, apply_fleet, call, wait_until_ready};

#[test]
fn request_is_served_across_all_processes() {
    let (_log, log) = ChildProcess::log();
    let (_backend, backend) = ChildProcess::backend("cutting-01");
    let (_list, list) = ChildProcess::list(&[("cutting-01", backend)]);
    let entries =
        ["path-1", "path-2"].map(|name| TestEntry::start(name, "cantabrico-a", log, list));
    apply_fleet(log);

    for entry in &entries {
        wait_until_ready(entry.admin);
        let path = "/v1/queues/cutting-plans/tasks";
        let (status, body) = call(entry.callers, Method::Post, path, "bilbao-key");
        assert_eq!(
            (status, body.as_str()),
            (StatusCode::Ok, r#"{"work_ms": 1}"#)
        );
        let (status, body) = call(entry.callers, Method::Post, path, "nobody-key");
        assert_eq!(status, StatusCode::Unauthorized);
        assert!(body.contains(r#""run":"not_run""#), "{body}");
    }
}
