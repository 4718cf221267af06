//! `status`: shows the current fleet and the status of entry instances.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use argh::FromArgs;
use http_types::{Method, Request, StatusCode};
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use serde::Serialize;
use serde_json::Value;

use crate::command::ExitStatus;
use crate::log_follower::LogFollower;
use crate::output::{print_json, print_lines, print_table};

/// Timeout of a status request to an entry instance.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Shows the current fleet and the status of entry instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// admin address of an entry instance; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Status of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct FleetStatus {
    /// Current revision; 0 before the first one.
    pub revision: FleetRevision,
    /// Current configuration.
    pub spec: Option<FleetSpec>,
    /// Status of each requested entry instance.
    pub entries: Vec<EntryStatus>,
}

/// Status of one entry instance.
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Admin address.
    pub admin: SocketAddr,
    /// Status report; `None` if the request failed.
    pub report: Option<Value>,
    /// Error of a failed request.
    pub error: Option<String>,
}

/// Reads the log, requests the status of the entry instances and prints both.
///
/// # Errors
///
/// Fails if the log can't be read.
pub async fn run(args: StatusArgs) -> anyhow::Result<ExitStatus> {
    let mut follower = LogFollower::over_http(args.log);
    follower.catch_up().await?;
    let mut entries = Vec::new();
    for admin in args.entry {
        entries.push(query_entry(admin).await);
    }
    let status = FleetStatus {
        revision: follower.state().revision,
        spec: follower.spec().cloned(),
        entries,
    };
    if args.json {
        print_json(&status)?;
    } else {
        print_status(&status)?;
    }
    Ok(ExitStatus::Success)
}

async fn query_entry(admin: SocketAddr) -> EntryStatus {
    let result = fetch_status(admin).await;
    let error = result.as_ref().err().map(|error| format!("{error:#}"));
    EntryStatus {
        admin,
        report: result.ok(),
        error,
    }
}

/// Requests the status of the entry instance with the admin address `admin`.
///
/// # Errors
///
/// Fails if the instance does not respond or the response is not a status.
pub async fn fetch_status(admin: SocketAddr) -> anyhow::Result<Value> {
    let url = format!("http://{admin}/status");
    let request = Request::new(Method::Get, url.as_str());
    let response = call_http(admin, request, ENTRY_TIMEOUT).await?;
    ensure!(
        response.status() == StatusCode::Ok,
        "status {}",
        response.status()
    );
    serde_json::from_slice(&response.body).context("malformed status")
}

fn print_status(status: &FleetStatus) -> anyhow::Result<()> {
    let Some(spec) = &status.spec else {
        return print_lines(["no fleet is in force".to_owned()]);
    };
    print_lines([
        format!("fleet {} at revision {}", spec.fleet, status.revision),
        String::new(),
    ])?;
    print_table(&["ZONE", "REGION", "STATUS", "WORKERS"], zone_rows(spec))?;
    print_lines([String::new()])?;
    print_table(
        &["POOL", "WORKERS", "SLOTS", "MAX UNAVAILABLE", "SPARE"],
        pool_rows(spec),
    )?;
    print_lines([String::new()])?;
    print_table(&["ACCOUNT", "SHARE", "LIMIT", "KEYS"], account_rows(spec))?;
    print_lines([String::new()])?;
    print_table(
        &["ENTRY", "REVISION", "OPEN TASKS", "WAITING"],
        status.entries.iter().map(entry_row).collect(),
    )
}

fn zone_rows(spec: &FleetSpec) -> Vec<Vec<String>> {
    let workers = |zone: &str| {
        spec.workers
            .iter()
            .filter(|worker| &*worker.zone == zone)
            .count()
    };
    spec.zones
        .iter()
        .map(|zone| {
            let status = zone.status.to_string();
            vec![
                zone.id.to_string(),
                zone.region.clone(),
                status,
                workers(&zone.id).to_string(),
            ]
        })
        .collect()
}

fn pool_rows(spec: &FleetSpec) -> Vec<Vec<String>> {
    let slots = |ids: &[WorkerId]| -> u32 {
        let workers = spec
            .workers
            .iter()
            .filter(|worker| ids.contains(&worker.id));
        workers.map(|worker| worker.slots).sum()
    };
    spec.pools
        .iter()
        .map(|pool| {
            vec![
                pool.id.to_string(),
                pool.workers.len().to_string(),
                slots(&pool.workers).to_string(),
                pool.max_unavailable.to_string(),
                if pool.spare { "yes" } else { "no" }.to_owned(),
            ]
        })
        .collect()
}

fn account_rows(spec: &FleetSpec) -> Vec<Vec<String>> {
    spec.accounts
        .iter()
        .map(|account| {
            let keys: Vec<&str> = account.keys.iter().map(|key| &*key.id).collect();
            let numbers = [account.share.to_string(), account.limit.to_string()];
            let [share, limit] = numbers;
            vec![account.id.to_string(), share, limit, keys.join(" ")]
        })
        .collect()
}

fn entry_row(entry: &EntryStatus) -> Vec<String> {
    let cells = match (&entry.report, &entry.error) {
        (Some(report), _) => [
            report["revision"].to_string(),
            report["open_tasks"].to_string(),
            format_waiting(&report["waiting"]),
        ],
        (None, error) => {
            let reason = error.as_deref().unwrap_or("unknown");
            [String::new(), String::new(), format!("no answer: {reason}")]
        }
    };
    std::iter::once(entry.admin.to_string())
        .chain(cells)
        .collect()
}

/// Formats the number of waiting tasks for each reason.
fn format_waiting(waiting: &Value) -> String {
    let reasons = waiting.as_object().into_iter().flatten();
    let parts: Vec<String> = reasons
        .map(|(reason, count)| format!("{count} {reason}"))
        .collect();
    parts.join(", ")
}
