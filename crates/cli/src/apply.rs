//! `apply`: replaces the declared fleet with the contents of a fleet file.

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

/// Maximum time, with all retries, until the appended record is read back from the log.
const APPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next attempt after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Replaces the declared fleet with a fleet file; exits with 1 if it is rejected without effect.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// name of the operator, for the audit trail
    #[argh(option)]
    operator: String,
    /// revision that the file is based on; the current one by default
    #[argh(option)]
    base: Option<FleetRevision>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// fleet file
    #[argh(positional)]
    file: String,
}

/// Result of applying a fleet file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ApplyReport {
    /// Whether the file was accepted.
    pub accepted: bool,
    /// Reason for the rejection.
    pub reason: Option<String>,
    /// Current revision after the proposal.
    pub revision: FleetRevision,
    /// Number of elements that the file adds, removes or changes.
    pub changes: usize,
}

/// Applies the file and prints the result.
///
/// # Errors
///
/// Fails if the fleet file or the log can't be read, if the log rejects the append, or if the
/// outcome is still unknown after the timeout.
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

/// Appends the fleet to the log and waits until the fold accepts or rejects it.
///
/// # Errors
///
/// Fails if nothing was applied or the outcome is unknown; in the latter case the error names the
/// record to search for in the audit trail.
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
    let outcome = append_until_visible(follower, &record).await?;
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

/// Appends the record until it is read back from the log.
///
/// Retries after a lost response are safe: they reuse the record id, so the fold applies the record
/// only once.
async fn append_until_visible(
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
                let appended = folded
                    .into_iter()
                    .find(|folded| folded.record.id == record.id);
                if let Some(appended) = appended {
                    return Ok(appended.outcome);
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
