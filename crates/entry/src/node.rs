//! An entry instance with all its duties.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;
use pw_plan::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::append_duty::AppendMessage;
use crate::backend_duty::BackendLinks;
use crate::log_duty::LogReaders;
use crate::member_duty::MemberLinks;
use crate::planner_duty::{PlannerLinks, PlannerMessage};
use crate::settings::EntrySettings;
use crate::{
    admin_duty, append_duty, backend_duty, caller_duty, dispatch_duty, instance_duty, log_duty,
    machine_duty, member_duty, planner_duty,
};

/// Time between two tries to free the floor permits of a retired member.
const RECLAIM_RETRY: Duration = Duration::from_secs(2);

/// Outside systems of an entry instance; tests put small fakes in their place.
pub struct NodeLinks {
    /// The platform's log, for reading.
    pub log: Box<dyn LogStore + Send>,
    /// The platform's log, for appending.
    pub appends: Box<dyn LogStore + Send>,
    /// The platform's instance list.
    pub instances: Box<dyn InstanceSource + Send>,
    /// The platform's control of machines; without it this instance plans nothing.
    pub machines: Option<Box<dyn MachineControl + Send>>,
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
            appends: Box::new(HttpLog::new(settings.log)),
            instances: Box::new(HttpInstances::new(settings.instances)),
            machines: settings.machines.map(machine_control),
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
            appends,
            instances,
            machines,
            backends,
            clock,
        } = links;
        let desk_settings = DeskSettings {
            entry: settings.entry.clone(),
            home: settings.zone.clone(),
            ..DeskSettings::default()
        };
        let key = MemberKey {
            entry: Arc::clone(&settings.entry),
            process: uuid::Uuid::new_v4().as_u128(),
            incarnation: 1,
        };
        let gate = PermitHolder::new(HolderSettings {
            process: key.process,
            zone: Arc::clone(&settings.zone),
            ..HolderSettings::default()
        });
        let desk = DispatchDesk::new(desk_settings, Box::new(gate));
        let (append_sender, append_receiver) = ring("appends", settings.ring_capacity);
        let (member_sender, member_receiver) = ring("members", settings.ring_capacity);
        let (runs, proposals) = (run_sender.clone(), append_sender.clone());
        let dispatch_clock = Arc::clone(&clock);
        DutyThread::spawn("dispatch", move |_| {
            dispatch_duty::run(desk, dispatch_clock, desk_receiver, runs, proposals)
        })?;
        let backend_links = BackendLinks {
            gateway: backends,
            clock: Arc::clone(&clock),
            holder: key.to_string().into(),
            desk: desk_sender.clone(),
        };
        DutyThread::spawn("backends", move |spawner| {
            backend_duty::run(backend_links, spawner, run_receiver)
        })?;
        let planner = machines
            .map(|control| start_planner(control, settings, &key, &clock, &append_sender))
            .transpose()?;
        let readers = LogReaders {
            desk: desk_sender.clone(),
            members: member_sender.clone(),
            planner,
        };
        let log_clock = Arc::clone(&clock);
        DutyThread::spawn("log", move |_| log_duty::run(log, log_clock, readers))?;
        let append_clock = Arc::clone(&clock);
        let batcher = AppendBatcher::new(AppendSettings {
            seed: key.process as u64,
            ..AppendSettings::default()
        });
        DutyThread::spawn("appends", move |_| {
            append_duty::run(appends, append_clock, batcher, append_receiver)
        })?;
        let member_links = MemberLinks {
            clock: Arc::clone(&clock),
            reclaim: ReclaimDesk::new(key.process, RECLAIM_RETRY),
            snapshots: SnapshotDesk::new(clock.now(), SnapshotSettings::default()),
            desk: member_desk(clock.now(), key, settings, admin),
            appends: append_sender,
            backends: run_sender,
            own: member_sender.clone(),
        };
        DutyThread::spawn("members", move |_| {
            member_duty::run(member_links, member_receiver)
        })?;
        let sender = desk_sender.clone();
        let poll = settings.instance_poll;
        DutyThread::spawn("instances", move |_| {
            instance_duty::run(instances, poll, sender, member_sender)
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

fn machine_control(address: SocketAddr) -> Box<dyn MachineControl + Send> {
    Box::new(HttpMachines::new(address))
}

/// Starts the duties that plan and that send orders to machines; returns the planner's ring.
///
/// The planner's name is that of this life of the entry instance, so that an instance that was
/// replaced under the same name has to take over like any other.
fn start_planner(
    control: Box<dyn MachineControl + Send>,
    settings: &EntrySettings,
    key: &MemberKey,
    clock: &Arc<dyn ClockSource>,
    appends: &RingSender<AppendMessage>,
) -> io::Result<RingSender<PlannerMessage>> {
    let (planner, planner_receiver) = ring("planner", settings.ring_capacity);
    let (machines, machine_receiver) = ring("machines", settings.ring_capacity);
    let plan_settings = PlanSettings {
        entry: key.to_string().into(),
        seed: key.process as u64,
        ..settings.planner.clone()
    };
    let links = PlannerLinks {
        clock: Arc::clone(clock),
        desk: PlannerDesk::new(clock.now(), plan_settings),
        appends: appends.clone(),
        machines,
    };
    DutyThread::spawn("planner", move |_| {
        planner_duty::run(links, planner_receiver)
    })?;
    let sender = planner.clone();
    DutyThread::spawn("machines", move |spawner| {
        machine_duty::run(control, spawner, machine_receiver, sender)
    })?;
    Ok(planner)
}

fn member_desk(
    now: Instant,
    key: MemberKey,
    settings: &EntrySettings,
    address: SocketAddr,
) -> MemberDesk {
    let spec = MemberSpec {
        zone: Arc::clone(&settings.zone),
        address,
        format: FORMAT_VERSION,
    };
    let settings = MemberSettings {
        hold_down: hold_down(WORKER_LEASE_TTL),
        ..MemberSettings::default()
    };
    MemberDesk::new(now, settings, key, spec)
}
