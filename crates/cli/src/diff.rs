//! `diff`: compares a fleet file with the current fleet or with another file.

use std::net::SocketAddr;

use anyhow::bail;
use argh::FromArgs;
use pw_fleet::prelude::*;

use crate::check::{print_findings, read_fleet};
use crate::command::ExitStatus;
use crate::log_follower::LogFollower;
use crate::output::{print_json, print_table};

/// Shows the changes that a fleet file would make.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// address of the platform's log service; compares with the current fleet
    #[argh(option)]
    log: Option<SocketAddr>,
    /// fleet file to compare with
    #[argh(option)]
    against: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// fleet file
    #[argh(positional)]
    file: String,
}

/// Prints the changes that the file would make.
///
/// # Errors
///
/// Fails unless exactly one of `--log` and `--against` is given and both fleets can be read.
pub async fn run(args: DiffArgs) -> anyhow::Result<ExitStatus> {
    let before = match (args.log, &args.against) {
        (Some(log), None) => {
            let mut follower = LogFollower::over_http(log);
            follower.catch_up().await?;
            Ok(follower.spec().cloned().unwrap_or_default())
        }
        (None, Some(file)) => read_fleet(file)?,
        _ => bail!("name either --log or --against"),
    };
    match (before, read_fleet(&args.file)?) {
        (Ok(before), Ok(after)) => {
            print_diff(args.json, &FleetDiff::between(&before, &after))?;
            Ok(ExitStatus::Success)
        }
        (before, after) => {
            let findings = [before.err(), after.err()].into_iter().flatten().flatten();
            print_findings(args.json, &findings.collect::<Vec<_>>())?;
            Ok(ExitStatus::Rejected)
        }
    }
}

/// Prints changes as a table or as JSON.
///
/// # Errors
///
/// Fails if standard output can't be written.
pub fn print_diff(json: bool, diff: &FleetDiff) -> anyhow::Result<()> {
    if json {
        return print_json(diff);
    }
    let rows = diff.changes.iter().flat_map(change_rows).collect();
    print_table(
        &["CHANGE", "SECTION", "NAME", "FIELD", "BEFORE", "AFTER"],
        rows,
    )
}

fn change_rows(change: &FleetChange) -> Vec<Vec<String>> {
    let prefix = || {
        vec![
            change.kind.to_string(),
            change.section.to_owned(),
            change.id.clone(),
        ]
    };
    if change.fields.is_empty() {
        return vec![prefix()];
    }
    change
        .fields
        .iter()
        .map(|field| {
            let values = [
                field.field.clone(),
                field.before.to_string(),
                field.after.to_string(),
            ];
            prefix().into_iter().chain(values).collect()
        })
        .collect()
}
