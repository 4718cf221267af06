//! `owners`: who owned each shard when, by the log lines of several nodes.

use argh::FromArgs;
use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::Serialize;
use serde_json::{Map, Value};
use strum::Display;

use crate::command::ExitStatus;
use crate::log_files::read_log_files;
use crate::output::{print_json, print_table};

/// Shows which nodes owned the shards over time, and which claims were never followed by a takeover.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "owners")]
pub struct OwnersArgs {
    /// log file of a node, in JSON Lines format; may be repeated
    #[argh(option, long = "log")]
    logs: Vec<String>,
    /// only this shard
    #[argh(option)]
    shard: Option<ShardNumber>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// What became of the claim of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum TenureState {
    /// The node serves the shard as far as the logs go.
    Owned,
    /// The node served the shard and released it.
    Released,
    /// The node released the shard without having served it: it could not read the shard's records, or
    /// another node claimed it too early.
    NeverOpened,
}

/// The time for which a node owned a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardTenure {
    /// Number of the shard.
    pub shard: ShardNumber,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Name of the node, from the name of its log file.
    pub node: String,
    /// Timestamp of the takeover, if there was one.
    pub from: Option<String>,
    /// Timestamp of the release, if there was one.
    pub to: Option<String>,
    /// What became of the claim.
    pub state: TenureState,
}

/// Prints the tenures of the shards.
///
/// # Errors
///
/// Fails if a log file can't be read.
pub fn run(args: &OwnersArgs) -> anyhow::Result<ExitStatus> {
    let mut tenures = shard_tenures(&read_log_files(&args.logs)?);
    tenures.retain(|tenure| args.shard.is_none_or(|shard| tenure.shard == shard));
    if args.json {
        print_json(&tenures)?;
    } else {
        let rows = tenures.iter().map(|tenure| {
            let time = |at: &Option<String>| at.clone().unwrap_or_else(|| "-".to_owned());
            vec![
                tenure.shard.to_string(),
                tenure.epoch.to_string(),
                tenure.node.clone(),
                time(&tenure.from),
                time(&tenure.to),
                tenure.state.to_string(),
            ]
        });
        let names = ["shard", "epoch", "node", "from", "to", "state"];
        print_table(&names, rows.collect())?;
    }
    Ok(if tenures.is_empty() {
        ExitStatus::Rejected
    } else {
        ExitStatus::Success
    })
}

/// Returns the tenures by shard and epoch; `logs` holds the name and the log text of each node.
pub fn shard_tenures(logs: &[(String, String)]) -> Vec<ShardTenure> {
    let mut tenures: IndexMap<(ShardNumber, OwnerEpoch), ShardTenure> = IndexMap::new();
    for (node, text) in logs {
        let objects = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        for object in objects {
            let Some((event, shard, epoch, at)) = ownership_change(&object) else {
                continue;
            };
            let tenure = tenures.entry((shard, epoch)).or_insert(ShardTenure {
                shard,
                epoch,
                node: node.clone(),
                from: None,
                to: None,
                state: TenureState::NeverOpened,
            });
            if event == u64::from(EventCode::ShardTaken.number()) {
                tenure.from.get_or_insert(at);
            } else {
                tenure.to = Some(at);
            }
            tenure.state = match (&tenure.from, &tenure.to) {
                (Some(_), None) => TenureState::Owned,
                (Some(_), Some(_)) => TenureState::Released,
                (None, _) => TenureState::NeverOpened,
            };
        }
    }
    tenures.sort_unstable_keys();
    tenures.into_values().collect()
}

/// Returns event, shard, epoch and time of a line about a takeover or a release.
fn ownership_change(object: &Map<String, Value>) -> Option<(u64, ShardNumber, OwnerEpoch, String)> {
    let number = |name: &str| object.get(name).and_then(Value::as_u64);
    let event = number("event")?;
    let events = [EventCode::ShardTaken, EventCode::ShardLost];
    if !events.iter().any(|code| u64::from(code.number()) == event) {
        return None;
    }
    let message = object.get("message").and_then(Value::as_str)?;
    // A check of the ownership has the same event as a release, and may end well.
    let is_change = message.starts_with("shard ");
    let at = object.get("timestamp").and_then(Value::as_str)?;
    let shard = ShardNumber::try_from(number("shard")?).ok()?;
    is_change.then(|| {
        (
            event,
            shard,
            number("epoch").unwrap_or_default(),
            at.to_owned(),
        )
    })
}
