//! The duty that runs the controllers of the node's shards.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::message::{ControlMessage, JournalMessage, OrderMessage, ShardTerm};
use crate::question::{NodeAnswer, NodeQuestion};
use crate::settings::NodeSettings;

/// Where the control duty's commands go.
pub struct ControlLinks {
    /// The journal duty.
    pub journal: RingSender<JournalMessage>,
    /// The orders duty.
    pub orders: RingSender<OrderMessage>,
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
    };
    loop {
        let Ok(message) = messages.recv_until(duty.wake_time()).await else {
            return;
        };
        match message {
            Some(message) => duty.take(message).await,
            None => duty.tick().await,
        }
    }
}

impl ControlDuty {
    /// Returns the time of the next tick on the clock of timers, which may stand still while the
    /// duty's own clock goes on.
    fn wake_time(&self) -> Option<Instant> {
        let now = self.clock.now();
        let due = self.shards.values().map(ShardController::next_deadline);
        let due = due.min()?;
        Some(Instant::now() + due.saturating_duration_since(now))
    }

    async fn take(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Config(config) => {
                self.config = Arc::clone(&config);
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
            ControlMessage::Lost(term) => {
                if self.owns(term) {
                    self.shards.swap_remove(&term.shard);
                }
            }
            ControlMessage::Release(term, reply) => {
                if self.owns(term)
                    && let Some(shard) = self.shards.swap_remove(&term.shard)
                {
                    // The journal duty waits for it; it may have given up.
                    _ = reply.offer(shard.release(self.clock.now()));
                }
            }
            ControlMessage::Shard(term, event) => self.hand_on(term, *event).await,
            ControlMessage::Question(question, reply) => {
                let answer = self.answer(question).await;
                // Whoever asked may have given up.
                _ = reply.offer(answer);
            }
        }
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
        let ControlLinks { journal, orders } = &self.links;
        let sent = match command {
            ShardCommand::Store { sequence, records } => {
                let message = JournalMessage::Store {
                    term,
                    sequence,
                    records,
                };
                journal.send(message).await
            }
            ShardCommand::Contested => journal.send(JournalMessage::Contested(term)).await,
            ShardCommand::Look(order) => orders.send(OrderMessage::Look(term, order)).await,
            ShardCommand::Start(order) => orders.send(OrderMessage::Start(term, order)).await,
            ShardCommand::Stop(order) => orders.send(OrderMessage::Stop(term, order)).await,
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

    async fn answer(&mut self, question: NodeQuestion) -> NodeAnswer {
        let Some(shard) = self.shards.get(&question.shard()) else {
            return NodeAnswer::NotOwner;
        };
        match question {
            NodeQuestion::Status { job, account, .. } => {
                let scope = match &account {
                    Some(account) => QuestionScope::Account(account),
                    None => QuestionScope::Public,
                };
                match shard.ask(&job, scope) {
                    JobAnswer::Known(status) => NodeAnswer::Status(status),
                    JobAnswer::Unknown => NodeAnswer::UnknownJob,
                }
            }
            NodeQuestion::Survey { vacate, .. } => {
                let term = term_of(shard);
                self.hand_on(term, ShardEvent::Vacate(vacate)).await;
                let now = self.clock.now();
                match self.shards.get(&term.shard) {
                    Some(shard) => NodeAnswer::Survey {
                        pools: shard.pool_loads(now),
                        clear: shard.clear_workers(now),
                    },
                    None => NodeAnswer::NotOwner,
                }
            }
            NodeQuestion::Pending { queue, .. } => {
                NodeAnswer::Pending(shard.pending(&queue) as u64)
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
