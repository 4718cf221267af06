//! Output as tables and as JSON.

use std::io::{self, Write};

use comfy_table::{Table, presets};
use serde::Serialize;

/// Prints `document` as indented JSON.
///
/// # Errors
///
/// Fails if standard output can't be written.
pub fn print_json(document: &impl Serialize) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer_pretty(&mut out, document)?;
    writeln!(out)?;
    Ok(())
}

/// Prints each line unchanged.
///
/// # Errors
///
/// Fails if standard output can't be written.
pub fn print_lines(lines: impl IntoIterator<Item = String>) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    for line in lines {
        writeln!(out, "{line}")?;
    }
    Ok(())
}

/// Prints a table with a header, or nothing if there are no rows.
///
/// # Errors
///
/// Fails if standard output can't be written.
pub fn print_table(header: &[&str], rows: Vec<Vec<String>>) -> anyhow::Result<()> {
    if rows.is_empty() {
        return Ok(());
    }
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_header(header)
        .add_rows(rows);
    print_lines(table.lines().map(|line| line.trim_end().to_owned()))
}
