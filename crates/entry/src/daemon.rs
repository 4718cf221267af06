//! Arguments and life cycle of the entry daemon.

use std::fs;
use std::io::Write;

use anyhow::Context;
use argh::FromArgs;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use pw_base::prelude::*;

use crate::node::{EntryNode, NodeLinks};
use crate::settings::EntrySettings;

/// Serves callers of a fleet.
#[derive(FromArgs)]
pub struct EntryArgs {
    /// settings file in TOML
    #[argh(option)]
    settings: String,
}

/// Serves callers until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the settings are wrong or an address can't be bound.
pub fn run_daemon(args: &EntryArgs) -> anyhow::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    let text = fs::read_to_string(&args.settings)
        .with_context(|| format!("can't read {}", args.settings))?;
    let settings: EntrySettings =
        toml::from_str(&text).with_context(|| format!("malformed {}", args.settings))?;
    let node = EntryNode::start(&settings, NodeLinks::over_http(&settings))
        .context("entry can't start")?;
    tracing::info!(event = EventCode::EntryStarted.number(), entry = %settings.entry, "serving");
    writeln!(
        std::io::stdout(),
        "callers {}\nadmin {}",
        node.callers(),
        node.admin()
    )?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    futures_lite::future::block_on(signals.next());
    tracing::info!(event = EventCode::EntryStopping.number(), "stopping");
    Ok(())
}
