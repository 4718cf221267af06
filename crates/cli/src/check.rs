//! `check`: reports all findings of fleet files.

use std::fs;

use anyhow::{Context, ensure};
use argh::FromArgs;
use pw_base::prelude::*;
use pw_fleet::prelude::*;

use crate::command::ExitStatus;
use crate::output::{print_json, print_lines};

/// Reports all findings of fleet files; exits with 1 if there are any.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// fleet files
    #[argh(positional)]
    files: Vec<String>,
}

/// Checks the files and prints their findings.
///
/// # Errors
///
/// Fails if no file is given or one can't be read.
pub fn run(args: &CheckArgs) -> anyhow::Result<ExitStatus> {
    ensure!(!args.files.is_empty(), "name at least one fleet file");
    let mut findings = Vec::new();
    for file in &args.files {
        findings.extend(read_fleet(file)?.err().unwrap_or_default());
    }
    print_findings(args.json, &findings)?;
    if findings.is_empty() {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Rejected)
    }
}

/// Reads and checks a fleet file.
///
/// # Errors
///
/// Fails if the file can't be read; findings are returned as the inner error.
pub fn read_fleet(file: &str) -> anyhow::Result<Result<FleetSpec, Vec<FileFinding>>> {
    let bytes = fs::read(file).with_context(|| format!("can't read {file}"))?;
    Ok(check_bytes(file, &bytes))
}

/// Prints findings, one per line or as JSON.
///
/// # Errors
///
/// Fails if standard output can't be written.
pub fn print_findings(json: bool, findings: &[FileFinding]) -> anyhow::Result<()> {
    if json {
        return print_json(&findings);
    }
    print_lines(findings.iter().map(FileFinding::to_string))
}
