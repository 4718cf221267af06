//! The operators' command.
//!
//! Each action is a module with its arguments. An action prints tables for people or, with
//! `--json`, one JSON document for machines.

pub mod apply;
pub mod audit;
pub mod check;
pub mod command;
pub mod demo;
pub mod diff;
pub mod digest;
pub mod explain;
pub mod log_follower;
pub mod output;
pub mod status;
pub mod trace;

pub use command::{FleetArgs, run_command};
