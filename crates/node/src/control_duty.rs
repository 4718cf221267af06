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

/// Shortest time between two reports of accounts' work. A shard that needs a larger part waits for
/// it as long.
const DEMANDS_GAP: Duration = Duration::from_millis(50);

/// Where the control duty's commands go.
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
    workers: Vec<WorkerEntry>,
    /// Latest life on each machine.
    lives: Arc<IndexMap<MachineId, LifeStart>>,
    shards: IndexMap<ShardNumber, ShardController>,
    /// Highest epoch of a keeper of machines that has asked.
    machine_epoch: OwnerEpoch,
    /// Work of accounts as the quota duty was told last.
    demands: IndexMap<AllocationKey, AccountDemand>,
    /// When the quota duty may be told again.
    demands_due: Instant,
    /// Something happened since it was told.
    demands_stale: bool,
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
        clock,
        links,
        config: Arc::default(),
        workers: Vec::new(),
        lives: Arc::default(),
        shards: IndexMap::new(),
        machine_epoch: 0,
        demands: IndexMap::new(),
        demands_due: Instant::now(),
        demands_stale: false,
    };
    loop {
        let Ok(message) = messages.recv_until(duty.wake_time()).await else {
            return;
        };
        match message {
            Some(message) => {
                duty.demands_stale = true;
                duty.take(message).await;
            }
            None => duty.tick().await,
        }
        duty.tell_demands().await;
    }
}

impl ControlDuty {
    /// Returns the time of the next tick on the clock of timers, which may stand still while the
    /// duty's own clock goes on.
    fn wake_time(&self) -> Option<Instant> {
        let now = self.clock.now();
        let due = self.shards.values().map(ShardController::next_deadline);
        let due = due.min();
        let due = due.map(|due| Instant::now() + due.saturating_duration_since(now));
        let demands = self.demands_stale.then_some(self.demands_due);
        due.into_iter().chain(demands).min()
    }

    async fn take(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Config(config) => {
                self.config = Arc::clone(&config);
                // The ring is closed only when the node stops.
                _ = self
                    .links
                    .quota
                    .send(QuotaMessage::Config(Arc::clone(&config)))
                    .await;
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    let event = ShardEvent::Config(Arc::clone(&config));
                    self.hand_on(term, event).await;
                }
            }
            ControlMessage::Workers(workers) => {
                let (workers, lives) = current_workers(workers);
                self.workers = workers;
                self.lives = Arc::new(lives);
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    self.hand_workers(term).await;
                }
            }
            ControlMessage::Opened(term, image) => self.open(term, *image).await,
            ControlMessage::Release(term, reply) => {
                if self.owns(term)
                    && let Some(shard) = self.shards.swap_remove(&term.shard)
                {
                    // The journal duty waits for it; it may have given up.
                    _ = reply.offer(shard.remaining_leases(self.clock.now()));
                }
            }
            ControlMessage::Shard(term, event) => self.hand_on(term, *event).await,
            ControlMessage::Allocations(parts) => {
                for (term, account, part) in parts {
                    if self.owns(term)
                        && let Some(shard) = self.shards.get_mut(&term.shard)
                    {
                        shard.set_allocation(account, part);
                    }
                }
                let terms: Vec<ShardTerm> = self.terms().collect();
                for term in terms {
                    self.hand_on(term, ShardEvent::Tick).await;
                }
            }
            ControlMessage::Request(request, reply) => {
                let answer = self.answer(request).await;
                // Whoever asked may have given up.
                _ = reply.offer(answer);
            }
        }
    }

    /// Tells the quota duty the work of accounts, where it has changed and not too often.
    async fn tell_demands(&mut self) {
        let now = Instant::now();
        if !self.demands_stale || now < self.demands_due {
            return;
        }
        self.demands_stale = false;
        let demands = self
            .shards
            .values()
            .flat_map(ShardController::account_demands);
        let demands: IndexMap<AllocationKey, AccountDemand> = demands.collect();
        self.demands_due = now + DEMANDS_GAP;
        if demands == self.demands {
            return;
        }
        self.demands = demands.clone();
        let terms = self.terms().map(|term| (term.shard, term.epoch)).collect();
        // The ring is closed only when the node stops.
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
            self.hand_on(term, ShardEvent::Tick).await;
        }
    }

    async fn open(&mut self, term: ShardTerm, image: ShardImage) {
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
        self.hand_workers(term).await;
    }

    /// Hands a shard the workers of its pools.
    async fn hand_workers(&mut self, term: ShardTerm) {
        let shards = self.settings.shards;
        let own = self.workers.iter();
        let own = own.filter(|worker| find_shard(&worker.pool, shards) == term.shard);
        let event = ShardEvent::Workers {
            entries: own.cloned().collect(),
            lives: Arc::clone(&self.lives),
        };
        self.hand_on(term, event).await;
    }

    async fn hand_on(&mut self, term: ShardTerm, event: ShardEvent) {
        if !self.owns(term) {
            return;
        }
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let Some(shard) = self.shards.get_mut(&term.shard) else {
            return;
        };
        for command in shard.handle(now, wall, event) {
            self.carry_out(term, command).await;
        }
    }

    async fn carry_out(&self, term: ShardTerm, command: ShardCommand) {
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
            tracing::error!(
                event,
                shard = term.shard,
                "a duty has ended; its orders are lost"
            );
        }
    }

    async fn answer(&mut self, request: NodeRequest) -> NodeResponse {
        let Some(shard) = self.shards.get(&request.shard()) else {
            return NodeResponse::NotOwner;
        };
        match request {
            NodeRequest::Status { job, account, .. } => {
                let scope = match &account {
                    Some(account) => QueryScope::Account(account),
                    None => QueryScope::Public,
                };
                match shard.job_status(&job, scope) {
                    JobAnswer::Known(status) => NodeResponse::Status(status),
                    JobAnswer::Unknown => NodeResponse::UnknownJob,
                }
            }
            // The duty that hears the questions answers this one itself.
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
                self.hand_on(term, ShardEvent::Surveyed(order)).await;
                let now = self.clock.now();
                match self.shards.get(&term.shard) {
                    Some(shard) => NodeResponse::Survey(shard.survey_report(now)),
                    None => NodeResponse::NotOwner,
                }
            }
            NodeRequest::Pending { queue, .. } => {
                NodeResponse::Pending(shard.pending(&queue) as u64)
            }
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
