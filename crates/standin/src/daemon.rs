//! Arguments and life cycle of the stand-in process.

use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;

use anyhow::Context;
use argh::FromArgs;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::backend_server::{BackendServer, ServerSettings};
use crate::instance_list::InstanceList;
use crate::log_service::LogService;
use crate::machine_service::{MachineService, MachineSettings};

/// Runs a stand-in for a platform service until it is stopped by a signal.
#[derive(FromArgs)]
pub struct StandinArgs {
    #[argh(subcommand)]
    service: ServiceChoice,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ServiceChoice {
    Log(LogArgs),
    Instances(InstancesArgs),
    Backend(BackendArgs),
    Machines(MachineArgs),
}

/// Runs a machine control service.
#[derive(FromArgs)]
#[argh(subcommand, name = "machines")]
struct MachineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// worker whose machine it controls; may be repeated
    #[argh(option)]
    worker: Vec<String>,
}

/// Runs a log service.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Runs an instance list.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct InstancesArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// a live instance as WORKER=ADDRESS; may be repeated
    #[argh(option, from_str_fn(parse_instance))]
    instance: Vec<InstanceEntry>,
}

/// Runs a backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// worker on which the server pretends to run
    #[argh(option)]
    worker: String,
    /// maximum number of concurrent tasks
    #[argh(option, default = "8")]
    slots: u32,
}

/// Runs the chosen stand-in until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_standin(args: StandinArgs) -> anyhow::Result<()> {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(io::stderr().is_terminal())
        .init();
    let address = start_service(args.service).context("stand-in can't start")?;
    tracing::info!(event = EventCode::StandinStarted.number(), %address, "stand-in listens");
    writeln!(io::stdout(), "listening {address}")?;
    wait_for_signal()
}

fn start_service(service: ServiceChoice) -> io::Result<SocketAddr> {
    Ok(match service {
        ServiceChoice::Log(args) => LogService::start(args.listen)?.address(),
        ServiceChoice::Instances(args) => {
            InstanceList::start(args.listen, args.instance)?.address()
        }
        ServiceChoice::Backend(args) => {
            let settings = ServerSettings {
                address: args.listen,
                worker: args.worker.into(),
                slots: args.slots,
            };
            BackendServer::start(&settings)?.address()
        }
        ServiceChoice::Machines(args) => {
            let settings = MachineSettings {
                workers: args.worker.into_iter().map(WorkerId::from).collect(),
                ..MachineSettings::default()
            };
            MachineService::start(args.listen, settings)?.address()
        }
    })
}

fn wait_for_signal() -> anyhow::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    futures_lite::future::block_on(signals.next());
    Ok(())
}

fn parse_instance(text: &str) -> Result<InstanceEntry, String> {
    let (worker, address) = text.split_once('=').ok_or("expected WORKER=ADDRESS")?;
    let address = address
        .parse()
        .map_err(|error| format!("address {address:?}: {error}"))?;
    Ok(InstanceEntry {
        worker: worker.into(),
        address,
        state: InstanceState::Live,
    })
}
