//! `apply`: puts a whole fleet file in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Context, bail};
use argh::FromArgs;
use async_io::Timer;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use serde::Serialize;

use crate::check::{print_findings, read_fleet};
use crate::command::ExitStatus;
use crate::diff::print_diff;
use crate::log_follower::LogFollower;
use crate::output::{print_json, print_lines};

/// Longest time for an append, with its repetitions, to be seen in the log.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Puts a whole fleet file in force; exits with 1 where it is rejected and nothing changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// who applies it, for the audit trail
    #[argh(option)]
    operator: String,
    /// revision that the file was made from; the current one by default
    #[argh(option)]
    base: Option<FleetRevision>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// fleet file
    #[argh(positional)]
    file: String,
}

/// What became of an applied file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ApplyReport {
    /// Whether the file is in force.
    pub accepted: bool,
    /// Why it was rejected.
    pub reason: Option<String>,
    /// Revision in force afterwards.
    pub revision: FleetRevision,
    /// Number of things that it changed.
    pub changes: usize,
}

/// Applies the file and prints what became of it.
///
/// # Errors
///
/// Fails when the log can't be reached for so long that the outcome is unknown.
pub async fn run(args: ApplyArgs) -> anyhow::Result<ExitStatus> {
    let spec = match read_fleet(&args.file)? {
        Ok(spec) => spec,
        Err(findings) => {
            print_findings(args.json, &findings)?;
            return Ok(ExitStatus::Rejected);
        }
    };
    let mut follower = LogFollower::over_http(args.log);
    follower
        .catch_up()
        .await
        .context("can't read the log; nothing was applied")?;
    let before = follower.spec().cloned().unwrap_or_default();
    let diff = FleetDiff::between(&before, &spec);
    let report = apply_spec(&mut follower, &args.operator, args.base, spec, &diff).await?;
    print_report(args.json, &report, &diff)?;
    if report.accepted {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Rejected)
    }
}

/// Appends the fleet to the log and waits until the fold has judged it.
///
/// # Errors
///
/// Fails when the outcome stays unknown; the error names the record to look for in the audit trail.
pub async fn apply_spec(
    follower: &mut LogFollower,
    operator: &str,
    base: Option<FleetRevision>,
    spec: FleetSpec,
    diff: &FleetDiff,
) -> anyhow::Result<ApplyReport> {
    let current = follower.state().revision;
    let base = base.unwrap_or(current);
    let spec = Arc::new(spec);
    let proposal = match follower.spec() {
        Some(before) if base == current => FleetProposal::between(base, before, spec),
        _ => FleetProposal::whole(base, spec),
    };
    let record = LogRecord {
        id: uuid::Uuid::new_v4().as_u128(),
        author: operator.to_owned(),
        written: SystemTime::now(),
        body: RecordBody::Fleet(proposal),
    };
    let outcome = append_and_follow(follower, &record).await?;
    let reason = match outcome {
        FoldOutcome::Accepted => None,
        FoldOutcome::Rejected(reason) => Some(reason.to_string()),
        FoldOutcome::Repeated => Some("repeated".to_owned()),
    };
    Ok(ApplyReport {
        accepted: reason.is_none(),
        reason,
        revision: follower.state().revision,
        changes: diff.changes.len(),
    })
}

/// Appends until the record is seen in the log; a lost answer is harmless, as the identity stays.
async fn append_and_follow(
    follower: &mut LogFollower,
    record: &LogRecord,
) -> anyhow::Result<FoldOutcome> {
    let bytes = encode_record(record)?;
    let deadline = Instant::now() + APPLY_TIMEOUT;
    while Instant::now() < deadline {
        match follower.store().append(bytes.clone()).await {
            Ok(_) | Err(LogError::Unreachable(_)) => {}
            Err(error) => bail!("nothing was applied: {error}"),
        }
        match follower.advance(READ_WAIT).await {
            Ok(folded) => {
                let own = folded
                    .into_iter()
                    .find(|folded| folded.record.id == record.id);
                if let Some(own) = own {
                    return Ok(own.outcome);
                }
            }
            Err(LogError::Unreachable(_)) => _ = Timer::after(RETRY_PAUSE).await,
            Err(error) => return Err(error.into()),
        }
    }
    bail!(
        "the outcome is unknown; look for record {:032x} in the audit trail",
        record.id
    )
}

fn print_report(json: bool, report: &ApplyReport, diff: &FleetDiff) -> anyhow::Result<()> {
    if json {
        return print_json(report);
    }
    match &report.reason {
        None => {
            print_diff(false, diff)?;
            print_lines([format!("applied as revision {}", report.revision)])
        }
        Some(reason) => print_lines([format!(
            "rejected ({reason}), nothing changed; the fleet is at revision {}",
            report.revision
        )]),
    }
}
