//! Command-line arguments and dispatch to the subcommands.

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::apply::ApplyArgs;
use crate::audit::AuditArgs;
use crate::check::CheckArgs;
use crate::demo::DemoArgs;
use crate::diff::DiffArgs;
use crate::digest::DigestArgs;
use crate::explain::ExplainArgs;
use crate::owners::OwnersArgs;
use crate::status::StatusArgs;
use crate::trace::TraceArgs;
use crate::{apply, audit, check, demo, diff, digest, explain, owners, status, trace};

/// Checks and applies fleet files, and shows the state of the fleet.
#[derive(Debug, FromArgs)]
pub struct FleetArgs {
    #[argh(subcommand)]
    action: ActionChoice,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ActionChoice {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Status(StatusArgs),
    Audit(AuditArgs),
    Digest(DigestArgs),
    Explain(ExplainArgs),
    Demo(DemoArgs),
    Trace(TraceArgs),
    Owners(OwnersArgs),
}

/// Exit code of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The action succeeded.
    Success = 0,
    /// The files have findings, a change was rejected without effect, a guarantee did not hold, or
    /// no log line matched.
    Rejected = 1,
    /// The usage is wrong, or the action failed.
    Failed = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Parses the arguments of the process, runs the chosen subcommand and returns the exit code.
pub fn run_command() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let arg_refs: Vec<&str> = args.iter().map(String::as_str).collect();
    let (command, rest) = arg_refs.split_first().unwrap_or((&"primrosewheel", &[]));
    match FleetArgs::from_args(&[command], rest) {
        Ok(args) => run_action(args).unwrap_or_else(|error| {
            eprintln!("error: {error:#}");
            ExitStatus::Failed
        }),
        Err(EarlyExit { output, status }) => {
            match status {
                Ok(()) => println!("{output}"),
                Err(()) => eprintln!("{output}"),
            }
            status.map_or(ExitStatus::Failed, |()| ExitStatus::Success)
        }
    }
    .into()
}

fn run_action(args: FleetArgs) -> anyhow::Result<ExitStatus> {
    match args.action {
        ActionChoice::Check(args) => check::run(&args),
        ActionChoice::Diff(args) => async_io::block_on(diff::run(args)),
        ActionChoice::Apply(args) => async_io::block_on(apply::run(args)),
        ActionChoice::Status(args) => async_io::block_on(status::run(args)),
        ActionChoice::Audit(args) => async_io::block_on(audit::run(args)),
        ActionChoice::Digest(args) => digest::run(&args),
        ActionChoice::Explain(args) => async_io::block_on(explain::run(args)),
        ActionChoice::Demo(args) => async_io::block_on(demo::run(args)),
        ActionChoice::Trace(args) => trace::run(&args),
        ActionChoice::Owners(args) => owners::run(&args),
    }
}
