//! Arguments and life cycle of the entry daemon.

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

/// Signals that wait for the node.
const SIGNAL_CAPACITY: usize = 4;

/// Serves callers of a fleet.
#[derive(FromArgs)]
pub struct EntryArgs {
    /// settings file in TOML
    #[argh(option)]
    settings: String,
}

/// Serves callers until SIGTERM or SIGINT, and then ends gracefully.
///
/// # Errors
///
/// Fails when the settings are wrong, when an address can't be bound, and when the shutdown cut off
/// work.
pub fn run_daemon(args: &EntryArgs) -> anyhow::Result<()> {
    let settings = read_settings(&args.settings)?;
    start_log(settings.log_format);
    let node = EntryNode::start(&settings, NodeLinks::over_http(&settings))
        .context("entry can't start")?;
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
        ShutdownVerdict::TimedOut => bail!("shutdown timed out before all work had ended"),
        ShutdownVerdict::Interrupted => bail!("a second signal cut the shutdown short"),
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

fn start_log(format: LogFormat) {
    let log = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(io::stderr().is_terminal());
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

/// Starts a duty that passes on each SIGTERM and SIGINT.
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
