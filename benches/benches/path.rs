//! Compares requests through an entry instance with direct requests to the same backend server.
//!
//! The entry instance and each stand-in are separate processes. For each number of callers, direct
//! requests and requests through the entry instance are measured one after the other in the same
//! run. At the end, the CPU time of the idle entry instance is read from `/proc`.

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
const MEASURE_TIME: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(2);
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second, the unit of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum latency that the histograms distinguish.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SLOTS: u32 = 512;
const KEY: &str = "bench-key";
const PAYLOAD: &str = r#"{"work_ms": 0}"#;

/// Child process that is killed on drop.
struct ChildProcess {
    child: Child,
    addresses: Vec<SocketAddr>,
}

/// Throughput and latency of one kind of request.
struct RequestStats {
    per_second: f64,
    latency_micros: Histogram<u64>,
    failed: u64,
}

/// Source of the requests of one kind.
trait RequestSource {
    fn address(&self) -> SocketAddr;
    fn request(&self) -> Request;
}

struct DirectRequests {
    address: SocketAddr,
    grant: Rc<Cell<LeaseGrant>>,
    next_task: Cell<TaskId>,
}

struct EntryRequests {
    address: SocketAddr,
}

impl RequestSource for DirectRequests {
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

impl RequestSource for EntryRequests {
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

impl ChildProcess {
    /// Starts this executable in another role, which prints `addresses` lines with an address each.
    fn start(args: &[&str], addresses: usize) -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().context("child process has no stdout")?;
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

    /// Returns the CPU time that the process has used, in seconds.
    fn cpu_seconds(&self) -> anyhow::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat
            .rsplit_once(')')
            .context("malformed process statistics")?;
        let ticks = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .map(str::parse::<f64>);
        let ticks: f64 = ticks.sum::<Result<f64, _>>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.split_first() {
        Some((&"standin", rest)) => run_standin(parse::<StandinArgs>("standin", rest)?),
        Some((&"entry", rest)) => run_daemon(&parse::<EntryArgs>("entry", rest)?),
        _ => run_bench(),
    }
}

fn parse<T: FromArgs>(name: &str, args: &[&str]) -> anyhow::Result<T> {
    T::from_args(&[name], args).map_err(|exit| anyhow::anyhow!(exit.output))
}

fn run_bench() -> anyhow::Result<()> {
    let standin = |args: &[&str]| ChildProcess::start(&[&["standin"], args].concat(), 1);
    let listen = ["--listen", "127.0.0.1:0"];
    let log = standin(&[&["log"], &listen[..]].concat())?;
    let slots = SLOTS.to_string();
    let backend_args = ["--worker", "bench-01", "--slots", &slots];
    let backend = standin(&[&["backend"], &listen[..], &backend_args].concat())?;
    let instance = format!("bench-01={}", backend.addresses[0]);
    let list = standin(&[&["instances"], &listen[..], &["--instance", &instance]].concat())?;
    apply_fleet(log.addresses[0])?;
    let entry = start_entry(log.addresses[0], list.addresses[0])?;

    let direct = direct_requests(backend.addresses[0])?;
    let entry_requests = Rc::new(EntryRequests {
        address: entry.addresses[0],
    });
    wait_until_ready(&entry_requests);
    let mut out = std::io::stdout();
    writeln!(
        out,
        "callers  direct/s   path/s  ratio  direct p50/p99 us  path p50/p99 us  added p50/p99 us  failed"
    )?;
    for callers in CALLERS {
        measure(
            callers,
            Rc::clone(&entry_requests) as Rc<dyn RequestSource>,
            WARM_UP,
        );
        let direct = measure_direct(callers, &direct);
        let path = measure(
            callers,
            Rc::clone(&entry_requests) as Rc<dyn RequestSource>,
            MEASURE_TIME,
        );
        writeln!(out, "{}", table_row(callers, &direct, &path))?;
    }
    thread::sleep(WARM_UP);
    let before = entry.cpu_seconds()?;
    thread::sleep(IDLE_TIME);
    let used = entry.cpu_seconds()? - before;
    let percent = 100.0 * used / IDLE_TIME.as_secs_f64();
    writeln!(
        out,
        "idle entry instance: {percent:.2}% of a core over {IDLE_TIME:?}"
    )?;
    Ok(())
}

fn table_row(callers: usize, direct: &RequestStats, path: &RequestStats) -> String {
    let quantile = |stats: &RequestStats, q: f64| stats.latency_micros.value_at_quantile(q);
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

fn start_entry(log: SocketAddr, instances: SocketAddr) -> anyhow::Result<ChildProcess> {
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
    ChildProcess::start(&["entry", "--settings", &path], 2)
}

fn wait_until_ready(source: &Rc<EntryRequests>) {
    let is_served = async || {
        let response = call_http(source.address, source.request(), MEASURE_TIME).await;
        response.is_ok_and(|response| response.status() == StatusCode::Ok)
    };
    while !async_io::block_on(is_served()) {
        thread::sleep(Duration::from_millis(50));
    }
}

fn direct_requests(address: SocketAddr) -> anyhow::Result<Rc<DirectRequests>> {
    let grant = async_io::block_on(acquire_lease(address))?;
    Ok(Rc::new(DirectRequests {
        address,
        grant: Rc::new(Cell::new(grant)),
        next_task: Cell::new(1),
    }))
}

fn backend_client() -> HttpBackend {
    HttpBackend::new(HttpPool::new(PoolBounds::default(), Arc::new(SystemClock)))
}

fn backend_at(address: SocketAddr) -> BackendAddress {
    BackendAddress {
        worker: "bench-01".into(),
        address,
    }
}

async fn acquire_lease(address: SocketAddr) -> anyhow::Result<LeaseGrant> {
    Ok(backend_client()
        .acquire_lease(backend_at(address), "direct".into(), None)
        .await?)
}

/// Measures direct requests under a lease that is renewed in the background.
fn measure_direct(callers: usize, source: &Rc<DirectRequests>) -> RequestStats {
    let address = source.address;
    let grant = Rc::clone(&source.grant);
    let fresh = async_io::block_on(acquire_lease(address)).expect("lease is granted");
    grant.set(fresh);
    let renew = async move {
        let client = backend_client();
        loop {
            Timer::after(RENEWAL_INTERVAL).await;
            let held = grant.get();
            let renewed = client.renew_lease(backend_at(address), held.lease, held.renewal);
            grant.set(renewed.await.expect("lease is renewed"));
        }
    };
    let source = Rc::clone(source) as Rc<dyn RequestSource>;
    measure_with_background(callers, source, MEASURE_TIME, renew)
}

fn measure(callers: usize, source: Rc<dyn RequestSource>, time: Duration) -> RequestStats {
    measure_with_background(callers, source, time, future::pending())
}

/// Runs `callers` closed-loop callers for `time` while `background` is polled.
fn measure_with_background(
    callers: usize,
    source: Rc<dyn RequestSource>,
    time: Duration,
    background: impl Future<Output = ()>,
) -> RequestStats {
    let latency_micros =
        Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("bounds are valid");
    let stats = Rc::new(RefCell::new(RequestStats {
        per_second: 0.0,
        latency_micros,
        failed: 0,
    }));
    let executor = LocalExecutor::new();
    let end = Instant::now() + time;
    for _ in 0..callers {
        let (source, stats) = (Rc::clone(&source), Rc::clone(&stats));
        executor.spawn(send_until(end, source, stats)).detach();
    }
    let done = async {
        while !executor.is_empty() {
            executor.tick().await;
        }
    };
    async_io::block_on(future::or(done, background));
    drop(executor);
    let stats = Rc::into_inner(stats).expect("callers have ended");
    let mut stats = stats.into_inner();
    stats.per_second = stats.latency_micros.len() as f64 / time.as_secs_f64();
    stats
}

async fn send_until(end: Instant, source: Rc<dyn RequestSource>, stats: Rc<RefCell<RequestStats>>) {
    let mut connection = None;
    while Instant::now() < end {
        let start = Instant::now();
        match send_request(&mut connection, &*source).await {
            Ok(()) => {
                let micros = start.elapsed().as_micros();
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                stats.borrow_mut().latency_micros.saturating_record(micros);
            }
            Err(_) => stats.borrow_mut().failed += 1,
        }
    }
}

async fn send_request(
    connection: &mut Option<HttpConnection>,
    source: &dyn RequestSource,
) -> anyhow::Result<()> {
    let open = match connection.take() {
        Some(open) => open,
        None => HttpConnection::open(source.address()).await?,
    };
    let exchange = open.exchange(source.request(), MAX_BODY_BYTES).await?;
    *connection = exchange.connection;
    let status = exchange.response.status();
    ensure!(status == StatusCode::Ok, "status {status}");
    Ok(())
}
