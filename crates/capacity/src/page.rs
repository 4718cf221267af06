//! Markdown page that compares the costs with the limits.

use std::fmt::Write;

use crate::fit::LinearFit;
use crate::limits::{BYTES_LIMIT, CORE_LIMIT, MEMORY_LIMIT, TARGET_WORKERS};
use crate::measure::SizeCost;
use crate::traffic::{heartbeat_rate, instance_poll};

/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: f64 = 13_000.0;
/// Failures, restarts and replacements per day at the target size.
const INSTANCE_EVENTS_PER_DAY: f64 = 150.0 + 2_600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of folds of an entry instance: one for each duty that needs the folded state.
const FOLDS_PER_ENTRY: f64 = 3.0;
/// Current number of entry instances.
const CURRENT_ENTRIES: u32 = 9;
/// Entry instances in each availability zone at the target size.
const ENTRIES_PER_ZONE: u32 = 9;
/// Availability zones at the target size.
const TARGET_ZONES: u32 = 6;

/// Renders the page in Markdown.
pub fn render(costs: &[SizeCost]) -> String {
    let mut page = String::new();
    write_page(&mut page, costs).expect("writing to a string succeeds");
    page
}

fn write_page(page: &mut String, costs: &[SizeCost]) -> std::fmt::Result {
    let at_target_size = |field: fn(&SizeCost) -> f64| {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|cost| (cost.workers as f64, field(cost)))
            .collect();
        LinearFit::through(&points).map_or(f64::NAN, |fit| fit.at(TARGET_WORKERS))
    };
    let fold_ms = at_target_size(|cost| cost.change_fold_ms);
    let change_bytes = at_target_size(|cost| cost.change_bytes);
    let fold_mib = at_target_size(|cost| cost.fold_mib);
    let change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let core = FOLDS_PER_ENTRY * fold_ms / 1_000.0 * change_rate * 100.0;
    let bytes = change_bytes * (change_rate + INSTANCE_EVENTS_PER_DAY / SECONDS_PER_DAY);
    let memory = FOLDS_PER_ENTRY * fold_mib;
    writeln!(page, "# Capacity\n")?;
    writeln!(
        page,
        "Written by `cargo run --release -p pw_capacity -- --write docs/CAPACITY.md`. Fleets of \
         several sizes are generated, the production objects are driven at each, and a line is \
         fitted by least squares. The size to design for: 8,500 workers, 112 pools, 370 accounts, 6 \
         zones in 3 regions, 13,000 changes of configuration, 150 failures and 2,600 restarts a \
         day.\n"
    )?;
    writeln!(page, "## Measured\n")?;
    writeln!(
        page,
        "| Workers | Whole fleet, bytes | Fold it, ms | Change of one worker, bytes | Fold it, ms \
         | One fold, MiB | Instance list, bytes | Check a file, ms | Diff, ms \
         |\n|---|---|---|---|---|---|---|---|---|"
    )?;
    for cost in costs {
        writeln!(
            page,
            "| {} | {:.0} | {:.2} | {:.0} | {:.3} | {:.2} | {:.0} | {:.1} | {:.1} |",
            cost.workers,
            cost.whole_bytes,
            cost.whole_fold_ms,
            cost.change_bytes,
            cost.change_fold_ms,
            cost.fold_mib,
            cost.list_bytes,
            cost.check_ms,
            cost.diff_ms
        )?;
    }
    writeln!(
        page,
        "\n## Entry instance at 8,500 workers, from the fitted lines\n"
    )?;
    writeln!(
        page,
        "| Control | Worked out | Limit | Carried by |\n|---|---|---|---|"
    )?;
    let row = |page: &mut String, what: &str, value: f64, limit: f64, unit: &str, how: &str| {
        let result = if value > limit {
            format!("**{value:.2} {unit}: misses the limit**")
        } else {
            format!("{value:.2} {unit}")
        };
        writeln!(page, "| {what} | {result} | {limit} {unit} | {how} |")
    };
    row(
        page,
        "Processor, folding changes in three duties",
        core,
        CORE_LIMIT,
        "% of a core",
        "changes as deltas in the log",
    )?;
    row(
        page,
        "Memory of three folds",
        memory,
        MEMORY_LIMIT,
        "MiB",
        "one fold for each duty that needs the state",
    )?;
    row(
        page,
        "Reading changes and instance events",
        bytes,
        BYTES_LIMIT,
        "bytes/s",
        "changes as deltas in the log",
    )?;
    row(
        page,
        "Reading the instance list whole at each poll",
        at_target_size(|cost| cost.list_bytes) / instance_poll().as_secs_f64(),
        BYTES_LIMIT,
        "bytes/s",
        "the platform's instance list",
    )?;
    for members in [CURRENT_ENTRIES, ENTRIES_PER_ZONE * TARGET_ZONES] {
        row(
            page,
            &format!("Heartbeats sent and received, {members} entry instances"),
            heartbeat_rate(members),
            BYTES_LIMIT,
            "bytes/s",
            "a heartbeat to every peer",
        )?;
    }
    writeln!(
        page,
        "\nWhat misses its limit: the instance list has to tell only what changed since a cursor, as \
         the control of machines does already, and heartbeats have to go to a few successors in the \
         order of the members instead of everyone; the fold already tells every member that order. \
         Bytes are those of the payloads, without the frames of HTTP, h2 and TCP."
    )?;
    writeln!(
        page,
        "\nOf the others, memory is nearest to its limit: the folds fill it at about {:.0} workers. \
         One fold handed to the other duties behind `Arc`, copied on change, would mend it.\n",
        TARGET_WORKERS * MEMORY_LIMIT / memory
    )?;
    writeln!(page, "## Operators' command at 8,500 workers\n")?;
    writeln!(
        page,
        "Check {:.0} ms and diff {:.0} ms, each against 1 s.\n",
        at_target_size(|cost| cost.check_ms),
        at_target_size(|cost| cost.diff_ms)
    )?;
    writeln!(page, "## Measured elsewhere\n")?;
    writeln!(
        page,
        "| What | Command | Limit | Carried by |\n|---|---|---|---|\n\
         | Placement of a task | `cargo bench -p pw_benches --bench placement` | 20 us at p99 | two \
         choices among indexed workers |\n\
         | A look of the planner | `cargo bench -p pw_benches --bench maintenance` | 3.7 % of a core \
         at one look in 2 s | one planner, plans from the fold |\n\
         | Urgent starts | `cargo bench -p pw_benches --bench policy -- urgent` | 1.2 s at p99 | \
         callers before deferred work, a reserve of slots |\n\
         | Appends of all members | `cargo test -p pw_log --test limits -- --nocapture` | several \
         hundred a second | a budget of 45 a second for all members together |\n"
    )?;
    writeln!(
        page,
        "**Urgent starts miss their limit at this size while deferred work fills a pool**; \
         [PROMISES.md](PROMISES.md) has the figure. A reserve that the entry instances keep together \
         would mend it.\n"
    )?;
    writeln!(page, "## Not measured\n")?;
    writeln!(
        page,
        "The bytes of permit records and of the machines' changes, the size of a snapshot (its bound \
         is 4 MiB), and the time from append to in force at this size."
    )
}
