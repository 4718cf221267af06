//! `audit`: shows who changed what, when, and from which revision.

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
    /// show the entry instances' own decisions too: members, permits, drains and moves
    #[argh(switch)]
    all: bool,
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
    /// Author's wall-clock time when the record was written, in RFC 3339.
    pub written: String,
    /// Operator or entry instance.
    pub author: String,
    /// `accepted`, or why it was rejected.
    pub outcome: String,
    /// What was proposed.
    pub change: AuditChange,
}

/// What a record proposed.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditChange {
    /// An operator's change of the declared fleet.
    Fleet {
        /// Revision that the change was made from.
        base: FleetRevision,
        /// Revision in force afterwards.
        revision: FleetRevision,
        /// What it changed; nothing where it was rejected.
        diff: FleetDiff,
    },
    /// An entry instance's own decisions.
    Control(Vec<ControlProposal>),
}

/// Reads the log and prints the audit trail.
///
/// # Errors
///
/// Fails when the log can't be read.
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
        print_table(&header, lines.iter().map(row_of).collect())?;
    }
    Ok(ExitStatus::Success)
}

/// Returns the line of a record; `None` for repetitions, which change nothing.
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
    let none = FleetSpec::default();
    let before = folded.before.spec.as_deref().unwrap_or(&none);
    let after = folded.after.spec.as_deref().unwrap_or(&none);
    FleetDiff::between(before, after)
}

fn row_of(line: &AuditLine) -> Vec<String> {
    let (base, revision, changes) = match &line.change {
        AuditChange::Fleet {
            base,
            revision,
            diff,
        } => {
            let words = diff.changes.iter().map(fleet_words);
            (base.to_string(), revision.to_string(), summary_of(words))
        }
        AuditChange::Control(proposals) => {
            let words = proposals.iter().flat_map(control_words);
            (String::new(), String::new(), summary_of(words))
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

fn fleet_words(change: &FleetChange) -> String {
    format!("{} {}/{}", change.kind, change.section, change.id)
}

fn control_words(proposal: &ControlProposal) -> Vec<String> {
    match proposal {
        ControlProposal::Member(proposal) => vec![proposal.to_string()],
        ControlProposal::Permit(PermitProposal::Hold { holds, .. }) => {
            holds.iter().map(hold_words).collect()
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

fn hold_words(hold: &PermitHold) -> String {
    let kept = hold.keep_floor.saturating_add(hold.keep_float);
    format!(
        "keep {kept} and want {} permits of {}",
        hold.want, hold.account
    )
}

/// Returns the changes in one line, shortened where there are many.
fn summary_of(words: impl Iterator<Item = String>) -> String {
    /// Most changes that the summary names.
    const MAX_NAMED: usize = 3;
    let mut words: Vec<String> = words.collect();
    let rest = words.len().saturating_sub(MAX_NAMED);
    if rest > 0 {
        words.truncate(MAX_NAMED);
        words.push(format!("and {rest} more"));
    }
    words.join(", ")
}
