//! `explain`: says why an instance takes tasks or not, and why it may not be drained.

use std::net::SocketAddr;

use anyhow::Context;
use argh::FromArgs;
use pw_pool::prelude::*;
use serde::Serialize;

use crate::command::ExitStatus;
use crate::log_follower::LogFollower;
use crate::output::{print_json, print_lines};

/// Says in which state a worker instance is, and why it may not be drained.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// worker
    #[argh(positional)]
    worker: String,
}

/// State of a worker instance with its reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WorkerReport {
    /// The instance.
    pub instance: PoolInstance,
    /// Whether tasks may start on it.
    pub may_start: bool,
    /// Whether operators let tasks start in its availability zone.
    pub zone_in_service: bool,
    /// Standing of its pool against the availability budget.
    pub budget: PoolBudget,
    /// Whether the current maintenance wave still has to come to it.
    pub awaits_maintenance: bool,
    /// The last step of a planner that had no effect, with the reason.
    pub last_rejected: Option<RejectedStep>,
}

/// Reads the log and prints the state of the worker.
///
/// # Errors
///
/// Fails when the log can't be read or knows no such worker.
pub async fn run(args: ExplainArgs) -> anyhow::Result<ExitStatus> {
    let mut follower = LogFollower::over_http(args.log);
    follower.catch_up().await?;
    let report = worker_report(follower.pools(), &args.worker)
        .with_context(|| format!("worker {:?} is not declared", args.worker))?;
    if args.json {
        print_json(&report)?;
    } else {
        print_lines(lines_of(&report))?;
    }
    Ok(ExitStatus::Success)
}

/// Returns the state of `worker`; `None` where it is not declared.
pub fn worker_report(pools: &PoolLedger, worker: &str) -> Option<WorkerReport> {
    let instance = pools.instance(worker)?;
    Some(WorkerReport {
        may_start: pools.may_start(worker),
        zone_in_service: pools.zone_in_service(&instance.zone),
        budget: pools.budget(&instance.pool),
        awaits_maintenance: pools.awaits_maintenance(instance),
        last_rejected: pools.last_rejected(worker).cloned(),
        instance: instance.clone(),
    })
}

fn lines_of(report: &WorkerReport) -> Vec<String> {
    let instance = &report.instance;
    let budget = &report.budget;
    let zone = if report.zone_in_service {
        "in service"
    } else {
        "out of service"
    };
    let mut lines = vec![
        format!("worker {}: {}", instance.worker, instance.phase),
        format!("  tasks may start: {}", yes_no(report.may_start)),
        format!("  zone {} ({zone}), rack {}", instance.zone, instance.rack),
        format!("  pool {}, declared in {}", instance.pool, instance.home),
        format!(
            "  pool's budget: {} of {} available, {} required, room for {} more drains",
            budget.available,
            budget.members,
            budget.required,
            budget.headroom()
        ),
        format!(
            "  awaits maintenance: {}",
            yes_no(report.awaits_maintenance)
        ),
    ];
    if let Some(rejected) = &report.last_rejected {
        lines.push(format!(
            "  last rejected step: {} ({})",
            rejected.change, rejected.reason
        ));
    }
    lines
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
