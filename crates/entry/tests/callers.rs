//! Tests of the HTTP interface for callers, with an entry instance and stand-in services in one
//! process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use http_types::{Method, Request, StatusCode};
use pw_account::prelude::*;
use pw_entry::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_standin::prelude::*;
use pw_worker::prelude::*;
use serde_json::Value;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TASKS: &str = "/v1/queues/plans/tasks";
const OWN_KEY: &str = "own-key";
const SECOND_KEY: &str = "second-key";
const OTHER_KEY: &str = "other-key";

/// Entry instance with one worker that has one slot.
struct TestEntry {
    node: EntryNode,
    backend: SocketAddr,
}

/// Response to a caller.
#[derive(Debug)]
struct CallerResponse {
    status: StatusCode,
    body: String,
}

impl CallerResponse {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).expect("problem document")
    }

    /// Returns the problem type without its prefix, and the value of the field `run`.
    fn refusal(&self) -> (String, String) {
        let problem = self.problem();
        let text = |field: &str| problem[field].as_str().expect("text").to_owned();
        let kind = text("type");
        let kind = kind.strip_prefix("urn:primrosewheel:problem:");
        (kind.expect("prefix").to_owned(), text("run"))
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn fleet() -> FleetSpec {
    let key = |key: &str| String::from(digest_key(key));
    let text = format!(
        r#"
        fleet = "test"
        zones = [{{ id = "a", region = "r", status = "in-service" }}]
        workers = [{{ id = "w", zone = "a", rack = "r", cores = 4, memory_gib = 4, slots = 1, connections = 64 }}]
        pools = [{{ id = "p", workers = ["w"], max_unavailable = 0 }}]
        queues = [{{ id = "plans", pool = "p", run_timeout = "20s", deadline = "20s" }}]
        [[accounts]]
        id = "own"
        share = 1
        limit = 900
        keys = [{{ id = "1", sha256 = "{}" }}, {{ id = "2", sha256 = "{}" }}]
        [[accounts]]
        id = "other"
        share = 1
        limit = 900
        keys = [{{ id = "1", sha256 = "{}" }}]
        "#,
        key(OWN_KEY),
        key(SECOND_KEY),
        key(OTHER_KEY)
    );
    toml::from_str(&text).expect("fleet")
}

impl TestEntry {
    fn start() -> Self {
        let log = LogService::start(loopback()).expect("log").address();
        let server = BackendServer::start(&ServerSettings {
            worker: "w".into(),
            slots: 1,
            ..ServerSettings::default()
        });
        let backend = server.expect("backend server").address();
        let instance = InstanceEntry {
            worker: "w".into(),
            address: backend,
            state: InstanceState::Live,
        };
        let list = InstanceList::start(loopback(), vec![instance]).expect("list");
        let settings = EntrySettings {
            zone: "a".into(),
            log,
            instances: list.address(),
            ..EntrySettings::default()
        };
        append_fleet(log);
        let node = EntryNode::start(&settings, NodeLinks::over_http(&settings)).expect("node");
        let entry = Self { node, backend };
        while entry.warm_up() != StatusCode::Ok {
            thread::sleep(POLL_INTERVAL);
        }
        entry
    }

    fn warm_up(&self) -> StatusCode {
        self.submit(OWN_KEY, "{}", &[]).status
    }

    fn submit(&self, key: &str, body: &str, headers: &[(&str, &str)]) -> CallerResponse {
        send(self.node.callers(), Method::Post, TASKS, key, body, headers)
    }

    fn call(&self, method: Method, path: &str, key: &str, body: &str) -> CallerResponse {
        send(self.node.callers(), method, path, key, body, &[])
    }

    /// Returns how many times a task with `marker` was started.
    fn starts(&self, marker: &str) -> usize {
        let response = send(self.backend, Method::Get, "/v1/journal", "", "", &[]);
        let entries: Vec<JournalEntry> = serde_json::from_str(&response.body).expect("journal");
        let has_marker = |entry: &&JournalEntry| entry.marker.as_deref() == Some(marker);
        entries.iter().filter(has_marker).count()
    }

    fn wait_for_start(&self, marker: &str) {
        while self.starts(marker) == 0 {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn append_fleet(log: SocketAddr) {
    let record = LogRecord {
        id: 1,
        author: "operator".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(fleet()))),
    };
    let bytes = encode_record(&record).expect("record");
    async_io::block_on(HttpLog::new(log).append(bytes)).expect("appended");
}

fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> CallerResponse {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, url.as_str());
    request.insert_header("Authorization", format!("Bearer {key}"));
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let response = async_io::block_on(call_http(address, request, CALL_TIMEOUT));
    let response = response.expect("complete response");
    CallerResponse {
        status: response.status(),
        body: String::from_utf8(response.body).expect("text"),
    }
}

fn task_body(marker: &str, work_ms: u64) -> String {
    format!(r#"{{"marker": "{marker}", "work_ms": {work_ms}}}"#)
}

#[test]
fn malformed_request_is_refused_as_not_run() {
    let entry = TestEntry::start();
    let cases = [
        (Method::Post, "/v2", "", "unknown-path"),
        (Method::Get, TASKS, "", "method-not-allowed"),
        (Method::Post, "/v1/queues/none/tasks", "", "unknown-queue"),
        (
            Method::Post,
            "/v1/tasks/cancel",
            "nonsense",
            "malformed-body",
        ),
        (
            Method::Post,
            "/v1/tasks/cancel",
            r#"{"tasks": ["x"]}"#,
            "malformed-body",
        ),
    ];
    for (method, path, body, kind) in cases {
        let expected = (kind.to_owned(), "not_run".to_owned());
        assert_eq!(entry.call(method, path, OWN_KEY, body).refusal(), expected);
    }
    let headers = [
        ("Deadline-Ms", "soon"),
        ("Deadline-Ms", "-1"),
        ("Task-Id", "mine"),
        ("Idempotency-Key", ""),
        ("Task-Millicores", "many"),
    ];
    for header in headers {
        let response = entry.submit(OWN_KEY, "{}", &[header]);
        let expected = ("malformed-header".to_owned(), "not_run".to_owned());
        assert_eq!(response.refusal(), expected, "{header:?}");
    }
    let response = entry.submit("nobody", "{}", &[]);
    assert_eq!(response.status, StatusCode::Unauthorized);
}

#[test]
fn task_is_cancelled_only_by_its_account() {
    let entry = TestEntry::start();
    let id = "000000000000000000000000000000aa";
    let path = format!("/v1/tasks/{id}");
    let long_body = task_body("long", 20_000);
    thread::scope(|scope| {
        let task = scope.spawn(|| entry.submit(OWN_KEY, &long_body, &[("Task-Id", id)]));
        entry.wait_for_start("long");

        let duplicate = entry.submit(OWN_KEY, "{}", &[("Task-Id", id)]);
        let expected = ("task-known".to_owned(), "unknown".to_owned());
        assert_eq!(duplicate.refusal(), expected);
        for key in [OTHER_KEY, "nobody"] {
            let response = entry.call(Method::Delete, &path, key, "");
            assert_eq!(response.status, StatusCode::NotFound, "{key}");
        }

        let body = format!(r#"{{"tasks": ["{id}", "{}"]}}"#, id.replace('a', "b"));
        let response = entry.call(Method::Post, "/v1/tasks/cancel", SECOND_KEY, &body);
        let outcomes = &response.problem()["tasks"];
        assert_eq!(outcomes[0]["outcome"], "cancelled");
        assert_eq!(outcomes[1]["outcome"], "unknown");
        let expected = ("cancelled".to_owned(), "ran".to_owned());
        assert_eq!(task.join().expect("caller").refusal(), expected);
    });
    assert_eq!(
        entry.warm_up(),
        StatusCode::Ok,
        "the slot must be free again"
    );
}

#[test]
fn waiting_task_is_cancelled_as_not_run() {
    let entry = TestEntry::start();
    let id = "000000000000000000000000000000cc";
    let waiting_body = task_body("waiting", 0);
    let long_body = task_body("long", 20_000);
    thread::scope(|scope| {
        let first = scope
            .spawn(|| entry.submit(OWN_KEY, &long_body, &[("Task-Id", &id.replace('c', "d"))]));
        entry.wait_for_start("long");
        let task = scope.spawn(|| entry.submit(OWN_KEY, &waiting_body, &[("Task-Id", id)]));
        let cancel = |id: &str| entry.call(Method::Delete, &format!("/v1/tasks/{id}"), OWN_KEY, "");
        while cancel(id).status != StatusCode::Ok {
            thread::sleep(POLL_INTERVAL);
        }
        let expected = ("cancelled".to_owned(), "not_run".to_owned());
        assert_eq!(task.join().expect("caller").refusal(), expected);
        assert_eq!(cancel(&id.replace('c', "d")).status, StatusCode::Ok);
        first.join().expect("caller");
    });
    assert_eq!(entry.starts("waiting"), 0);
}

#[test]
fn repeated_request_runs_once() {
    let entry = TestEntry::start();
    let header = [("Idempotency-Key", "quote-7")];
    let body = task_body("quote", 200);
    let answers: Vec<CallerResponse> = thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|_| scope.spawn(|| entry.submit(OWN_KEY, &body, &header)))
            .collect();
        let answers = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        answers.collect()
    });
    let repeat = entry.submit(SECOND_KEY, &body, &header);
    for response in answers.iter().chain([&repeat]) {
        assert_eq!((response.status, &response.body), (StatusCode::Ok, &body));
    }
    assert_eq!(entry.starts("quote"), 1);

    let changed = entry.submit(OWN_KEY, &task_body("quote", 201), &header);
    let expected = ("request-mismatch".to_owned(), "not_run".to_owned());
    assert_eq!(changed.refusal(), expected);
    let other = entry.submit(OTHER_KEY, &body, &header);
    assert_eq!(other.status, StatusCode::Ok);
    assert_eq!(
        entry.starts("quote"),
        2,
        "idempotency keys of different accounts must not collide"
    );
}

#[test]
fn caller_that_disconnects_abandons_its_task() {
    let entry = TestEntry::start();
    let url = format!("http://{}{TASKS}", entry.node.callers());
    let mut request = Request::new(Method::Post, url.as_str());
    request.insert_header("Authorization", format!("Bearer {OWN_KEY}"));
    request.set_body(task_body("abandoned", 20_000));
    let call = async {
        let connection = HttpConnection::open(entry.node.callers()).await;
        connection
            .expect("open")
            .exchange(request, 1024)
            .await
            .err()
    };
    let until_started = async {
        while entry.starts("abandoned") == 0 {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        None
    };
    // Once the task has started, the call is dropped, which closes the connection.
    assert!(async_io::block_on(futures_lite::future::or(call, until_started)).is_none());
    // The only slot is freed long before the task would have ended.
    assert_eq!(entry.warm_up(), StatusCode::Ok);
}
