//! The duty that runs the controllers of the node's shards.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::message::{ControlMessage, JournalMessage, OrderMessage, QuotaMessage, ShardTerm};
use crate::request::{NodeRequest, NodeResponse};
use crate::settings::NodeSettings;

/// Shortest interval between reports of account demand. A shard that needs a larger allocation
/// waits up to this time before the need is reported.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Lag of a worker's answer above which the load is logged; an idle node takes a few milliseconds.
const REPORTED_LAG: Duration = Duration::from_millis(250);
/// Timers within an interval above which the load is logged: more than two per placement interval.
const REPORTED_TICKS: u32 = 200;
/// Shortest interval between log lines about the load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Duties that execute the commands of the controllers.
pub struct ControlLinks {
    /// The journal duty.
    pub journal: RingSender<JournalMessage>,
    /// The orders duty.
    pub orders: RingSender<OrderMessage>,
    /// The quota duty.
    pub quota: RingSender<QuotaMessage>,
}

struct ControlDuty {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    links: ControlLinks,
    config: Arc<FleetConfig>,
    /// All workers that the platform lists.
    listed_workers: Vec<WorkerEntry>,
    /// The workers that count under the configuration.
    workers: Vec<WorkerEntry>,
    /// Start of the latest worker life on each machine.
    lives: Arc<IndexMap<MachineId, LifeStart>>,
    /// As of when the inputs of all shards are known.
    inputs_read: IndexMap<ShardInput, Instant>,
    shards: IndexMap<ShardNumber, ShardController>,
    /// Highest epoch of a machine controller that has sent a survey.
    machine_epoch: OwnerEpoch,
    /// Epochs of the shards and account demand in them, as last reported to the quota duty.
    reported_demands: (
        IndexMap<ShardNumber, OwnerEpoch>,
        IndexMap<AllocationKey, AccountDemand>,
    ),
    /// Earliest time of the next report of account demand.
    demands_due: Instant,
    /// Whether the demand may have changed since the last check.
    demands_stale: bool,
    /// Load since the last report of it.
    load: DutyLoad,
}

/// What the duty has handled since `since`.
struct DutyLoad {
    since: Instant,
    messages: u32,
    ticks: u32,
    /// Longest time from the arrival of a worker's answer to its handling.
    longest_lag: Duration,
}

impl DutyLoad {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            messages: 0,
            ticks: 0,
            longest_lag: Duration::ZERO,
        }
    }

    fn record_message(&mut self, message: &ControlMessage, now: Instant) {
        self.messages += 1;
        let ControlMessage::Shard(_, event) = message else {
            return;
        };
        if let ShardEvent::Polled { answered_at, .. } = &**event {
            let lag = now.saturating_duration_since(*answered_at);
            metrics::histogram!("pw_poll_lag_seconds").record(lag);
            self.longest_lag = self.longest_lag.max(lag);
        }
    }
}

/// Runs the controllers until all senders of `messages` are gone.
pub async fn run(
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    messages: RingReceiver<ControlMessage>,
    links: ControlLinks,
) {
    let mut duty = ControlDuty {
        settings,
        links,
        config: Arc::default(),
        listed_workers: Vec::new(),
        workers: Vec::new(),
        lives: Arc::default(),
        inputs_read: IndexMap::new(),
        shards: IndexMap::new(),
        machine_epoch: 0,
        reported_demands: Default::default(),
        demands_due: Instant::now(),
        demands_stale: false,
        load: DutyLoad::new(clock.now()),
        clock,
    };
    loop {
        let Ok(message) = messages.recv_until(duty.wake_time()).await else {
            return;
        };
        match message {
            Some(message) => {
                duty.demands_stale = true;
                duty.load.record_message(&message, duty.clock.now());
                duty.handle_message(message).await;
            }
            None => {
                duty.load.ticks += 1;
                // A pass over the waiting tasks may have run.
                duty.demands_stale = true;
                duty.tick().await;
            }
        }
        duty.report_load();
        duty.report_demands().await;
    }
}

impl ControlDuty {
    /// Logs the load of the last interval if answers of workers were handled late or timers fired
    /// without pause.
    fn report_load(&mut self) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(self.load.since);
        if elapsed < LOAD_REPORT_INTERVAL {
            return;
        }
        let load = std::mem::replace(&mut self.load, DutyLoad::new(now));
        if load.longest_lag < REPORTED_LAG && load.ticks < REPORTED_TICKS {
            return;
        }
        let event = EventCode::DutyLate.number();
        let (messages, ticks) = (load.messages, load.ticks);
        let lag_ms = load.longest_lag.as_millis() as u64;
        let elapsed_ms = elapsed.as_millis() as u64;
        let shards: Vec<ShardNumber> = self.shards.keys().copied().collect();
        let jobs: usize = self
            .shards
            .values()
            .map(ShardController::active_job_count)
            .sum();
        tracing::warn!(
            event,
            lag_ms,
            elapsed_ms,
            messages,
            ticks,
            jobs,
            ?shards,
            "control duty is late"
        );
    }

    /// Returns when to wake next, as a time of the timers' clock. That clock may pause, during a
    /// suspend for instance, while the duty's clock advances.
    fn wake_time(&self) -> Option<Instant> {
        let now = self.clock.now();
        let due = self.shards.values().map(ShardController::next_deadline);
        let due = due.min();
        let due = due.map(|due| Instant::now() + due.saturating_duration_since(now));
        let demands = self.demands_stale.then_some(self.demands_due);
        due.into_iter().chain(demands).min()
    }

    async fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Config(config) => {
                let pools_changed = !config.pools.keys().eq(self.config.pools.keys());
                self.config = Arc::clone(&config);
                // The ring closes only when the node stops.
                _ = self
                    .links
                    .quota
                    .send(QuotaMessage::Config(Arc::clone(&config)))
                    .await;
                let busy = config.busy_shards(self.settings.shards);
                _ = self
                    .links
                    .journal
                    .send(JournalMessage::BusyShards(busy))
                    .await;
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    let event = ShardEvent::Config(Arc::clone(&config));
                    self.dispatch_event(term, event).await;
                }
                if pools_changed {
                    self.select_workers().await;
                }
            }
            ControlMessage::Workers(workers) => {
                self.listed_workers = workers;
                self.select_workers().await;
            }
            ControlMessage::InputRead(input, at) => {
                self.inputs_read.insert(input, at);
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    let event = ShardEvent::InputRead(input, at);
                    self.dispatch_event(term, event).await;
                }
            }
            ControlMessage::Opened(term, image) => self.open_shard(term, *image).await,
            ControlMessage::Release(term, reply) => {
                if self.owns(term)
                    && let Some(shard) = self.shards.swap_remove(&term.shard)
                {
                    // The journal duty may have stopped waiting for the reply.
                    _ = reply.offer(shard.remaining_leases(self.clock.now()));
                }
            }
            ControlMessage::Shard(term, event) => self.dispatch_event(term, *event).await,
            ControlMessage::Allocations(allocations) => {
                for (term, account, allocation) in allocations {
                    if self.owns(term)
                        && let Some(shard) = self.shards.get_mut(&term.shard)
                    {
                        shard.set_allocation(account, allocation);
                    }
                }
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    self.dispatch_event(term, ShardEvent::Tick).await;
                }
            }
            ControlMessage::Reductions(allocations, reply) => {
                let mut used = Vec::new();
                for (term, account, allocation) in allocations {
                    if self.owns(term)
                        && let Some(shard) = self.shards.get_mut(&term.shard)
                    {
                        shard.set_allocation(account.clone(), allocation);
                        let size = shard.account_used(&account);
                        used.push((term, account, size));
                    }
                }
                // The quota duty ends before this one only when the node stops.
                _ = reply.offer(used);
            }
            ControlMessage::Request(request, reply) => {
                let response = self.respond(request).await;
                // The requester may have stopped waiting for the response.
                _ = reply.offer(response);
            }
        }
    }

    /// Reports account demand to the quota duty when it or the owned shards have changed and a report
    /// is due. A shard without demand may hold an allocation of its earlier owner.
    async fn report_demands(&mut self) {
        let now = Instant::now();
        if !self.demands_stale || now < self.demands_due {
            return;
        }
        self.demands_stale = false;
        let known_at = self.clock.now();
        let demands = self.shards.values();
        let demands = demands.flat_map(|shard| shard.account_demands(known_at));
        let demands: IndexMap<AllocationKey, AccountDemand> = demands.collect();
        self.demands_due = now + DEMAND_REPORT_INTERVAL;
        let terms = self.terms().map(|term| (term.shard, term.epoch));
        let terms: IndexMap<ShardNumber, OwnerEpoch> = terms.collect();
        if (&terms, &demands) == (&self.reported_demands.0, &self.reported_demands.1) {
            return;
        }
        self.reported_demands = (terms.clone(), demands.clone());
        // The ring closes only when the node stops.
        _ = self
            .links
            .quota
            .send(QuotaMessage::Demands(terms, demands))
            .await;
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let due = self.shards.values();
        let due = due.filter(|shard| shard.next_deadline() <= now);
        let due: Vec<ShardTerm> = due.map(term_of).collect();
        for term in due {
            self.dispatch_event(term, ShardEvent::Tick).await;
        }
    }

    async fn open_shard(&mut self, term: ShardTerm, image: ShardImage) {
        let event = EventCode::ShardTaken.number();
        let (jobs, states) = (image.submissions.len(), image.states.len());
        let ShardTerm { shard, epoch } = term;
        tracing::info!(event, shard, epoch, jobs, states, "shard taken over");
        metrics::counter!("pw_shards_taken_total").increment(1);
        let controller = ShardController::open(
            (shard, epoch),
            image,
            Arc::clone(&self.config),
            self.settings.control.clone(),
            self.clock.now(),
            self.clock.wall(),
        );
        self.shards.insert(shard, controller);
        self.update_workers(term).await;
        for (input, at) in self.inputs_read.clone() {
            let event = ShardEvent::InputRead(input, at);
            self.dispatch_event(term, event).await;
        }
    }

    /// Selects the listed workers that count, and sends them to the shards.
    async fn select_workers(&mut self) {
        let (workers, lives) = current_workers(&self.listed_workers, &self.config.pools);
        self.workers = workers;
        self.lives = Arc::new(lives);
        let terms: Vec<ShardTerm> = self.terms().collect();
        for term in terms {
            self.update_workers(term).await;
        }
    }

    /// Sends a shard the workers of its pools.
    async fn update_workers(&mut self, term: ShardTerm) {
        let shards = self.settings.shards;
        let workers = self.workers.iter();
        let workers = workers.filter(|worker| find_shard(&worker.pool, shards) == term.shard);
        let event = ShardEvent::Workers {
            entries: workers.cloned().collect(),
            lives: Arc::clone(&self.lives),
        };
        self.dispatch_event(term, event).await;
    }

    async fn dispatch_event(&mut self, term: ShardTerm, event: ShardEvent) {
        if !self.owns(term) {
            return;
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let Some(shard) = self.shards.get_mut(&term.shard) else {
            return;
        };
        for command in shard.handle(now, wall, event) {
            self.execute_command(term, command).await;
        }
    }

    async fn execute_command(&self, term: ShardTerm, command: ShardCommand) {
        let ControlLinks {
            journal, orders, ..
        } = &self.links;
        let sent = match command {
            ShardCommand::Store { sequence, records } => {
                let message = JournalMessage::Store {
                    term,
                    sequence,
                    records,
                };
                journal.send(message).await
            }
            ShardCommand::CheckOwnership => {
                journal.send(JournalMessage::CheckOwnership(term)).await
            }
            ShardCommand::Poll(order) => orders.send(OrderMessage::Poll(term, order)).await,
            ShardCommand::Start(order) => orders.send(OrderMessage::Start(term, order)).await,
            ShardCommand::Stop(order) => orders.send(OrderMessage::Stop(term, order)).await,
            ShardCommand::Advise(order) => orders.send(OrderMessage::Advise(term, order)).await,
            ShardCommand::Pace(order) => orders.send(OrderMessage::Pace(term, order)).await,
        };
        if sent.is_err() {
            let event = EventCode::ShardLost.number();
            tracing::error!(event, shard = term.shard, "command lost: duty has ended");
        }
    }

    async fn respond(&mut self, request: NodeRequest) -> NodeResponse {
        let Some(shard) = self.shards.get(&request.shard()) else {
            return NodeResponse::NotOwner;
        };
        match request {
            NodeRequest::Status { job, account, .. } => {
                let scope = QueryScope::from(account.as_ref());
                let answer = shard.job_status(&job, scope, self.clock.now());
                self.status_response(answer)
            }
            NodeRequest::StatusBefore {
                job,
                account,
                offset,
                ..
            } => {
                let scope = QueryScope::from(account.as_ref());
                let answer = shard.job_status_before(&job, scope, offset, self.clock.now());
                self.status_response(answer)
            }
            // The peer duty handles store requests.
            NodeRequest::Store { .. } => NodeResponse::NotStored,
            NodeRequest::Survey { machine_epoch, .. } if machine_epoch < self.machine_epoch => {
                NodeResponse::NotOwner
            }
            NodeRequest::Survey {
                machine_epoch,
                order,
                ..
            } => {
                let term = term_of(shard);
                self.machine_epoch = machine_epoch;
                self.dispatch_event(term, ShardEvent::Surveyed(order)).await;
                let now = self.clock.now();
                match self.shards.get(&term.shard) {
                    Some(shard) => NodeResponse::Survey(shard.survey_report(now)),
                    None => NodeResponse::NotOwner,
                }
            }
            NodeRequest::Pending { .. } if !shard.knows_submissions(self.clock.now()) => {
                NodeResponse::NotOwner
            }
            NodeRequest::Pending { queue, .. } => {
                NodeResponse::Pending(shard.pending(&queue) as u64)
            }
        }
    }

    fn status_response(&self, answer: JobAnswer) -> NodeResponse {
        match answer {
            JobAnswer::Known(status) => NodeResponse::Status(status),
            JobAnswer::Unknown => NodeResponse::UnknownJob,
            JobAnswer::Hidden => NodeResponse::HiddenJob,
            JobAnswer::Absent => NodeResponse::AbsentJob,
            JobAnswer::Moved(pool) => NodeResponse::Moved(find_shard(&pool, self.settings.shards)),
            JobAnswer::Uncertain => NodeResponse::NotOwner,
        }
    }

    fn terms(&self) -> impl Iterator<Item = ShardTerm> {
        self.shards.values().map(term_of)
    }

    fn owns(&self, term: ShardTerm) -> bool {
        let shard = self.shards.get(&term.shard);
        shard.is_some_and(|shard| shard.epoch() == term.epoch)
    }
}

fn term_of(shard: &ShardController) -> ShardTerm {
    ShardTerm {
        shard: shard.shard(),
        epoch: shard.epoch(),
    }
}
