//! An entry instance with all its duties.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, io};

use async_io::Timer;
use futures_lite::future;
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
use crate::caller_duty::CallerLinks;
use crate::dispatch_duty::DispatchLinks;
use crate::log_duty::LogSubscribers;
use crate::member_duty::{MemberLinks, MemberMessage};
use crate::message::DispatchMessage;
use crate::peer_duty::PeerLinks;
use crate::planner_duty::{PlannerLinks, PlannerMessage};
use crate::settings::EntrySettings;
use crate::shutdown::{ShutdownCommand, ShutdownEvent, ShutdownPlan, ShutdownVerdict};
use crate::{
    admin_duty, append_duty, backend_duty, caller_duty, dispatch_duty, instance_duty, log_duty,
    machine_duty, member_duty, peer_duty, planner_duty,
};

/// Delay between attempts to reclaim the floor permits of a retired member.
const RECLAIM_RETRY: Duration = Duration::from_secs(2);
/// Maximum number of phases queued for a duty; there are only three.
const PHASE_CAPACITY: usize = 4;
/// Interval between checks for open tasks while the instance drains.
const WORK_POLL: Duration = Duration::from_millis(20);
/// Timeout for the member's departure to be applied; if it expires, a peer retires the member.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// External systems of an entry instance; tests replace them with fakes.
pub struct NodeLinks {
    /// The platform's log, for reading.
    pub log: Box<dyn LogStore + Send>,
    /// The platform's log, for appending.
    pub appends: Box<dyn LogStore + Send>,
    /// The platform's instance list.
    pub instances: Box<dyn InstanceSource + Send>,
    /// The platform's machine control; without it this instance runs no planner.
    pub machines: Option<Box<dyn MachineControl + Send>>,
    /// The backend servers.
    pub backends: Box<dyn BackendGateway + Send>,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
}

/// A running entry instance; dropping it ends its duties.
#[derive(Debug)]
pub struct EntryNode {
    callers: SocketAddr,
    admin: SocketAddr,
    clock: NodeClock,
    plan: ShutdownPlan,
    phases: Vec<RingSender<ServePhase>>,
    dispatch: RingSender<DispatchMessage>,
    members: RingSender<MemberMessage>,
    callers_ended: RingReceiver<Infallible>,
    threads: NodeThreads,
}

/// Clock of a node, with an implementation of `Debug`.
#[derive(Clone)]
struct NodeClock(Arc<dyn ClockSource>);

/// Threads of a node's duties, which end together.
#[derive(Debug)]
struct NodeThreads {
    /// Dropped to end the duties.
    stop_sender: Option<RingSender<Infallible>>,
    stop: RingReceiver<Infallible>,
    threads: Vec<DutyThread>,
}

impl NodeLinks {
    /// Creates links over HTTP to the services in the settings.
    pub fn over_http(settings: &EntrySettings) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
        let pool = HttpPool::new(settings.pool_bounds(), Arc::clone(&clock));
        Self {
            log: Box::new(HttpLog::new(settings.log)),
            appends: Box::new(HttpLog::new(settings.log)),
            instances: Box::new(HttpInstances::new(settings.instances)),
            machines: settings.machines.map(http_machine_control),
            backends: Box::new(HttpBackend::new(pool)),
            clock,
        }
    }
}

impl EntryNode {
    /// Binds the listen addresses and starts a thread for each duty.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a thread can't be started.
    pub fn start(settings: &EntrySettings, links: NodeLinks) -> io::Result<Self> {
        let caller_listener = TcpListener::bind(settings.callers)?;
        let admin_listener = TcpListener::bind(settings.admin)?;
        let peer_listener = TcpListener::bind(settings.peers)?;
        let peers = peer_listener.local_addr()?;
        let callers = caller_listener.local_addr()?;
        let admin = admin_listener.local_addr()?;
        let (dispatch, dispatch_receiver) = ring("dispatch", settings.ring_capacity);
        let (backend_sender, backend_receiver) = ring("runs", settings.ring_capacity);
        let (proposals, proposal_receiver) = ring("appends", settings.ring_capacity);
        let (peer_sender, peer_receiver) = ring("peers", settings.ring_capacity);
        let (members, member_receiver) = ring("members", settings.ring_capacity);
        let (caller_phases, caller_phase_receiver) = ring("phases", PHASE_CAPACITY);
        let (admin_phases, admin_phase_receiver) = ring("phases", PHASE_CAPACITY);
        let (callers_ended_sender, callers_ended) = ring("caller-end", 1);
        let NodeLinks {
            log,
            appends,
            instances,
            machines,
            backends,
            clock,
        } = links;
        let key = MemberKey {
            entry: Arc::clone(&settings.entry),
            process: uuid::Uuid::new_v4().as_u128(),
            incarnation: 1,
        };
        let mut threads = NodeThreads::new();

        let dispatch_links = DispatchLinks {
            scheduler: new_scheduler(settings, &key),
            requests: IdempotencyTable::new(settings.idempotency()),
            clock: Arc::clone(&clock),
            backends: backend_sender.clone(),
            peers: peer_sender.clone(),
            appends: proposals.clone(),
        };
        threads.spawn("dispatch", move |_| {
            dispatch_duty::run(dispatch_links, dispatch_receiver)
        })?;

        let backend_links = BackendLinks {
            gateway: backends,
            clock: Arc::clone(&clock),
            holder: key.to_string().into(),
            dispatch: dispatch.clone(),
        };
        threads.spawn("backends", move |spawner| {
            backend_duty::run(backend_links, spawner, backend_receiver)
        })?;

        let planner = machines
            .map(|control| start_planner(control, settings, &key, &clock, &proposals, &mut threads))
            .transpose()?;
        let subscribers = LogSubscribers {
            dispatch: dispatch.clone(),
            members: members.clone(),
            planner,
        };
        let log_clock = Arc::clone(&clock);
        threads.spawn("log", move |_| log_duty::run(log, log_clock, subscribers))?;

        let append_clock = Arc::clone(&clock);
        let batcher = AppendBatcher::new(AppendSettings {
            seed: key.process as u64,
            ..AppendSettings::default()
        });
        threads.spawn("appends", move |_| {
            append_duty::run(appends, append_clock, batcher, proposal_receiver)
        })?;

        let member_links = MemberLinks {
            clock: Arc::clone(&clock),
            reclaimer: PermitReclaimer::new(key.process, RECLAIM_RETRY),
            snapshots: SnapshotPublisher::new(clock.now(), SnapshotSettings::default()),
            monitor: new_member_monitor(clock.now(), key, settings, peers),
            appends: proposals,
            peers: peer_sender,
            backends: backend_sender,
            members: members.clone(),
        };
        threads.spawn("members", move |_| {
            member_duty::run(member_links, member_receiver)
        })?;

        let (instance_dispatch, instance_members) = (dispatch.clone(), members.clone());
        let poll = settings.instance_poll;
        threads.spawn("instances", move |_| {
            instance_duty::run(instances, poll, instance_dispatch, instance_members)
        })?;

        let peer_links = PeerLinks {
            listener: peer_listener,
            header: PeerHeader::new(settings.fleet.clone(), settings.entry.clone()),
            dispatch: dispatch.clone(),
            members: members.clone(),
        };
        threads.spawn("peers", move |spawner| {
            peer_duty::run(peer_links, spawner, peer_receiver)
        })?;

        let admin_dispatch = dispatch.clone();
        threads.spawn("admin", move |spawner| {
            admin_duty::run(
                admin_listener,
                spawner,
                admin_dispatch,
                admin_phase_receiver,
            )
        })?;

        let caller_links = CallerLinks {
            listener: caller_listener,
            bounds: settings.server_bounds(),
            clock: Arc::clone(&clock),
            dispatch: dispatch.clone(),
        };
        threads.spawn("callers", move |spawner| async move {
            caller_duty::run(caller_links, spawner, caller_phase_receiver).await;
            drop(callers_ended_sender);
        })?;

        Ok(Self {
            callers,
            admin,
            clock: NodeClock(clock),
            plan: ShutdownPlan::new(settings.shutdown()),
            phases: vec![admin_phases, caller_phases],
            dispatch,
            members,
            callers_ended,
            threads,
        })
    }

    /// Returns the listen address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the listen address for health checks and metrics.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Serves until a message is received from `signals`, then shuts down gracefully.
    ///
    /// A second message aborts the shutdown.
    pub async fn serve_until(mut self, signals: RingReceiver<()>) -> ShutdownVerdict {
        loop {
            let event = self.next_event(&signals).await;
            match self.plan.handle(self.clock.0.now(), event) {
                Some(ShutdownCommand::Enter(phase)) => self.enter(phase).await,
                Some(ShutdownCommand::Stop(verdict)) => {
                    self.threads.end();
                    return verdict;
                }
                None => {}
            }
        }
    }

    async fn next_event(&self, signals: &RingReceiver<()>) -> ShutdownEvent {
        let signal = async {
            match signals.recv().await {
                Some(()) => ShutdownEvent::SignalArrived,
                None => future::pending().await,
            }
        };
        let deadline_passed = async {
            match self.plan.next_deadline() {
                Some(deadline) => _ = Timer::at(deadline).await,
                None => future::pending().await,
            }
            ShutdownEvent::TimePassed
        };
        let finished = async {
            if self.plan.phase() != ServePhase::Draining {
                future::pending::<()>().await;
            }
            self.work_finished().await;
            ShutdownEvent::WorkFinished
        };
        future::or(signal, future::or(finished, deadline_passed)).await
    }

    /// Waits until all callers are answered, no task is open, and the member has left.
    async fn work_finished(&self) {
        // No message is ever sent; the ring is closed when the callers duty ends.
        while self.callers_ended.recv().await.is_some() {}
        while self.open_tasks().await > 0 {
            Timer::after(WORK_POLL).await;
        }
        self.leave_group().await;
    }

    /// Leaves the group, which frees the member's permits without waiting for its retirement.
    async fn leave_group(&self) {
        let (departed, departures) = ring("departed", 1);
        let left = async {
            let message = MemberMessage::TasksEnded { departed };
            // The ring is closed only if the members duty has ended.
            _ = self.members.send(message).await;
            _ = departures.recv().await;
        };
        let timeout = async {
            Timer::after(LEAVE_TIMEOUT).await;
        };
        future::or(left, timeout).await;
    }

    async fn open_tasks(&self) -> usize {
        let (reply, replies) = ring("status", 1);
        if self
            .dispatch
            .send(DispatchMessage::ReadStatus(reply))
            .await
            .is_err()
        {
            return 0;
        }
        let status = replies.recv().await;
        status.map_or(0, |status| status.open_tasks)
    }

    async fn enter(&self, phase: ServePhase) {
        let event = EventCode::EntryStopping;
        tracing::info!(event = event.number(), %phase, "shutdown phase changed");
        if phase == ServePhase::Draining {
            let event = DispatchMessage::Event(DispatchEvent::ShutdownBegan);
            // The ring is closed only if the dispatch duty has ended; then no work is left.
            _ = self.dispatch.send(event).await;
        }
        for phases in &self.phases {
            // Fails only if the duty has ended.
            _ = phases.send(phase).await;
        }
    }
}

impl NodeThreads {
    fn new() -> Self {
        let (stop_sender, stop) = ring("stop", 1);
        Self {
            stop_sender: Some(stop_sender),
            stop,
            threads: Vec::new(),
        }
    }

    /// Starts a duty, which is cancelled when the node ends.
    fn spawn<M, F>(&mut self, name: &str, duty: M) -> io::Result<()>
    where
        M: FnOnce(TaskSpawner) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let stop = self.stop.clone();
        let thread = DutyThread::spawn(name, move |spawner| {
            let stopped = async move {
                // No message is ever sent; the ring is closed when the node ends.
                while stop.recv().await.is_some() {}
            };
            future::or(stopped, duty(spawner))
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Ends all duties and joins their threads.
    fn end(&mut self) {
        self.stop_sender = None;
        for thread in self.threads.drain(..) {
            // The panic of a duty has already been reported by the panic hook.
            _ = thread.join();
        }
    }
}

impl Drop for NodeThreads {
    fn drop(&mut self) {
        self.end();
    }
}

impl fmt::Debug for NodeClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeClock")
    }
}

fn new_scheduler(settings: &EntrySettings, key: &MemberKey) -> TaskScheduler {
    let scheduler_settings = SchedulerSettings {
        entry: settings.entry.clone(),
        home: settings.zone.clone(),
        ..SchedulerSettings::default()
    };
    let gate = PermitHolder::new(HolderSettings {
        process: key.process,
        zone: Arc::clone(&settings.zone),
        ..HolderSettings::default()
    });
    TaskScheduler::new(scheduler_settings, Box::new(gate))
}

fn http_machine_control(address: SocketAddr) -> Box<dyn MachineControl + Send> {
    Box::new(HttpMachines::new(address))
}

/// Starts the planner duty and the machines duty; returns the ring to the planner duty.
///
/// The planner's name includes the id of this process, so that a replacement under the same entry
/// name has to take over the role like any other entry instance.
fn start_planner(
    control: Box<dyn MachineControl + Send>,
    settings: &EntrySettings,
    key: &MemberKey,
    clock: &Arc<dyn ClockSource>,
    appends: &RingSender<AppendMessage>,
    threads: &mut NodeThreads,
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
        planner: FleetPlanner::new(clock.now(), plan_settings),
        appends: appends.clone(),
        machines,
    };
    threads.spawn("planner", move |_| {
        planner_duty::run(links, planner_receiver)
    })?;
    let sender = planner.clone();
    threads.spawn("machines", move |spawner| {
        machine_duty::run(control, spawner, machine_receiver, sender)
    })?;
    Ok(planner)
}

fn new_member_monitor(
    now: Instant,
    key: MemberKey,
    settings: &EntrySettings,
    address: SocketAddr,
) -> MemberMonitor {
    let spec = MemberSpec {
        zone: Arc::clone(&settings.zone),
        address,
        format: FORMAT_VERSION,
    };
    let settings = MemberSettings {
        hold_down: hold_down(WORKER_LEASE_TTL),
        ..MemberSettings::default()
    };
    MemberMonitor::new(now, settings, key, spec)
}
