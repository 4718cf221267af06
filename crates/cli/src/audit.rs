//! `audit`: lists the changes in the log with their author, time and base revision.

use std::net::SocketAddr;

use argh::FromArgs;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_pool::prelude::*;
use serde::Serialize;

use crate::command::ExitStatus;
use crate::log_follower::{FoldedRecord, LogFollower};
use crate::output::{print_json, print_table};

/// Lists the changes of the fleet with their author, time and base revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// number of changes to show, the latest ones
    #[argh(option, default = "50")]
    last: usize,
    /// also show the decisions of entry instances: members, permits, drains and moves
    #[argh(switch)]
    all: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Line of the audit trail.
#[derive(Debug, Clone, Serialize)]
pub struct AuditLine {
    /// Offset in the log.
    pub offset: LogOffset,
    /// Record id, in hexadecimal digits.
    pub record: String,
    /// Author's wall-clock time when the record was written, in RFC 3339.
    pub written: String,
    /// Operator or entry instance.
    pub author: String,
    /// `accepted`, or the reason for the rejection.
    pub outcome: String,
    /// Proposed change.
    pub change: AuditChange,
}

/// Change that a record proposes.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditChange {
    /// Change of the declared fleet by an operator.
    Fleet {
        /// Revision that the change is based on.
        base: FleetRevision,
        /// Current revision after the record.
        revision: FleetRevision,
        /// Effective changes; empty if the proposal was rejected.
        diff: FleetDiff,
    },
    /// Decisions of an entry instance.
    Control(Vec<ControlProposal>),
}

/// Reads the log and prints the audit trail.
///
/// # Errors
///
/// Fails if the log can't be read.
pub async fn run(args: AuditArgs) -> anyhow::Result<ExitStatus> {
    let mut follower = LogFollower::over_http(args.log);
    let folded = follower.catch_up().await?;
    let lines: Vec<AuditLine> = folded
        .iter()
        .filter_map(audit_line)
        .filter(|line| args.all || matches!(line.change, AuditChange::Fleet { .. }))
        .collect();
    let lines = &lines[lines.len().saturating_sub(args.last)..];
    if args.json {
        print_json(&lines)?;
    } else {
        let header = [
            "OFFSET", "WRITTEN", "AUTHOR", "BASE", "REVISION", "OUTCOME", "CHANGES",
        ];
        print_table(&header, lines.iter().map(audit_row).collect())?;
    }
    Ok(ExitStatus::Success)
}

/// Returns the audit line of a record, or `None` for a duplicate, which has no effect.
pub fn audit_line(folded: &FoldedRecord) -> Option<AuditLine> {
    let outcome = match folded.outcome {
        FoldOutcome::Accepted => "accepted".to_owned(),
        FoldOutcome::Rejected(reason) => reason.to_string(),
        FoldOutcome::Repeated => return None,
    };
    let change = match &folded.record.body {
        RecordBody::Fleet(proposal) => AuditChange::Fleet {
            base: proposal.base,
            revision: folded.after.revision,
            diff: fleet_diff(folded),
        },
        RecordBody::Control(batch) => AuditChange::Control(batch.proposals.clone()),
    };
    Some(AuditLine {
        offset: folded.offset,
        record: format!("{:032x}", folded.record.id),
        written: humantime::format_rfc3339_seconds(folded.record.written).to_string(),
        author: folded.record.author.clone(),
        outcome,
        change,
    })
}

fn fleet_diff(folded: &FoldedRecord) -> FleetDiff {
    let empty = FleetSpec::default();
    let before = folded.before.spec.as_deref().unwrap_or(&empty);
    let after = folded.after.spec.as_deref().unwrap_or(&empty);
    FleetDiff::between(before, after)
}

fn audit_row(line: &AuditLine) -> Vec<String> {
    let (base, revision, changes) = match &line.change {
        AuditChange::Fleet {
            base,
            revision,
            diff,
        } => {
            let descriptions = diff.changes.iter().map(describe_fleet_change);
            (
                base.to_string(),
                revision.to_string(),
                summarize(descriptions),
            )
        }
        AuditChange::Control(proposals) => {
            let descriptions = proposals.iter().flat_map(describe_proposal);
            (String::new(), String::new(), summarize(descriptions))
        }
    };
    vec![
        line.offset.to_string(),
        line.written.clone(),
        line.author.clone(),
        base,
        revision,
        line.outcome.clone(),
        changes,
    ]
}

fn describe_fleet_change(change: &FleetChange) -> String {
    format!("{} {}/{}", change.kind, change.section, change.id)
}

fn describe_proposal(proposal: &ControlProposal) -> Vec<String> {
    match proposal {
        ControlProposal::Member(proposal) => vec![proposal.to_string()],
        ControlProposal::Permit(PermitProposal::Hold { holds, .. }) => {
            holds.iter().map(describe_hold).collect()
        }
        ControlProposal::Permit(PermitProposal::Reclaim { from, .. }) => {
            vec![format!("reclaim permits of {from}")]
        }
        ControlProposal::Pool(PoolProposal::Steps { steps, .. }) => steps
            .iter()
            .map(|step| format!("{} {}", step.change, step.worker))
            .collect(),
        ControlProposal::Pool(proposal) => vec![proposal.to_string()],
        ControlProposal::Snapshot(proposal) => vec![format!("snapshot {proposal}")],
    }
}

fn describe_hold(hold: &PermitHold) -> String {
    let kept = hold.keep_floor.saturating_add(hold.keep_float);
    format!(
        "keep {kept} and want {} permits of {}",
        hold.want, hold.account
    )
}

/// Joins the descriptions into one line; names at most `MAX_NAMED` and counts the others.
fn summarize(descriptions: impl Iterator<Item = String>) -> String {
    const MAX_NAMED: usize = 3;
    let mut descriptions: Vec<String> = descriptions.collect();
    let rest = descriptions.len().saturating_sub(MAX_NAMED);
    if rest > 0 {
        descriptions.truncate(MAX_NAMED);
        descriptions.push(format!("and {rest} more"));
    }
    descriptions.join(", ")
}
