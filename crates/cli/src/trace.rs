//! `trace`: merges the log lines of several processes for one job, task or request.

use std::collections::BTreeSet;

use argh::FromArgs;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::command::ExitStatus;
use crate::log_files::read_log_files;
use crate::output::{print_json, print_table};

/// Fields left out of the `fields` column: each has its own column or does not describe the event.
const EXCLUDED_FIELDS: [&str; 5] = ["timestamp", "level", "message", "event", "target"];
/// Numbers of the events on losses, recoveries and takeovers of workers, shards and the store,
/// which can explain what happened to an id.
const CONTEXT_EVENTS: std::ops::RangeInclusive<u64> = 620..=639;

/// Shows the log lines of several processes that name one id, ordered by time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// id of a job, name of a task, or any other value of a field
    #[argh(positional)]
    id: String,
    /// log file of a process, in JSON Lines format; may be repeated
    #[argh(option, long = "log")]
    logs: Vec<String>,
    /// also show losses, recoveries and takeovers of workers, shards and the store in the same
    /// processes between the first and the last of these lines
    #[argh(switch)]
    context: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Parsed log line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct TraceLine {
    /// Timestamp, as the process wrote it.
    pub time: String,
    /// Name of the process, from the name of its log file.
    pub process: String,
    /// Number of the event.
    pub event: u64,
    /// Log message.
    pub message: String,
    /// The other fields, each as `name=value`.
    pub fields: Vec<String>,
}

/// Prints the log lines that name the id.
///
/// # Errors
///
/// Fails if a log file can't be read.
pub fn run(args: &TraceArgs) -> anyhow::Result<ExitStatus> {
    let logs = read_log_files(&args.logs)?;
    let lines = trace(&args.id, &logs, args.context);
    if args.json {
        print_json(&lines)?;
    } else {
        let rows = lines.iter().map(|line| {
            let TraceLine {
                time,
                process,
                event,
                message,
                fields,
            } = line.clone();
            vec![time, process, event.to_string(), message, fields.join(" ")]
        });
        print_table(
            &["time", "process", "event", "message", "fields"],
            rows.collect(),
        )?;
    }
    let found = !lines.is_empty();
    Ok(if found {
        ExitStatus::Success
    } else {
        ExitStatus::Rejected
    })
}

/// Returns the lines that name `id`, ordered by time.
///
/// `logs` holds the name and the log text of each process.
pub fn trace(id: &str, logs: &[(String, String)], context: bool) -> Vec<TraceLine> {
    let parsed = logs.iter().flat_map(|(process, text)| {
        let objects = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        objects.map(move |object: Map<String, Value>| (process, object))
    });
    let parsed: Vec<(&String, Map<String, Value>)> = parsed.collect();
    let matching = parsed.iter().filter(|(_, object)| mentions_id(object, id));
    let mut lines: Vec<TraceLine> = matching
        .map(|(process, object)| trace_line(process, object))
        .collect();
    lines.sort();
    if !context || lines.is_empty() {
        return lines;
    }
    let (first, last) = (lines[0].time.clone(), lines[lines.len() - 1].time.clone());
    let processes: BTreeSet<String> = lines.iter().map(|line| line.process.clone()).collect();
    let context_lines = parsed
        .iter()
        .filter(|(process, _)| processes.contains(*process));
    let context_lines = context_lines.map(|(process, object)| trace_line(process, object));
    let context_lines = context_lines.filter(|line| {
        CONTEXT_EVENTS.contains(&line.event) && (&first..=&last).contains(&&line.time)
    });
    lines.extend(context_lines.collect::<Vec<_>>());
    lines.sort();
    lines.dedup();
    lines
}

/// Returns whether a field equals the id or contains it as a part of a task name or a path.
fn mentions_id(object: &Map<String, Value>, id: &str) -> bool {
    let mut texts = object.values().filter_map(Value::as_str);
    texts.any(|text| text == id || text.split(['.', '/']).any(|part| part == id))
}

fn trace_line(process: &str, object: &Map<String, Value>) -> TraceLine {
    let text = |name: &str| {
        let value = object.get(name).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let fields = object
        .iter()
        .filter(|(name, _)| !EXCLUDED_FIELDS.contains(&name.as_str()));
    let fields = fields.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        value => format!("{name}={value}"),
    });
    TraceLine {
        time: text("timestamp"),
        process: process.to_owned(),
        event: object
            .get("event")
            .and_then(Value::as_u64)
            .unwrap_or_default(),
        message: text("message"),
        fields: fields.collect(),
    }
}
