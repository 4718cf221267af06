//! The path of a request through an entry instance beside a direct call to the same backend server.
//!
//! The entry instance and each stand-in are processes of their own. For each number of callers the
//! direct calls and the calls through the entry instance follow each other in one run. At the end
//! the idle processor time of the entry instance is read from `/proc`.

use std::cell::{Cell, RefCell};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Context, ensure};
use argh::FromArgs;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use hdrhistogram::Histogram;
use http_types::{Method, Request, StatusCode};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_entry::daemon::{EntryArgs, run_daemon};
use pw_entry::prelude::*;
use pw_link::lease_wire::{LEASE_HEADER, RENEWAL_HEADER, RUN_TIMEOUT_HEADER, TASK_HEADER};
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_standin::daemon::{StandinArgs, run_standin};
use pw_worker::prelude::*;

const CALLERS: [usize; 3] = [1, 16, 256];
const RUN_TIME: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(2);
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Ticks in which `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const RENEW_PAUSE: Duration = Duration::from_millis(500);
const MAX_BODY: usize = 64 * 1024;
/// Longest call that is told apart from longer ones.
const MAX_MICROS: u64 = 60_000_000;
const SLOTS: u32 = 512;
const KEY: &str = "bench-key";
const PAYLOAD: &str = r#"{"work_ms": 0}"#;

/// A child that is killed when it is dropped.
struct ChildRole {
    child: Child,
    addresses: Vec<SocketAddr>,
}

/// What one kind of call measured.
struct Measured {
    per_second: f64,
    micros: Histogram<u64>,
    failed: u64,
}

/// Makes the requests of one kind of call.
trait RequestMaker {
    fn address(&self) -> SocketAddr;
    fn request(&self) -> Request;
}

struct DirectCalls {
    address: SocketAddr,
    grant: Rc<Cell<LeaseGrant>>,
    next_task: Cell<TaskId>,
}

struct EntryCalls {
    address: SocketAddr,
}

impl RequestMaker for DirectCalls {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn request(&self) -> Request {
        let task = self.next_task.get();
        self.next_task.set(task + 1);
        let grant = self.grant.get();
        let mut request = post(self.address, "/v1/tasks");
        request.insert_header(TASK_HEADER, format!("{task:032x}"));
        request.insert_header(LEASE_HEADER, format!("{:032x}", grant.lease));
        request.insert_header(RENEWAL_HEADER, grant.renewal.to_string());
        request.insert_header(RUN_TIMEOUT_HEADER, "10000");
        request
    }
}

impl RequestMaker for EntryCalls {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn request(&self) -> Request {
        let mut request = post(self.address, "/v1/queues/plans/tasks");
        request.insert_header("Authorization", format!("Bearer {KEY}"));
        request
    }
}

fn post(address: SocketAddr, path: &str) -> Request {
    let url = format!("http://{address}{path}");
    let mut request = Request::new(Method::Post, url.as_str());
    request.set_body(PAYLOAD);
    request
}

impl ChildRole {
    /// Starts this benchmark again in another role, which prints `addresses` lines.
    fn start(args: &[&str], addresses: usize) -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().context("stdout")?;
        let lines = BufReader::new(stdout).lines().take(addresses);
        let addresses = lines
            .map(|line| {
                let line = line?;
                let word = line.rsplit(' ').next().context("empty line")?;
                Ok(word.parse()?)
            })
            .collect::<anyhow::Result<_>>()?;
        Ok(Self { child, addresses })
    }

    /// Returns the processor time that the process has used, in seconds.
    fn processor_seconds(&self) -> anyhow::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat.rsplit_once(')').context("malformed stat")?;
        let ticks = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .map(str::parse::<f64>);
        let ticks: f64 = ticks.sum::<Result<f64, _>>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }
}

impl Drop for ChildRole {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.split_first() {
        Some((&"standin", rest)) => run_standin(parse::<StandinArgs>("standin", rest)?),
        Some((&"entry", rest)) => run_daemon(&parse::<EntryArgs>("entry", rest)?),
        _ => run_bench(),
    }
}

fn parse<T: FromArgs>(name: &str, args: &[&str]) -> anyhow::Result<T> {
    T::from_args(&[name], args).map_err(|exit| anyhow::anyhow!(exit.output))
}

fn run_bench() -> anyhow::Result<()> {
    let standin = |args: &[&str]| ChildRole::start(&[&["standin"], args].concat(), 1);
    let listen = ["--listen", "127.0.0.1:0"];
    let log = standin(&[&["log"], &listen[..]].concat())?;
    let slots = SLOTS.to_string();
    let backend_args = ["--worker", "bench-01", "--slots", &slots];
    let backend = standin(&[&["backend"], &listen[..], &backend_args].concat())?;
    let instance = format!("bench-01={}", backend.addresses[0]);
    let list = standin(&[&["instances"], &listen[..], &["--instance", &instance]].concat())?;
    apply_fleet(log.addresses[0])?;
    let entry = start_entry(log.addresses[0], list.addresses[0])?;

    let direct = direct_calls(backend.addresses[0])?;
    let through = Rc::new(EntryCalls {
        address: entry.addresses[0],
    });
    wait_until_served(&through);
    let mut out = std::io::stdout();
    writeln!(
        out,
        "callers  direct/s   path/s  ratio  direct p50/p99 us  path p50/p99 us  added p50/p99 us  failed"
    )?;
    for callers in CALLERS {
        measure(
            callers,
            Rc::clone(&through) as Rc<dyn RequestMaker>,
            WARM_UP,
        );
        let direct = measure_direct(callers, &direct);
        let path = measure(
            callers,
            Rc::clone(&through) as Rc<dyn RequestMaker>,
            RUN_TIME,
        );
        writeln!(out, "{}", table_row(callers, &direct, &path))?;
    }
    thread::sleep(WARM_UP);
    let before = entry.processor_seconds()?;
    thread::sleep(IDLE_TIME);
    let used = entry.processor_seconds()? - before;
    let percent = 100.0 * used / IDLE_TIME.as_secs_f64();
    writeln!(
        out,
        "idle entry instance: {percent:.2}% of a core over {IDLE_TIME:?}"
    )?;
    Ok(())
}

fn table_row(callers: usize, direct: &Measured, path: &Measured) -> String {
    let quantile = |measured: &Measured, q: f64| measured.micros.value_at_quantile(q);
    let (direct_50, direct_99) = (quantile(direct, 0.5), quantile(direct, 0.99));
    let (path_50, path_99) = (quantile(path, 0.5), quantile(path, 0.99));
    format!(
        "{callers:7} {:9.0} {:8.0}  {:5.2}  {direct_50:8}/{direct_99:<8} {path_50:8}/{path_99:<8} {:8}/{:<8} {}",
        direct.per_second,
        path.per_second,
        path.per_second / direct.per_second,
        path_50.saturating_sub(direct_50),
        path_99.saturating_sub(direct_99),
        direct.failed + path.failed,
    )
}

fn apply_fleet(log: SocketAddr) -> anyhow::Result<()> {
    let key = String::from(digest_key(KEY));
    let text = format!(
        r#"
        fleet = "bench"
        zones = [{{ id = "a", region = "r", status = "in-service" }}]
        workers = [{{ id = "bench-01", zone = "a", rack = "r", cores = 512, memory_gib = 512, slots = {SLOTS}, connections = 1024 }}]
        pools = [{{ id = "p", workers = ["bench-01"], max_unavailable = 0 }}]
        queues = [{{ id = "plans", pool = "p", run_timeout = "10s", deadline = "20s" }}]
        accounts = [{{ id = "bench", share = 1, limit = 100000, keys = [{{ id = "1", sha256 = "{key}" }}] }}]
        "#
    );
    let record = LogRecord {
        id: 1,
        author: "bench".to_owned(),
        written: SystemTime::now(),
        body: RecordBody::Fleet(FleetProposal::whole(0, Arc::new(toml::from_str(&text)?))),
    };
    let bytes = encode_record(&record)?;
    async_io::block_on(HttpLog::new(log).append(bytes))?;
    Ok(())
}

fn start_entry(log: SocketAddr, instances: SocketAddr) -> anyhow::Result<ChildRole> {
    let settings = EntrySettings {
        entry: "bench".into(),
        zone: "a".into(),
        log,
        instances,
        worker_connections: SLOTS as usize,
        worker_idle_connections: SLOTS as usize,
        ..EntrySettings::default()
    };
    let path = format!("{}/path-bench.toml", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, toml::to_string(&settings)?)?;
    ChildRole::start(&["entry", "--settings", &path], 2)
}

fn wait_until_served(calls: &Rc<EntryCalls>) {
    let served = async || {
        let response = call_http(calls.address, calls.request(), RUN_TIME).await;
        response.is_ok_and(|response| response.status() == StatusCode::Ok)
    };
    while !async_io::block_on(served()) {
        thread::sleep(Duration::from_millis(50));
    }
}

fn direct_calls(address: SocketAddr) -> anyhow::Result<Rc<DirectCalls>> {
    let grant = async_io::block_on(acquire_lease(address))?;
    Ok(Rc::new(DirectCalls {
        address,
        grant: Rc::new(Cell::new(grant)),
        next_task: Cell::new(1),
    }))
}

fn gateway() -> HttpBackend {
    HttpBackend::new(HttpPool::new(PoolBounds::default(), Arc::new(SystemClock)))
}

fn backend_at(address: SocketAddr) -> BackendAddress {
    BackendAddress {
        worker: "bench-01".into(),
        address,
    }
}

async fn acquire_lease(address: SocketAddr) -> anyhow::Result<LeaseGrant> {
    Ok(gateway()
        .acquire_lease(backend_at(address), "direct".into(), None)
        .await?)
}

/// Measures direct calls under a lease that is renewed meanwhile.
fn measure_direct(callers: usize, calls: &Rc<DirectCalls>) -> Measured {
    let address = calls.address;
    let grant = Rc::clone(&calls.grant);
    let fresh = async_io::block_on(acquire_lease(address)).expect("lease");
    grant.set(fresh);
    let renew = async move {
        let gateway = gateway();
        loop {
            Timer::after(RENEW_PAUSE).await;
            let held = grant.get();
            let renewed = gateway.renew_lease(backend_at(address), held.lease, held.renewal);
            grant.set(renewed.await.expect("renewed"));
        }
    };
    let calls = Rc::clone(calls) as Rc<dyn RequestMaker>;
    measure_beside(callers, calls, RUN_TIME, renew)
}

fn measure(callers: usize, calls: Rc<dyn RequestMaker>, time: Duration) -> Measured {
    measure_beside(callers, calls, time, future::pending())
}

/// Lets so many callers send one request after the other for `time`, beside other work.
fn measure_beside(
    callers: usize,
    calls: Rc<dyn RequestMaker>,
    time: Duration,
    beside: impl Future<Output = ()>,
) -> Measured {
    let micros = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("histogram");
    let measured = Rc::new(RefCell::new(Measured {
        per_second: 0.0,
        micros,
        failed: 0,
    }));
    let executor = LocalExecutor::new();
    let end = Instant::now() + time;
    for _ in 0..callers {
        let (calls, measured) = (Rc::clone(&calls), Rc::clone(&measured));
        executor.spawn(call_until(end, calls, measured)).detach();
    }
    let done = async {
        while !executor.is_empty() {
            executor.tick().await;
        }
    };
    async_io::block_on(future::or(done, beside));
    drop(executor);
    let measured = Rc::into_inner(measured).expect("callers have ended");
    let mut measured = measured.into_inner();
    measured.per_second = measured.micros.len() as f64 / time.as_secs_f64();
    measured
}

async fn call_until(end: Instant, calls: Rc<dyn RequestMaker>, measured: Rc<RefCell<Measured>>) {
    let mut connection = None;
    while Instant::now() < end {
        let start = Instant::now();
        match call(&mut connection, &*calls).await {
            Ok(()) => {
                let micros = start.elapsed().as_micros();
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                measured.borrow_mut().micros.saturating_record(micros);
            }
            Err(_) => measured.borrow_mut().failed += 1,
        }
    }
}

async fn call(
    connection: &mut Option<HttpConnection>,
    calls: &dyn RequestMaker,
) -> anyhow::Result<()> {
    let open = match connection.take() {
        Some(open) => open,
        None => HttpConnection::open(calls.address()).await?,
    };
    let exchange = open.exchange(calls.request(), MAX_BODY).await?;
    *connection = exchange.connection;
    let status = exchange.response.status();
    ensure!(status == StatusCode::Ok, "status {status}");
    Ok(())
}
