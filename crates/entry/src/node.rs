//! An entry instance with all its duties.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_ring::prelude::*;

use crate::backend_duty::BackendLinks;
use crate::settings::EntrySettings;
use crate::{admin_duty, backend_duty, caller_duty, dispatch_duty, instance_duty, log_duty};

/// Entry instances among which the upper limits are split.
const SPLIT_ENTRIES: u32 = 9;

/// Outside systems of an entry instance; tests put small fakes in their place.
pub struct NodeLinks {
    /// The platform's log.
    pub log: Box<dyn LogStore + Send>,
    /// The platform's instance list.
    pub instances: Box<dyn InstanceSource + Send>,
    /// The backend servers.
    pub backends: Box<dyn BackendGateway + Send>,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
}

/// A running entry instance.
#[derive(Debug)]
pub struct EntryNode {
    callers: SocketAddr,
    admin: SocketAddr,
}

impl NodeLinks {
    /// Returns links to the services that the settings name, over HTTP.
    pub fn over_http(settings: &EntrySettings) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
        let pool = HttpPool::new(PoolBounds::default(), Arc::clone(&clock));
        Self {
            log: Box::new(HttpLog::new(settings.log)),
            instances: Box::new(HttpInstances::new(settings.instances)),
            backends: Box::new(HttpBackend::new(pool)),
            clock,
        }
    }
}

impl EntryNode {
    /// Binds the addresses and starts a thread for each duty.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound or a thread can't be started.
    pub fn start(settings: &EntrySettings, links: NodeLinks) -> io::Result<Self> {
        let caller_listener = TcpListener::bind(settings.callers)?;
        let admin_listener = TcpListener::bind(settings.admin)?;
        let callers = caller_listener.local_addr()?;
        let admin = admin_listener.local_addr()?;
        let (desk_sender, desk_receiver) = ring("desk", settings.ring_capacity);
        let (run_sender, run_receiver) = ring("runs", settings.ring_capacity);
        let NodeLinks {
            log,
            instances,
            backends,
            clock,
        } = links;
        let desk_settings = DeskSettings {
            entry: settings.entry.clone(),
            home: settings.zone.clone(),
            ..DeskSettings::default()
        };
        let gate = EvenSplit::new(SPLIT_ENTRIES);
        let desk = DispatchDesk::new(desk_settings, Box::new(gate));
        let dispatch_clock = Arc::clone(&clock);
        DutyThread::spawn("dispatch", move |_| {
            dispatch_duty::run(desk, dispatch_clock, desk_receiver, run_sender)
        })?;
        let backend_links = BackendLinks {
            gateway: backends,
            clock: Arc::clone(&clock),
            holder: Arc::clone(&settings.entry),
            desk: desk_sender.clone(),
        };
        DutyThread::spawn("backends", move |spawner| {
            backend_duty::run(backend_links, spawner, run_receiver)
        })?;
        let sender = desk_sender.clone();
        let log_clock = Arc::clone(&clock);
        DutyThread::spawn("log", move |_| log_duty::run(log, log_clock, sender))?;
        let sender = desk_sender.clone();
        let poll = settings.instance_poll;
        DutyThread::spawn("instances", move |_| {
            instance_duty::run(instances, poll, sender)
        })?;
        let sender = desk_sender.clone();
        DutyThread::spawn("admin", move |spawner| {
            admin_duty::run(admin_listener, spawner, sender)
        })?;
        let max_payload = settings.max_payload;
        DutyThread::spawn("callers", move |spawner| {
            caller_duty::run(caller_listener, spawner, clock, max_payload, desk_sender)
        })?;
        Ok(Self { callers, admin })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for health checks and metrics.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }
}
