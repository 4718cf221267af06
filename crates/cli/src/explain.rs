//! `explain`: shows why a worker instance accepts tasks or not, and why it may not be drained.

use std::net::SocketAddr;

use anyhow::Context;
use argh::FromArgs;
use pw_pool::prelude::*;
use serde::Serialize;

use crate::command::ExitStatus;
use crate::log_follower::LogFollower;
use crate::output::{print_json, print_lines};

/// Shows the state of a worker instance and why it may not be drained.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// id of the worker
    #[argh(positional)]
    worker: String,
}

/// State of a worker instance and the conditions that determine it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WorkerReport {
    /// The instance.
    pub instance: PoolInstance,
    /// Whether tasks may start on the instance.
    pub may_start: bool,
    /// Whether its availability zone is declared and in service.
    pub zone_in_service: bool,
    /// Instance counts of its pool and the minimums of the availability budget.
    pub budget: PoolBudget,
    /// Whether the instance has not completed the current maintenance wave.
    pub awaits_maintenance: bool,
    /// Last rejected planner step for the instance, with the reason.
    pub last_rejected: Option<RejectedStep>,
}

/// Reads the log and prints the state of the worker.
///
/// # Errors
///
/// Fails if the log can't be read or the worker is not declared.
pub async fn run(args: ExplainArgs) -> anyhow::Result<ExitStatus> {
    let mut follower = LogFollower::over_http(args.log);
    follower.catch_up().await?;
    let report = worker_report(follower.pools(), &args.worker)
        .with_context(|| format!("worker {:?} is not declared", args.worker))?;
    if args.json {
        print_json(&report)?;
    } else {
        print_lines(report_lines(&report))?;
    }
    Ok(ExitStatus::Success)
}

/// Returns the state of `worker`, or `None` if it is not declared.
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

fn report_lines(report: &WorkerReport) -> Vec<String> {
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
