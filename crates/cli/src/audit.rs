//! `audit`: shows who changed what, when, and from which revision.

use std::net::SocketAddr;

use argh::FromArgs;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use serde::Serialize;

use crate::command::ExitStatus;
use crate::follow::{FoldedRecord, LogFollower};
use crate::output::{print_json, print_table};

/// Shows who changed the fleet, when, and from which revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// show only the last changes
    #[argh(option, default = "50")]
    last: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// One line of the audit trail.
#[derive(Debug, Clone, Serialize)]
pub struct AuditLine {
    /// Position in the log.
    pub offset: LogOffset,
    /// Identity of the record, in hexadecimal digits.
    pub record: String,
    /// Operator's wall-clock time when the record was written, in RFC 3339.
    pub written: String,
    /// Operator.
    pub author: String,
    /// Revision that the change was made from.
    pub base: FleetRevision,
    /// Revision in force afterwards.
    pub revision: FleetRevision,
    /// `accepted`, or why it was rejected.
    pub outcome: String,
    /// What an accepted record changed.
    pub diff: FleetDiff,
}

/// Reads the log and prints the audit trail.
///
/// # Errors
///
/// Fails when the log can't be read.
pub async fn run(args: AuditArgs) -> anyhow::Result<ExitStatus> {
    let mut follower = LogFollower::over_http(args.log);
    let folded = follower.catch_up().await?;
    let lines: Vec<AuditLine> = folded.iter().filter_map(audit_line).collect();
    let lines = &lines[lines.len().saturating_sub(args.last)..];
    if args.json {
        print_json(&lines)?;
    } else {
        let header = [
            "OFFSET", "WRITTEN", "OPERATOR", "BASE", "REVISION", "OUTCOME", "CHANGES",
        ];
        print_table(&header, lines.iter().map(row_of).collect())?;
    }
    Ok(ExitStatus::Done)
}

/// Returns the line of a change to the fleet; `None` for other records and repetitions.
pub fn audit_line(folded: &FoldedRecord) -> Option<AuditLine> {
    let RecordBody::Fleet(proposal) = &folded.record.body else {
        return None;
    };
    let outcome = match folded.outcome {
        FoldOutcome::Accepted => "accepted".to_owned(),
        FoldOutcome::Rejected(reason) => reason.to_string(),
        FoldOutcome::Repeated => return None,
    };
    let none = FleetSpec::default();
    let before = folded.before.spec.as_deref().unwrap_or(&none);
    let after = folded.after.spec.as_deref().unwrap_or(&none);
    Some(AuditLine {
        offset: folded.offset,
        record: format!("{:032x}", folded.record.id),
        written: humantime::format_rfc3339_seconds(folded.record.written).to_string(),
        author: folded.record.author.clone(),
        base: proposal.base,
        revision: folded.after.revision,
        outcome,
        diff: FleetDiff::between(before, after),
    })
}

fn row_of(line: &AuditLine) -> Vec<String> {
    vec![
        line.offset.to_string(),
        line.written.clone(),
        line.author.clone(),
        line.base.to_string(),
        line.revision.to_string(),
        line.outcome.clone(),
        summary_of(&line.diff),
    ]
}

/// Returns the changed things in one line, shortened where there are many.
fn summary_of(diff: &FleetDiff) -> String {
    /// Most changes that the summary names.
    const MAX_NAMED: usize = 3;
    let named = diff.changes.iter().take(MAX_NAMED);
    let mut words: Vec<String> = named
        .map(|change| format!("{} {}/{}", change.kind, change.section, change.id))
        .collect();
    if diff.changes.len() > MAX_NAMED {
        words.push(format!("and {} more", diff.changes.len() - MAX_NAMED));
    }
    words.join(", ")
}
