//! The operators' command.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anyhow::{Context, bail};
use argh::FromArgs;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;

/// Checks and applies fleet files.
#[derive(FromArgs)]
pub struct FleetArgs {
    #[argh(subcommand)]
    action: ActionChoice,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ActionChoice {
    Check(CheckArgs),
    Apply(ApplyArgs),
}

/// Reports every finding of fleet files.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// fleet files
    #[argh(positional)]
    files: Vec<String>,
}

/// Applies a whole fleet file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// address of the platform's log service
    #[argh(option)]
    log: SocketAddr,
    /// who applies it, for the audit trail
    #[argh(option)]
    operator: String,
    /// revision that the file was made from; the current one by default
    #[argh(option)]
    base: Option<u64>,
    /// fleet file
    #[argh(positional)]
    file: String,
}

/// Exit code for findings in a file.
const EXIT_FINDINGS: u8 = 1;
/// Exit code for wrong usage or an operation that failed.
const EXIT_FAILED: u8 = 2;

/// Runs the chosen action and returns the exit code of the process.
pub fn run_command(args: FleetArgs) -> ExitCode {
    let result = match args.action {
        ActionChoice::Check(args) => check_files(&args),
        ActionChoice::Apply(args) => async_io::block_on(apply_file(args)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("error: {error:#}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn check_files(args: &CheckArgs) -> anyhow::Result<ExitCode> {
    let mut clean = true;
    for file in &args.files {
        clean &= read_fleet(file)?.is_some();
    }
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FINDINGS)
    })
}

/// Reads and checks a fleet file; prints its findings.
fn read_fleet(file: &str) -> anyhow::Result<Option<FleetSpec>> {
    let text = fs::read_to_string(file).with_context(|| format!("can't read {file}"))?;
    match check_fleet(file, &text) {
        Ok(spec) => Ok(Some(spec)),
        Err(findings) => {
            let mut out = std::io::stdout().lock();
            for finding in findings {
                writeln!(out, "{finding}")?;
            }
            Ok(None)
        }
    }
}

async fn apply_file(args: ApplyArgs) -> anyhow::Result<ExitCode> {
    let Some(spec) = read_fleet(&args.file)? else {
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    let store = HttpLog::new(args.log);
    let mut fold = FleetFold::default();
    fold_to_end(&store, &mut fold).await?;
    let base = args.base.unwrap_or(fold.state().revision);
    let id = uuid::Uuid::new_v4().as_u128();
    let record = LogRecord {
        id,
        author: args.operator,
        written: SystemTime::now(),
        body: RecordBody::Fleet(FleetProposal {
            base,
            spec: Arc::new(spec),
        }),
    };
    store.append(encode_record(&record)?).await?;
    match fold_until(&store, &mut fold, id).await? {
        FoldOutcome::Accepted => {
            println!("applied revision {}", fold.state().revision);
            Ok(ExitCode::SUCCESS)
        }
        FoldOutcome::Rejected(reason) => {
            bail!(
                "rejected: {reason}; the fleet is at revision {}",
                fold.state().revision
            )
        }
        FoldOutcome::Repeated => bail!("the record was folded before"),
    }
}

async fn fold_to_end(store: &HttpLog, fold: &mut FleetFold) -> anyhow::Result<()> {
    loop {
        let entries = store.read(fold.state().next_offset, Duration::ZERO).await?;
        if entries.is_empty() {
            return Ok(());
        }
        for entry in entries {
            match decode_record(&entry.bytes) {
                Ok(record) => _ = fold.advance(entry.offset, &record),
                Err(_) => fold.skip_to(entry.offset + 1),
            }
        }
    }
}

/// Folds records up to the one called `id` and returns what became of it.
async fn fold_until(
    store: &HttpLog,
    fold: &mut FleetFold,
    id: u128,
) -> anyhow::Result<FoldOutcome> {
    loop {
        let entries = store
            .read(fold.state().next_offset, Duration::from_secs(1))
            .await?;
        for entry in entries {
            let Ok(record) = decode_record(&entry.bytes) else {
                fold.skip_to(entry.offset + 1);
                continue;
            };
            let is_own = record.id == id;
            let outcome = fold.advance(entry.offset, &record);
            if is_own {
                return Ok(outcome);
            }
        }
    }
}
