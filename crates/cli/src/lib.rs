//! Command-line tool for operators.
//!
//! Each subcommand has a module with its arguments. It prints tables or, with `--json`, a single
//! JSON document.

pub mod apply;
pub mod audit;
pub mod check;
pub mod command;
pub mod demo;
pub mod diff;
pub mod digest;
pub mod explain;
pub mod log_files;
pub mod log_follower;
pub mod output;
pub mod owners;
pub mod status;
pub mod trace;

pub use command::{FleetArgs, run_command};
