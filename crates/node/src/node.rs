//! A node: its duties, the rings between them, and its shutdown.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use pw_base::prelude::*;
use pw_link::prelude::*;
use pw_ring::prelude::*;

use crate::admin_duty;
use crate::control_duty::{self, ControlLinks};
use crate::feed_duty::{self, FeedLinks};
use crate::intake_duty;
use crate::journal_duty::{self, JournalLinks};
use crate::links::{FleetFeed, FrontEnd, JobStore, MachineGateway, WorkerGateway};
use crate::log_budget::LogBudget;
use crate::machine_duty::{self, MachineLinks};
use crate::message::{CallerMessage, JournalMessage};
use crate::order_duty;
use crate::owners::OwnerClient;
use crate::peer_duty::{self, peer_bounds};
use crate::quota_duty;
use crate::service::JobService;
use crate::settings::NodeSettings;
use crate::writer::SubmissionWriter;

/// Messages that may be queued for a duty.
const RING_CAPACITY: usize = 4096;
/// Configurations that may be queued for the intake duty; it needs the latest one.
const INTAKE_CAPACITY: usize = 2;
/// Changes of the serving phase that may be queued.
const PHASE_CAPACITY: usize = 4;

/// External systems of a node. Each duty that uses the store has its own client of it.
pub struct NodeLinks {
    /// Store client of the journal duty.
    pub journal_store: Box<dyn JobStore>,
    /// Store client of the callers duty.
    pub caller_store: Box<dyn JobStore>,
    /// Source of the configuration and the worker list.
    pub feed: Box<dyn FleetFeed>,
    /// Connection to the workers.
    pub gateway: Box<dyn WorkerGateway>,
    /// Client of the platform's machine service.
    pub machines: Box<dyn MachineGateway>,
    /// Store client of the machine duty.
    pub machine_store: Box<dyn JobStore>,
    /// Store client for store requests of other nodes.
    pub peer_store: Box<dyn JobStore>,
    /// Store client of the intake duty.
    pub intake_store: Box<dyn JobStore>,
    /// Store client of the quota duty.
    pub quota_store: Box<dyn JobStore>,
    /// Rate limit of the log, whose suppressed lines are reported.
    pub log_budget: Option<&'static LogBudget>,
    /// Protocol of the callers.
    pub front: Box<dyn FrontEnd>,
}

/// A running node.
pub struct JobNode {
    settings: NodeSettings,
    journal: RingSender<JournalMessage>,
    callers: RingSender<CallerMessage>,
    phases: RingSender<ServePhase>,
    served: RingReceiver<()>,
}

impl JobNode {
    /// Starts the duties.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(
        settings: NodeSettings,
        clock: Arc<dyn ClockSource>,
        links: NodeLinks,
    ) -> io::Result<Self> {
        let callers_listener = TcpListener::bind(settings.callers)?;
        let ready_listener = TcpListener::bind(settings.readiness)?;
        let peer_listener = TcpListener::bind(settings.peers)?;
        // Port 0 lets the system choose a port: keep the actual addresses.
        let settings = NodeSettings {
            callers: callers_listener.local_addr()?,
            readiness: ready_listener.local_addr()?,
            peers: peer_listener.local_addr()?,
            ..settings
        };
        let metrics_listener = TcpListener::bind(settings.metrics)?;
        let (control, control_messages) = ring("control", RING_CAPACITY);
        let (journal, journal_messages) = ring("journal", RING_CAPACITY);
        let (orders, order_messages) = ring("orders", RING_CAPACITY);
        let (callers, caller_messages) = ring("callers", RING_CAPACITY);
        let (machines, machine_messages) = ring("keeper", RING_CAPACITY);
        let (intakes, intake_configs) = ring("intake", INTAKE_CAPACITY);
        let (phases, phase_messages) = ring("phases", PHASE_CAPACITY);
        let (served_sender, served) = ring("served", 1);

        let (quota, quota_messages) = ring("quota", RING_CAPACITY);
        let control_links = ControlLinks {
            journal: journal.clone(),
            orders,
            quota,
        };
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        DutyThread::spawn("control", move |_| {
            control_duty::run(own, own_clock, control_messages, control_links)
        })?;

        let order_control = control.clone();
        let (gateway, own_clock) = (links.gateway, Arc::clone(&clock));
        DutyThread::spawn("orders", move |spawner| {
            order_duty::run(gateway, own_clock, order_messages, order_control, spawner)
        })?;

        let journal_links = JournalLinks {
            control: control.clone(),
            callers: callers.clone(),
            machines: machines.clone(),
        };
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        let store = links.journal_store;
        DutyThread::spawn("journal", move |spawner| {
            journal_duty::run(
                store,
                own,
                own_clock,
                journal_messages,
                journal_links,
                spawner,
            )
        })?;

        let feed_links = FeedLinks {
            control: control.clone(),
            callers: callers.clone(),
            machines,
            intakes,
        };
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        let feed = links.feed;
        DutyThread::spawn("feed", move |_| {
            feed_duty::run(feed, own, own_clock, feed_links)
        })?;

        let (own, intake_callers) = (settings.clone(), callers.clone());
        let store = links.intake_store;
        DutyThread::spawn("intake", move |_| {
            intake_duty::run(store, own, intake_configs, intake_callers)
        })?;

        let quota_control = control.clone();
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        let store = links.quota_store;
        DutyThread::spawn("quota", move |_| {
            quota_duty::run(store, own, own_clock, quota_messages, quota_control)
        })?;

        let budget = links.log_budget;
        DutyThread::spawn("admin", move |spawner| {
            admin_duty::run(metrics_listener, budget, spawner)
        })?;

        let machine_links = MachineLinks {
            machines: links.machines,
            store: links.machine_store,
            control: control.clone(),
            journal: journal.clone(),
        };
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        DutyThread::spawn("keeper", move |spawner| {
            machine_duty::run(own, own_clock, machine_messages, machine_links, spawner)
        })?;

        let peer_control = control.clone();
        let (own, own_clock) = (settings.clone(), Arc::clone(&clock));
        let store = links.peer_store;
        DutyThread::spawn("questions", move |spawner| {
            let writer = SubmissionWriter::new(own, own_clock, store);
            peer_duty::run(peer_listener, peer_control, writer, spawner)
        })?;

        let own = settings.clone();
        let (front, store) = (links.front, links.caller_store);
        DutyThread::spawn("callers", move |spawner| {
            let client = H2Client::new(peer_bounds(), spawner.clone());
            let owners = OwnerClient::new(control, client);
            let writer = SubmissionWriter::new(own.clone(), Arc::clone(&clock), store);
            let service = JobService::new(own, clock, writer, owners);
            let listeners = (callers_listener, ready_listener);
            async move {
                serve_callers(
                    front,
                    service,
                    listeners,
                    caller_messages,
                    phase_messages,
                    spawner,
                )
                .await;
                // The node may have stopped waiting for this message.
                _ = served_sender.offer(());
            }
        })?;

        Ok(Self {
            settings,
            journal,
            callers,
            phases,
            served,
        })
    }

    /// Returns the listen address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns the listen address for the load balancer's readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        self.settings.readiness
    }

    /// Serves until a message on `stop`, then shuts down gracefully.
    ///
    /// Shards are handed over at once; callers are served until the load balancer sends no more.
    pub async fn serve_until(self, stop: RingReceiver<()>) {
        _ = stop.recv().await;
        let event = EventCode::EntryStopping.number();
        tracing::info!(event, node = self.settings.name, "stopping");
        let shutdown = async {
            _ = self.callers.send(CallerMessage::Stopping).await;
            _ = self.phases.send(ServePhase::Lingering).await;
            _ = self.journal.send(JournalMessage::Leave).await;
            Timer::after(self.settings.linger).await;
            _ = self.phases.send(ServePhase::Draining).await;
            _ = self.served.recv().await;
        };
        future::or(shutdown, after(self.settings.grace)).await;
        let event = EventCode::EntryStopped.number();
        tracing::info!(event, node = self.settings.name, "stopped");
    }
}

async fn after(time: Duration) {
    Timer::after(time).await;
}

async fn serve_callers(
    front: Box<dyn FrontEnd>,
    service: JobService,
    (callers, readiness): (TcpListener, TcpListener),
    messages: RingReceiver<CallerMessage>,
    phases: RingReceiver<ServePhase>,
    spawner: TaskSpawner,
) {
    let ready = front.readiness(service.clone());
    let ready_spawner = spawner.clone();
    spawner.spawn(async move {
        if let Err(error) = serve_http(readiness, ready_spawner, ready).await {
            tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
        }
    });
    let listening = service.clone();
    spawner.spawn(async move {
        while let Some(message) = messages.recv().await {
            listening.handle(message);
        }
    });
    let server = HttpServer {
        listener: callers,
        spawner,
        handler: front.callers(service),
        bounds: ServerBounds::default(),
    };
    if let Err(error) = server.serve(phases).await {
        tracing::error!(event = EventCode::CallerFailed.number(), %error, "listener failed");
    }
}
