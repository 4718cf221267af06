//! `demo`: runs a complete fleet in one process and checks its guarantees.
//!
//! Stand-ins for the platform's services, a backend server for each worker and an entry instance in
//! each availability zone communicate over TCP on loopback. Callers of several accounts send
//! requests while operators change the fleet. The checks compare the responses with the runs in the
//! journals of the backend servers.

mod caller;
mod fleet;
mod journal;
mod report;
mod scenario;
mod wave;

use argh::FromArgs;

use crate::command::ExitStatus;
use crate::output::{print_json, print_lines, print_table};

pub use report::{DemoReport, GuaranteeCheck};

/// Runs a complete fleet in this process and checks its guarantees; completes within a minute.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the demonstration and prints its report.
///
/// # Errors
///
/// Fails if the fleet can't be started, a change can't be applied, or an observation can't be read.
pub async fn run(args: DemoArgs) -> anyhow::Result<ExitStatus> {
    let fleet = fleet::DemoFleet::start()?;
    let mut report = DemoReport::default();
    for (name, scenario) in scenario::SCENARIOS {
        if !args.json {
            print_lines([format!("… {name}")])?;
        }
        let checks = scenario(&fleet).await?;
        report
            .checks
            .extend(checks.into_iter().map(|check| GuaranteeCheck {
                scenario: name,
                ..check
            }));
    }
    if args.json {
        print_json(&report)?;
    } else {
        print_lines([String::new()])?;
        let rows = report.checks.iter().map(GuaranteeCheck::row).collect();
        print_table(&["SCENE", "PROMISE", "HELD", "SEEN"], rows)?;
    }
    if report.all_hold() {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Rejected)
    }
}
