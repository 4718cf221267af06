//! What callers see over HTTP, with a whole entry instance and stand-ins in one process.

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
const POLL: Duration = Duration::from_millis(10);
const TASKS: &str = "/v1/queues/plans/tasks";
const OWN: &str = "own-key";
const SECOND: &str = "second-key";
const OTHER: &str = "other-key";

/// An entry instance with one worker of one slot.
struct TestSite {
    node: EntryNode,
    backend: SocketAddr,
}

/// What a caller got.
#[derive(Debug)]
struct Heard {
    status: StatusCode,
    body: String,
}

impl Heard {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).expect("problem document")
    }

    /// Returns the problem type without its prefix, and the field `run`.
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
        key(OWN),
        key(SECOND),
        key(OTHER)
    );
    toml::from_str(&text).expect("fleet")
}

impl TestSite {
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
        apply(log);
        let node = EntryNode::start(&settings, NodeLinks::over_http(&settings)).expect("node");
        let site = Self { node, backend };
        while site.warm_up() != StatusCode::Ok {
            thread::sleep(POLL);
        }
        site
    }

    fn warm_up(&self) -> StatusCode {
        self.submit(OWN, "{}", &[]).status
    }

    fn submit(&self, key: &str, body: &str, extra: &[(&str, &str)]) -> Heard {
        send(self.node.callers(), Method::Post, TASKS, key, body, extra)
    }

    fn call(&self, method: Method, path: &str, key: &str, body: &str) -> Heard {
        send(self.node.callers(), method, path, key, body, &[])
    }

    /// Returns how often a task with `marker` started.
    fn starts(&self, marker: &str) -> usize {
        let heard = send(self.backend, Method::Get, "/v1/journal", "", "", &[]);
        let entries: Vec<JournalEntry> = serde_json::from_str(&heard.body).expect("journal");
        let with_marker = |entry: &&JournalEntry| entry.marker.as_deref() == Some(marker);
        entries.iter().filter(with_marker).count()
    }

    fn wait_for_start(&self, marker: &str) {
        while self.starts(marker) == 0 {
            thread::sleep(POLL);
        }
    }
}

fn apply(log: SocketAddr) {
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
    extra: &[(&str, &str)],
) -> Heard {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(method, url.as_str());
    request.insert_header("Authorization", format!("Bearer {key}"));
    for (name, value) in extra {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let response = async_io::block_on(call_http(address, request, CALL_TIMEOUT));
    let response = response.expect("whole response");
    Heard {
        status: response.status(),
        body: String::from_utf8(response.body).expect("text"),
    }
}

fn order(marker: &str, work_ms: u64) -> String {
    format!(r#"{{"marker": "{marker}", "work_ms": {work_ms}}}"#)
}

#[test]
fn malformed_request_is_refused_as_not_run() {
    let site = TestSite::start();
    let lines = [
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
    for (method, path, body, kind) in lines {
        let expected = (kind.to_owned(), "not_run".to_owned());
        assert_eq!(site.call(method, path, OWN, body).refusal(), expected);
    }
    let headers = [
        ("Deadline-Ms", "soon"),
        ("Deadline-Ms", "-1"),
        ("Task-Id", "mine"),
        ("Idempotency-Key", ""),
        ("Task-Millicores", "many"),
    ];
    for header in headers {
        let heard = site.submit(OWN, "{}", &[header]);
        let expected = ("malformed-header".to_owned(), "not_run".to_owned());
        assert_eq!(heard.refusal(), expected, "{header:?}");
    }
    let heard = site.submit("nobody", "{}", &[]);
    assert_eq!(heard.status, StatusCode::Unauthorized);
}

#[test]
fn task_is_cancelled_by_its_account_only() {
    let site = TestSite::start();
    let id = "000000000000000000000000000000aa";
    let path = format!("/v1/tasks/{id}");
    let long = order("long", 20_000);
    thread::scope(|scope| {
        let task = scope.spawn(|| site.submit(OWN, &long, &[("Task-Id", id)]));
        site.wait_for_start("long");

        let doubled = site.submit(OWN, "{}", &[("Task-Id", id)]);
        let expected = ("task-known".to_owned(), "unknown".to_owned());
        assert_eq!(doubled.refusal(), expected);
        for key in [OTHER, "nobody"] {
            let heard = site.call(Method::Delete, &path, key, "");
            assert_eq!(heard.status, StatusCode::NotFound, "{key}");
        }

        let body = format!(r#"{{"tasks": ["{id}", "{}"]}}"#, id.replace('a', "b"));
        let heard = site.call(Method::Post, "/v1/tasks/cancel", SECOND, &body);
        let outcomes = &heard.problem()["tasks"];
        assert_eq!(outcomes[0]["outcome"], "cancelled");
        assert_eq!(outcomes[1]["outcome"], "unknown");
        let expected = ("cancelled".to_owned(), "ran".to_owned());
        assert_eq!(task.join().expect("caller").refusal(), expected);
    });
    assert_eq!(site.warm_up(), StatusCode::Ok, "the slot is free again");
}

#[test]
fn task_that_waits_is_cancelled_as_not_run() {
    let site = TestSite::start();
    let id = "000000000000000000000000000000cc";
    let waiting = order("waiting", 0);
    let long = order("long", 20_000);
    thread::scope(|scope| {
        let first = scope.spawn(|| site.submit(OWN, &long, &[("Task-Id", &id.replace('c', "d"))]));
        site.wait_for_start("long");
        let task = scope.spawn(|| site.submit(OWN, &waiting, &[("Task-Id", id)]));
        let cancel = |id: &str| site.call(Method::Delete, &format!("/v1/tasks/{id}"), OWN, "");
        while cancel(id).status != StatusCode::Ok {
            thread::sleep(POLL);
        }
        let expected = ("cancelled".to_owned(), "not_run".to_owned());
        assert_eq!(task.join().expect("caller").refusal(), expected);
        assert_eq!(cancel(&id.replace('c', "d")).status, StatusCode::Ok);
        first.join().expect("caller");
    });
    assert_eq!(site.starts("waiting"), 0);
}

#[test]
fn repeated_request_runs_once() {
    let site = TestSite::start();
    let mark = [("Idempotency-Key", "quote-7")];
    let body = order("quote", 200);
    let answers: Vec<Heard> = thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|_| scope.spawn(|| site.submit(OWN, &body, &mark)))
            .collect();
        let answers = callers
            .into_iter()
            .map(|caller| caller.join().expect("caller"));
        answers.collect()
    });
    let late = site.submit(SECOND, &body, &mark);
    for heard in answers.iter().chain([&late]) {
        assert_eq!((heard.status, &heard.body), (StatusCode::Ok, &body));
    }
    assert_eq!(site.starts("quote"), 1);

    let changed = site.submit(OWN, &order("quote", 201), &mark);
    let expected = ("request-mismatch".to_owned(), "not_run".to_owned());
    assert_eq!(changed.refusal(), expected);
    let other = site.submit(OTHER, &body, &mark);
    assert_eq!(other.status, StatusCode::Ok);
    assert_eq!(
        site.starts("quote"),
        2,
        "another account's key is another key"
    );
}

#[test]
fn caller_that_disconnects_abandons_its_task() {
    let site = TestSite::start();
    let url = format!("http://{}{TASKS}", site.node.callers());
    let mut request = Request::new(Method::Post, url.as_str());
    request.insert_header("Authorization", format!("Bearer {OWN}"));
    request.set_body(order("abandoned", 20_000));
    let call = async {
        let connection = HttpConnection::open(site.node.callers()).await;
        connection
            .expect("open")
            .exchange(request, 1024)
            .await
            .err()
    };
    let leave = async {
        while site.starts("abandoned") == 0 {
            async_io::Timer::after(POLL).await;
        }
        None
    };
    // The call is dropped, and with it the connection, once the task has started.
    assert!(async_io::block_on(futures_lite::future::or(call, leave)).is_none());
    // The only slot is free long before the task would have ended.
    assert_eq!(site.warm_up(), StatusCode::Ok);
}
