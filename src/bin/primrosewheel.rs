//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    pw_cli::run_command()
}
