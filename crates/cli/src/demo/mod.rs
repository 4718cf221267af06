//! `demo`: a whole fleet in one process, with its promises put to the test.
//!
//! Stand-ins of the platform's services, a backend server for each worker and an entry instance
//! in each availability zone talk over TCP on loopback. Callers of several accounts send requests
//! while operators change the fleet; the backend servers' journals tell what really ran.

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

/// Runs a whole fleet in this process and checks its promises; ends by itself within a minute.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the demonstration and prints what was seen.
///
/// # Errors
///
/// Fails when the fleet can't be started or an operator's change can't be applied.
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
