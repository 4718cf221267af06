//! The whole: the platform's stand-ins, the nodes as processes, and a client.

use std::fs::{self, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Server, call};
use crate::json::{Json, obj};
use crate::record::Record;
use crate::store::{PARTS, Store};
use crate::world::{Step, World, unix_ms};

pub const HOST: &str = "tienda.example";
pub const KEY: &str = "key-of-ane";
pub const POOL: &str = "corte";
const PROGRAM: &str = "target/release/primrosewheel-node";
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

pub struct Node {
    pub name: String,
    front: SocketAddr,
    ready: SocketAddr,
    /// While true, the store gives this node no answer to a submission and takes it in 6 s later.
    late: Arc<AtomicBool>,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

pub struct System {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub world: Arc<World>,
    pub nodes: Vec<Node>,
    /// Node that last wrote to the store under an epoch.
    writer: Arc<AtomicUsize>,
    /// First port of the latest node.
    port: u16,
    folder: PathBuf,
    _servers: Vec<Server>,
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub advice: bool,
}

impl System {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(record: Record, nodes: usize, workers: usize) -> Result<System, String> {
        let record = Arc::new(record);
        let store = Arc::new(Store::default());
        let world = World::start(Arc::clone(&store), Arc::clone(&record), POOL, workers);
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Arc::clone(&world);
        let cloud: Handler = Arc::new(move |request| platform.cloud(request));
        let cloud = Server::start(local, cloud).map_err(|error| error.to_string())?;
        let service = Arc::clone(&world);
        let advice: Handler = Arc::new(move |request| service.advise(request));
        let advice = Server::start(local, advice).map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let port = 20_000 + ((unix_ms() * 7919 + u64::from(std::process::id()) * 104_729) % 10_000) as u16;
        let (writer, nodes_started) = (Arc::default(), Vec::new());
        let mut system =
            System { record, store, world, nodes: nodes_started, writer, port, folder, _servers: Vec::new() };
        system.put_config(1, &[Route { prefix: "/cut/", advice: false }]);
        for number in 0..nodes {
            system.start_node(number, cloud.address, advice.address)?;
        }
        system._servers.extend([cloud, advice]);
        let until = Instant::now() + Duration::from_secs(20);
        for node in &system.nodes {
            while !node.is_ready() {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", node.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        for node in &mut system.nodes {
            if !matches!(node.child.try_wait(), Ok(None)) {
                return Err(format!("{} has ended", node.name));
            }
        }
        system.record.line("all nodes are ready");
        // The first assignment of the shards waits two seconds; traffic starts 10 s after the machines.
        thread::sleep(Duration::from_secs(6));
        Ok(system)
    }

    fn start_node(&mut self, number: usize, cloud: SocketAddr, advice: SocketAddr) -> Result<(), String> {
        let late = Arc::new(AtomicBool::new(false));
        let (held_up, record) = (Arc::clone(&late), Arc::clone(&self.record));
        let (store, writer) = (Arc::clone(&self.store), Arc::clone(&self.writer));
        let handler: Handler = Arc::new(move |request| {
            if request.path == "/log-append" && request.query("epoch").is_some() {
                writer.store(number, Ordering::SeqCst);
            }
            let is_submission = request.path == "/log-append" && request.query("topic") == Some("keyed.submissions");
            if is_submission && held_up.load(Ordering::SeqCst) {
                record.line(&format!("store: {} of a submission gets no answer", request.path));
                let (store, record, request) = (Arc::clone(&store), Arc::clone(&record), request.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs(6));
                    record.line("store: a submission is taken in 6 s late");
                    store.handle(&request);
                });
                thread::sleep(Duration::from_millis(2500));
                return Reply::Drop;
            }
            store.handle(request)
        });
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler);
        let server = server.map_err(|error| error.to_string())?;
        let name = format!("frontend-{}", number + 1);
        let first = free_ports(4, self.port).ok_or("no free ports")?;
        self.port = first;
        let (front, ready) = (first + 2, first + 3);
        let settings = settings(&name, first, front, ready, server.address, cloud, advice);
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let child = start_program(&path, &log)?;
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        self.record.line(&format!("{name} starts"));
        self.nodes.push(Node { name, front: at(front), ready: at(ready), late, settings: path, log, child });
        self._servers.push(server);
        Ok(())
    }

    /// Publishes a configuration.
    pub fn put_config(&self, version: u64, routes: &[Route]) {
        let routes = routes.iter().map(|route| {
            let mut fields = vec![
                ("name".to_owned(), format!("r{}", route.prefix.replace('/', "-")).into()),
                ("host".to_owned(), HOST.into()),
                ("pathPrefix".to_owned(), route.prefix.into()),
                ("type".to_owned(), "unsafe".into()),
                ("timeoutMs".to_owned(), 3000.into()),
                ("targetLatencyMs".to_owned(), 600.into()),
                ("priority".to_owned(), 0.into()),
                ("service".to_owned(), POOL.into()),
                ("attempts".to_owned(), 4.into()),
                ("stretch".to_owned(), Json::Num(1.6)),
                ("public".to_owned(), Json::Bool(false)),
            ];
            if route.advice {
                let advice = obj([("decideMs", 20.into()), ("eachMs", 2.into()), ("validMs", 3000.into())]);
                fields.push(("advice".to_owned(), advice));
            }
            Json::Obj(fields)
        });
        let service = obj([("name", POOL.into()), ("admissionCheck", Json::Bool(true))]);
        let tenant = obj([
            ("name", "ane".into()),
            ("apiKeys", Json::Arr(vec![KEY.into()])),
            ("weight", 1.into()),
            ("maximum", obj([("cpu", 0.into()), ("memMb", 0.into()), ("gpu", 0.into())])),
        ]);
        let config = obj([
            ("version", version.into()),
            ("routes", Json::Arr(routes.collect())),
            ("services", Json::Arr(vec![service])),
            ("tenants", Json::Arr(vec![tenant])),
            ("limits", obj([])),
        ]);
        self.record.line(&format!("operator: op/config {config}"));
        self.store.put("keyed.op", "config", &config.to_string());
    }

    /// Submits a job; returns the status of the answer, 0 without one.
    pub fn submit(&self, node: usize, prefix: &str, id: &str, steps: &[Step]) -> u16 {
        self.world.lock().jobs.insert(id.to_owned(), steps.to_vec());
        let phases = steps.iter().map(|step| {
            let mut fields = vec![
                ("count".to_owned(), step.count.into()),
                ("cpu".to_owned(), step.cpu.into()),
                ("memMb".to_owned(), step.memory.into()),
                ("estimateMs".to_owned(), step.work_ms.into()),
            ];
            if !step.depends_on.is_empty() {
                let on = step.depends_on.iter().map(|on| (*on).into());
                fields.push(("dependsOn".to_owned(), Json::Arr(on.collect())));
            }
            for (name, is_set) in
                [("gang", step.gang), ("savesProgress", step.saves), ("longRunning", step.lasts)]
            {
                if is_set {
                    fields.push((name.to_owned(), Json::Bool(true)));
                }
            }
            Json::Obj(fields)
        });
        let body = obj([("spec", "cutting plan".into()), ("phases", Json::Arr(phases.collect()))]);
        self.call(node, "POST", prefix, id, &body.to_string()).0
    }

    /// Sends a client's call; the status is 0 without an answer.
    pub fn call(&self, node: usize, method: &str, prefix: &str, id: &str, body: &str) -> (u16, String) {
        let node = &self.nodes[node];
        let path = format!("{prefix}{id}");
        let headers = [("Host", HOST), ("Primrosewheel-Credential", KEY)];
        let answer = call(node.front, method, &path, &headers, body, CLIENT_TIMEOUT);
        let (status, text) = answer.unwrap_or_default();
        self.record.line(&format!("client: {method} {path} at {} {body} -> {status} {text}", node.name));
        (status, text)
    }

    /// Returns the state of a job as the first node that answers shows it.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        // Clients ask from time to time.
        thread::sleep(Duration::from_millis(150));
        for node in 0..self.nodes.len() {
            let (status, text) = self.call(node, "GET", prefix, id, "");
            if status == 200 {
                let body = Json::parse(&text).unwrap_or(Json::Null);
                return body.get("state").text().unwrap_or_default().to_owned();
            }
            if status == 410 {
                return "410".to_owned();
            }
        }
        String::new()
    }

    /// The store holds up the submissions of a node, or takes them in at once again.
    pub fn set_late(&self, node: usize, late: bool) {
        let node = &self.nodes[node];
        let what = if late { "holds up" } else { "takes in at once" };
        self.record.line(&format!("store {what} the submissions of {}", node.name));
        node.late.store(late, Ordering::SeqCst);
    }

    /// Stops a node with SIGTERM and starts it again once it has ended.
    pub fn roll_node(&mut self, number: usize) -> Result<(), String> {
        let node = &mut self.nodes[number];
        self.record.line(&format!("{} gets SIGTERM", node.name));
        crate::cases::terminate(node.child.id());
        _ = node.child.wait();
        self.record.line(&format!("{} has ended", node.name));
        self.restart_node(number)
    }

    /// Kills a node.
    pub fn stop_node(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        self.record.line(&format!("{} is killed", node.name));
        _ = node.child.kill();
        _ = node.child.wait();
    }

    /// Starts a node again.
    pub fn restart_node(&mut self, number: usize) -> Result<(), String> {
        let node = &mut self.nodes[number];
        self.record.line(&format!("{} starts again", node.name));
        node.child = start_program(&node.settings, &node.log)?;
        Ok(())
    }

    /// Returns the node that last wrote to the store under an epoch.
    pub fn last_writer(&self) -> usize {
        self.writer.load(Ordering::SeqCst)
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait(&self, seconds: f64, mut holds: impl FnMut(&System) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if holds(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            _ = node.child.kill();
            _ = node.child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }
}

impl Node {
    fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/ready", &[("Host", HOST)], "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Starts the program of the deploy file as its platform does.
fn start_program(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = OpenOptions::new().create(true).append(true).open(log).map_err(|error| error.to_string())?;
    let errors = log.try_clone().map_err(|error| error.to_string())?;
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("PRIMROSEWHEEL_BOOT", settings).stdin(Stdio::null());
    for variable in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(variable) {
            command.env(variable, value);
        }
    }
    let child = command.stdout(log).stderr(errors).spawn().map_err(|error| error.to_string())?;
    crate::cases::add_node(child.id());
    Ok(child)
}

/// Returns the first of `count` free ports in a row that follow `after`, below those that the system
/// gives out itself.
fn free_ports(count: u16, after: u16) -> Option<u16> {
    let mut port = after;
    for _ in 0..1000 {
        port = if port > 30_000 { 20_000 } else { port + count };
        let listeners: Vec<_> =
            (port..port + count).filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()).collect();
        if listeners.len() == usize::from(count) {
            return Some(port);
        }
    }
    None
}

fn settings(
    name: &str,
    first: u16,
    front: u16,
    ready: u16,
    store: SocketAddr,
    cloud: SocketAddr,
    advice: SocketAddr,
) -> String {
    format!(
        r#"node = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "bilbao"
region = "cantabrico"
portRange = [{first},{}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
orders = "call"
advice = "{advice}"
[zones]
bilbao = "cantabrico"
santander = "cantabrico"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lostMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 3
saveS = 0.5
restoreMs = 100
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = {PARTS}
appendMs = 1.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
[cloud]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#,
        first + 1,
        first + 1,
    )
}
