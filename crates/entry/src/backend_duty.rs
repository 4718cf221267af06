//! The duty that runs tasks on backend servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::member_duty::MemberMessage;
use crate::message::{BackendMessage, DispatchMessage, RunResult};

/// Delay between attempts to stop a run whose outcome is unknown.
const STOP_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of queued lease events.
const LEASE_RING_CAPACITY: usize = 256;

/// Gateway of the duty, and ring to the dispatch duty.
pub struct BackendLinks {
    /// Connects to the backend servers.
    pub gateway: Box<dyn BackendGateway + Send>,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Initial holder of the leases, until a message changes it.
    pub holder: HolderId,
    /// Ring to the dispatch duty.
    pub dispatch: RingSender<DispatchMessage>,
}

/// Starts each run under a lease and reports its end, until all senders of `messages` are dropped.
///
/// The end is reported only once the backend server can no longer execute the task.
pub async fn run(
    links: BackendLinks,
    spawner: TaskSpawner,
    messages: RingReceiver<BackendMessage>,
) {
    let (events, event_receiver) = ring("leases", LEASE_RING_CAPACITY);
    let duty = Rc::new(BackendDuty {
        gateway: Rc::from(links.gateway as Box<dyn BackendGateway>),
        clock: links.clock,
        holder: RefCell::new(links.holder),
        dispatch: links.dispatch,
        spawner,
        events,
        leases: RefCell::default(),
        runs: RefCell::default(),
    });
    while let Some(input) = duty.next_input(&messages, &event_receiver).await {
        match input {
            BackendInput::Message(BackendMessage::Start(run)) => duty.handle_start(run),
            BackendInput::Message(BackendMessage::Stop(task)) => duty.stop(task),
            BackendInput::Message(BackendMessage::ReadingFresh { until }) => {
                duty.handle_event(LeaseEvent::ReadingFresh { until });
            }
            BackendInput::Message(BackendMessage::HolderChanged(holder)) => {
                duty.holder.replace(holder);
                duty.handle_event(LeaseEvent::HolderChanged);
            }
            BackendInput::Message(BackendMessage::FenceHolder {
                backend,
                holder,
                reply,
            }) => duty.fence(backend, holder, reply),
            BackendInput::Lease(event) => duty.handle_event(event),
        }
    }
}

enum BackendInput {
    Message(BackendMessage),
    Lease(LeaseEvent),
}

struct BackendDuty {
    gateway: Rc<dyn BackendGateway>,
    clock: Arc<dyn ClockSource>,
    holder: RefCell<HolderId>,
    dispatch: RingSender<DispatchMessage>,
    spawner: TaskSpawner,
    events: RingSender<LeaseEvent>,
    leases: RefCell<LeaseManager>,
    runs: RefCell<RunTable>,
}

#[derive(Default)]
struct RunTable {
    /// Runs that wait for a lease.
    waiting: IndexMap<LeaseKey, Vec<RunStart>>,
    /// Runs in flight, with what is needed to stop them.
    sent: IndexMap<TaskId, SentRun>,
    /// Last known addresses of workers.
    addresses: IndexMap<WorkerId, BackendAddress>,
}

struct SentRun {
    backend: BackendAddress,
    lease: LeaseId,
}

impl BackendDuty {
    async fn next_input(
        &self,
        messages: &RingReceiver<BackendMessage>,
        events: &RingReceiver<LeaseEvent>,
    ) -> Option<BackendInput> {
        let event = async {
            let deadline = self.leases.borrow().next_deadline();
            let event = events.recv_until(deadline).await.ok()?;
            Some(BackendInput::Lease(event.unwrap_or(LeaseEvent::TimePassed)))
        };
        let message = async { messages.recv().await.map(BackendInput::Message) };
        future::or(event, message).await
    }

    /// Starts a run under the lease on its worker, or enqueues it until there is one.
    fn handle_start(self: &Rc<Self>, run: RunStart) {
        let backend = backend_of(&run);
        let key = key_of(&run);
        let worker = Arc::clone(&backend.worker);
        self.runs.borrow_mut().addresses.insert(worker, backend);
        let usable = self.leases.borrow().usable(self.clock.now(), &key);
        match usable {
            Some(grant) => self.start(run, grant),
            None => {
                self.runs.borrow_mut().push_waiting(key.clone(), run);
                self.handle_event(LeaseEvent::LeaseNeeded(key));
            }
        }
    }

    fn start(self: &Rc<Self>, run: RunStart, grant: LeaseGrant) {
        let sent = SentRun {
            backend: backend_of(&run),
            lease: grant.lease,
        };
        let key = key_of(&run);
        self.runs.borrow_mut().sent.insert(run.start.task, sent);
        self.handle_event(LeaseEvent::RunStarted(key));
        let duty = Rc::clone(self);
        self.spawner
            .spawn(async move { duty.execute_run(run, grant).await });
    }

    /// Executes a run and reports its result once the run has certainly ended.
    async fn execute_run(self: Rc<Self>, run: RunStart, grant: LeaseGrant) {
        let task = run.start.task;
        let backend = backend_of(&run);
        let key = key_of(&run);
        let lease = grant.lease;
        let outcome = self.gateway.run(run, grant).await;
        if outcome == RunOutcome::LeaseEnded {
            let key = key.clone();
            self.notify(LeaseEvent::LeaseEnded { key, lease }).await;
        }
        let result = match outcome {
            RunOutcome::Answered(answer) => RunResult::answered(answer),
            RunOutcome::Busy => RunReport::Busy.into(),
            RunOutcome::NotRun | RunOutcome::LeaseEnded => RunReport::NotRun.into(),
            RunOutcome::Failed => RunReport::Failed.into(),
            RunOutcome::Unknown => self
                .resolve_unknown_run(backend, &key, task, lease)
                .await
                .into(),
        };
        self.runs.borrow_mut().sent.swap_remove(&task);
        self.notify(LeaseEvent::RunEnded(key)).await;
        // The ring is closed only when the node is stopping; then no caller waits for the result.
        _ = self
            .dispatch
            .send(DispatchMessage::RunEnded { task, result })
            .await;
    }

    /// Repeats the stop of a run of unknown outcome until the run has certainly ended.
    async fn resolve_unknown_run(
        &self,
        backend: BackendAddress,
        key: &LeaseKey,
        task: TaskId,
        lease: LeaseId,
    ) -> RunReport {
        let mut expired_by = self.clock.now() + 2 * WORKER_LEASE_TTL;
        loop {
            match self.gateway.stop(backend.clone(), task, lease).await {
                Ok(StopOutcome::NeverStarted) => return RunReport::NotRun,
                Ok(StopOutcome::Ended) => return RunReport::Failed,
                Ok(StopOutcome::NotRunning) => return RunReport::Unknown,
                Err(error) => {
                    let event = EventCode::BackendFailed;
                    tracing::warn!(event = event.number(), worker = %backend.worker, %error, "stop of a run of unknown outcome failed");
                }
            }
            let lease_expired_by = self.leases.borrow().expired_by(key, lease);
            expired_by = lease_expired_by.unwrap_or(expired_by);
            if self.clock.now() >= expired_by {
                return RunReport::Unknown;
            }
            Timer::after(STOP_PAUSE).await;
        }
    }

    /// Stops an abandoned task; the end of its run is reported as usual.
    fn stop(self: &Rc<Self>, task: TaskId) {
        if self.runs.borrow_mut().remove_waiting(task) {
            self.report_not_run(vec![task]);
            return;
        }
        let runs = self.runs.borrow();
        let Some(sent) = runs.sent.get(&task) else {
            return;
        };
        let stop = self.gateway.stop(sent.backend.clone(), task, sent.lease);
        self.spawner.spawn(async move {
            if let Err(error) = stop.await {
                let event = EventCode::BackendFailed;
                tracing::warn!(event = event.number(), %error, "stop of an abandoned task failed");
            }
        });
    }

    /// Requests a worker to fence a retired holder, and reports a success.
    fn fence(&self, backend: BackendAddress, holder: MemberKey, reply: RingSender<MemberMessage>) {
        let worker = Arc::clone(&backend.worker);
        let fence = self
            .gateway
            .fence_holder(backend, holder.to_string().into());
        self.spawner.spawn(async move {
            if fence.await.is_ok_and(|fence| fence.held_leases == 0) {
                // If the report is dropped, the request is repeated.
                _ = reply.offer(MemberMessage::WorkerFenced { holder, worker });
            }
        });
    }

    fn handle_event(self: &Rc<Self>, event: LeaseEvent) {
        let now = self.clock.now();
        let commands = self.leases.borrow_mut().handle(now, event);
        for command in commands {
            self.execute(now, command);
        }
    }

    fn execute(self: &Rc<Self>, now: Instant, command: LeaseCommand) {
        match command {
            LeaseCommand::AcquireLease(key) => self.acquire_lease(now, key, None),
            LeaseCommand::ReacquireLease { key, boot } => self.acquire_lease(now, key, Some(boot)),
            LeaseCommand::RenewLease {
                key,
                lease,
                renewal,
            } => self.renew_lease(now, key, lease, renewal),
            LeaseCommand::StartWaiting(key) => self.start_waiting(now, &key),
            LeaseCommand::RejectWaiting(key) => {
                let runs = self.runs.borrow_mut().take_waiting(&key);
                self.report_not_run(runs.iter().map(|run| run.start.task).collect());
            }
        }
    }

    fn start_waiting(self: &Rc<Self>, now: Instant, key: &LeaseKey) {
        let runs = self.runs.borrow_mut().take_waiting(key);
        let usable = self.leases.borrow().usable(now, key);
        match usable {
            Some(grant) => runs.into_iter().for_each(|run| self.start(run, grant)),
            None => self.report_not_run(runs.iter().map(|run| run.start.task).collect()),
        }
    }

    fn report_not_run(&self, tasks: Vec<TaskId>) {
        let dispatch = self.dispatch.clone();
        self.spawner.spawn(async move {
            for task in tasks {
                let result = RunReport::NotRun.into();
                // The ring is closed only when the node is stopping; then no caller waits.
                _ = dispatch
                    .send(DispatchMessage::RunEnded { task, result })
                    .await;
            }
        });
    }

    fn acquire_lease(self: &Rc<Self>, requested_at: Instant, key: LeaseKey, boot: Option<BootId>) {
        let Some(backend) = self.address_of(&key) else {
            return;
        };
        let holder = Arc::clone(&self.holder.borrow());
        let grant = self.gateway.acquire_lease(backend, holder, boot);
        let duty = Rc::clone(self);
        self.spawner.spawn(async move {
            let event = match grant.await {
                Ok(grant) => LeaseEvent::LeaseGranted {
                    key,
                    requested_at,
                    grant,
                },
                Err(error) => request_failed(key, &error),
            };
            duty.notify(event).await;
        });
    }

    fn renew_lease(
        self: &Rc<Self>,
        requested_at: Instant,
        key: LeaseKey,
        lease: LeaseId,
        renewal: RenewalCount,
    ) {
        let Some(backend) = self.address_of(&key) else {
            return;
        };
        let grant = self.gateway.renew_lease(backend, lease, renewal);
        let duty = Rc::clone(self);
        self.spawner.spawn(async move {
            let event = match grant.await {
                Ok(grant) => LeaseEvent::LeaseGranted {
                    key,
                    requested_at,
                    grant,
                },
                Err(LeaseError::RenewalMismatch(renewal)) => LeaseEvent::RenewalMismatch {
                    key,
                    lease,
                    renewal,
                },
                Err(LeaseError::Ended) => LeaseEvent::LeaseEnded { key, lease },
                Err(error) => request_failed(key, &error),
            };
            duty.notify(event).await;
        });
    }

    /// Returns the address of the last run on the worker.
    fn address_of(&self, key: &LeaseKey) -> Option<BackendAddress> {
        self.runs.borrow().addresses.get(&key.worker).cloned()
    }

    async fn notify(&self, event: LeaseEvent) {
        // The duty keeps the receiver for as long as this future runs.
        _ = self.events.send(event).await;
    }
}

impl RunTable {
    fn push_waiting(&mut self, key: LeaseKey, run: RunStart) {
        self.waiting.entry(key).or_default().push(run);
    }

    fn take_waiting(&mut self, key: &LeaseKey) -> Vec<RunStart> {
        self.waiting.swap_remove(key).unwrap_or_default()
    }

    /// Removes a waiting run; returns whether there was one.
    fn remove_waiting(&mut self, task: TaskId) -> bool {
        self.waiting.values_mut().any(|waiting| {
            let before = waiting.len();
            waiting.retain(|run| run.start.task != task);
            waiting.len() < before
        })
    }
}

fn request_failed(key: LeaseKey, error: &LeaseError) -> LeaseEvent {
    let event = EventCode::LeaseUnanswered;
    tracing::warn!(event = event.number(), worker = %key.worker, %error, "lease request failed");
    LeaseEvent::RequestFailed(key)
}

fn key_of(run: &RunStart) -> LeaseKey {
    LeaseKey {
        worker: Arc::clone(&run.start.worker),
        class: run.class,
    }
}

fn backend_of(run: &RunStart) -> BackendAddress {
    BackendAddress {
        worker: Arc::clone(&run.start.worker),
        address: run.start.address,
    }
}
