//! Command line and lifecycle of the entry daemon.

use std::fs;
use std::io::{self, IsTerminal, Write};

use anyhow::{Context, anyhow, bail};
use argh::FromArgs;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use pw_base::prelude::*;
use pw_ring::prelude::*;

use crate::node::{EntryNode, NodeLinks};
use crate::settings::{EntrySettings, LogFormat};
use crate::settings_check::check_settings;
use crate::shutdown::ShutdownVerdict;

/// Maximum number of signals queued for the node.
const SIGNAL_CAPACITY: usize = 4;

/// Serves callers of a fleet.
#[derive(FromArgs)]
pub struct EntryArgs {
    /// settings file in TOML
    #[argh(option)]
    settings: String,
}

/// Serves callers until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
///
/// Fails if the settings are invalid, if an address can't be bound, or if the shutdown aborted
/// unfinished work.
pub fn run_daemon(args: &EntryArgs) -> anyhow::Result<()> {
    let settings = read_settings(&args.settings)?;
    init_logging(settings.log_format);
    let node = EntryNode::start(&settings, NodeLinks::over_http(&settings))
        .context("can't start the entry instance")?;
    tracing::info!(event = EventCode::EntryStarted.number(), entry = %settings.entry, "serving");
    writeln!(
        std::io::stdout(),
        "callers {}\nadmin {}",
        node.callers(),
        node.admin()
    )?;
    let signals = forward_signals()?;
    let verdict = async_io::block_on(node.serve_until(signals));
    tracing::info!(
        event = EventCode::EntryStopped.number(),
        ?verdict,
        "stopped"
    );
    match verdict {
        ShutdownVerdict::Finished => Ok(()),
        ShutdownVerdict::TimedOut => bail!("shutdown timed out before all work had finished"),
        ShutdownVerdict::Interrupted => bail!("shutdown interrupted by a second signal"),
    }
}

fn read_settings(path: &str) -> anyhow::Result<EntrySettings> {
    let bytes = fs::read(path).with_context(|| format!("can't read {path}"))?;
    let text = String::from_utf8(bytes).with_context(|| format!("{path} is not UTF-8"))?;
    check_settings(path, &text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow!("{}", lines.join("\n"))
    })
}

fn init_logging(format: LogFormat) {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(io::stderr().is_terminal());
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Starts a duty that forwards each SIGTERM and SIGINT to the returned ring.
fn forward_signals() -> io::Result<RingReceiver<()>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let (sender, receiver) = ring("signals", SIGNAL_CAPACITY);
    DutyThread::spawn("signals", move |_| async move {
        while signals.next().await.is_some() {
            if sender.send(()).await.is_err() {
                return;
            }
        }
    })?;
    Ok(receiver)
}
