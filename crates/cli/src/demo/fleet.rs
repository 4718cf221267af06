//! Fleet of the demonstration: stand-ins, backend servers and entry instances.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, anyhow, ensure};
use http_types::{Method, Request};
use pw_base::prelude::*;
use pw_entry::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_plan::prelude::*;
use pw_standin::prelude::*;
use pw_worker::prelude::*;

use super::journal::{RunRecord, read_runs};
use crate::apply::apply_spec;
use crate::log_follower::LogFollower;
use crate::status::fetch_status;

/// Fleet file that the demonstration applies.
const FLEET_FILE: &str = include_str!("../../../../examples/telar-norte.toml");
/// Name of the operator in the audit trail.
const OPERATOR: &str = "demo";
/// Polling interval of the instance list.
const INSTANCE_POLL: Duration = Duration::from_millis(200);

/// Time that a simulated machine takes to drain, and to reboot.
const MACHINE_STEP_TIME: Duration = Duration::from_millis(100);
/// Timeout of a request for the history of the machines.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(5);

/// Complete fleet in this process.
pub(super) struct DemoFleet {
    spec: FleetSpec,
    log: SocketAddr,
    machines: SocketAddr,
    workers: Vec<(WorkerSpec, SocketAddr)>,
    entries: Vec<EntryNode>,
}

impl DemoFleet {
    /// Starts all services; does not apply the fleet file.
    pub(super) fn start() -> anyhow::Result<Self> {
        let spec = check_fleet("telar-norte.toml", FLEET_FILE)
            .map_err(|findings| anyhow!("the shipped file has {} findings", findings.len()))?;
        let workers = start_workers(&spec)?;
        let log = LogService::start(loopback())?.address();
        let list = workers.iter().map(|(worker, address)| InstanceEntry {
            worker: worker.id.clone(),
            address: *address,
            state: InstanceState::Live,
        });
        let instances = InstanceList::start(loopback(), list.collect())?.address();
        let machines = MachineService::start(loopback(), machine_settings(&spec))?.address();
        let entries = spec
            .zones
            .iter()
            .map(|zone| {
                let settings = EntrySettings {
                    entry: format!("entry-{}", zone.id).into(),
                    zone: zone.id.clone(),
                    log,
                    instances,
                    machines: Some(machines),
                    planner: fast_planner(),
                    instance_poll: INSTANCE_POLL,
                    ..EntrySettings::default()
                };
                EntryNode::start(&settings, NodeLinks::over_http(&settings))
            })
            .collect::<Result<_, _>>()
            .context("an entry instance can't start")?;
        Ok(Self {
            spec,
            log,
            machines,
            workers,
            entries,
        })
    }

    /// Returns the configuration in the fleet file.
    pub(super) fn spec(&self) -> &FleetSpec {
        &self.spec
    }

    /// Returns the address for callers of each entry instance.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryNode::callers).collect()
    }

    /// Returns the workers in the availability zone `zone`.
    pub(super) fn workers_in(&self, zone: &str) -> Vec<WorkerId> {
        let workers = self.workers.iter().map(|(worker, _)| worker);
        workers
            .filter(|worker| &*worker.zone == zone)
            .map(|worker| worker.id.clone())
            .collect()
    }

    /// Applies `spec` as the `apply` subcommand does and returns its revision.
    pub(super) async fn apply(&self, spec: FleetSpec) -> anyhow::Result<FleetRevision> {
        let mut follower = LogFollower::over_http(self.log);
        follower.catch_up().await?;
        let before = follower.spec().cloned().unwrap_or_default();
        let diff = FleetDiff::between(&before, &spec);
        let report = apply_spec(&mut follower, OPERATOR, None, spec, &diff).await?;
        ensure!(
            report.accepted,
            "the fleet was rejected: {:?}",
            report.reason
        );
        Ok(report.revision)
    }

    /// Returns the lowest current revision of the entry instances; 0 if one does not respond.
    pub(super) async fn lowest_revision(&self) -> FleetRevision {
        let mut lowest = FleetRevision::MAX;
        for entry in &self.entries {
            let report = fetch_status(entry.admin()).await.unwrap_or_default();
            lowest = lowest.min(report["revision"].as_u64().unwrap_or_default());
        }
        lowest
    }

    /// Returns the platform's log.
    pub(super) fn log(&self) -> HttpLog {
        HttpLog::new(self.log)
    }

    /// Returns the history of each machine.
    pub(super) async fn machine_history(&self) -> anyhow::Result<Vec<MachineHistory>> {
        let url = format!("http://{}/v1/machines/history", self.machines);
        let request = Request::new(Method::Get, url.as_str());
        let response = call_http(self.machines, request, HISTORY_TIMEOUT).await?;
        serde_json::from_slice(&response.body).context("malformed history")
    }

    /// Returns all runs in the journals of the backend servers, ordered by start time.
    pub(super) async fn runs(&self) -> anyhow::Result<Vec<RunRecord>> {
        let mut runs = Vec::new();
        for (worker, address) in &self.workers {
            runs.extend(read_runs(worker, *address).await?);
        }
        runs.sort_by_key(|run| run.started);
        Ok(runs)
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn machine_settings(spec: &FleetSpec) -> MachineSettings {
    MachineSettings {
        workers: spec
            .workers
            .iter()
            .map(|worker| worker.id.clone())
            .collect(),
        drain_time: MACHINE_STEP_TIME,
        reboot_time: MACHINE_STEP_TIME,
        ..MachineSettings::default()
    }
}

/// Returns planner settings with which a wave completes in seconds.
fn fast_planner() -> PlanSettings {
    PlanSettings {
        tick: Duration::from_millis(50),
        step_timeout: Duration::from_secs(1),
        order_timeout: Duration::from_millis(500),
        admit_interval: Duration::from_millis(50),
        max_maintenance_percent: 100,
        ..PlanSettings::default()
    }
}

fn start_workers(spec: &FleetSpec) -> anyhow::Result<Vec<(WorkerSpec, SocketAddr)>> {
    spec.workers
        .iter()
        .map(|worker| {
            let settings = ServerSettings {
                worker: worker.id.clone(),
                slots: worker.slots,
                ..ServerSettings::default()
            };
            let server = BackendServer::start(&settings).context("a backend server can't start")?;
            Ok((worker.clone(), server.address()))
        })
        .collect()
}
