//! The network between owners and workers, which may delay or lose orders and their answers.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;

use super::answers::polled;
use super::{ROUND_TRIP, TestCluster};

/// Time until an owner gives up an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

/// What the network does with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFate {
    Delivered,
    /// The owner gets no answer, and the worker carries the order out after this time.
    Late(Duration),
    /// The owner gets no answer, and the order never reaches the worker.
    Lost,
    /// The order does not leave the process of the owner.
    NotSent,
}

/// Decides the fate of each order.
pub type FatePolicy = Box<dyn FnMut(&ShardCommand) -> OrderFate>;

/// An order that a worker will carry out although its owner gave it up.
pub(super) struct LateOrder {
    at: Instant,
    sent_at: Instant,
    epoch: OwnerEpoch,
    command: ShardCommand,
}

impl TestCluster {
    /// Sends an order to its worker.
    pub(super) fn send_order(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        let mut owners = self.owners.iter();
        let owner = owners.find(|owner| owner.epoch() == epoch);
        let gate = owner.map(|owner| &owner.gate);
        let command = match (command, gate) {
            (ShardCommand::Start(order), Some(gate)) if !gate.admits(&order, self.now) => {
                return self.refuse_to_send(epoch, ShardCommand::Start(order));
            }
            (ShardCommand::Poll(order), Some(gate)) => {
                ShardCommand::Poll(gate.current_poll(order, self.now))
            }
            (command, _) => command,
        };
        match (self.order_fate)(&command) {
            OrderFate::Delivered => self.carry_out(epoch, command),
            OrderFate::Late(delay) => {
                let at = self.now + delay;
                let late = LateOrder {
                    at,
                    sent_at: self.now,
                    epoch,
                    command: command.clone(),
                };
                self.late_orders.push(late);
                self.give_up(epoch, command);
            }
            OrderFate::Lost => self.give_up(epoch, command),
            OrderFate::NotSent => self.refuse_to_send(epoch, command),
        }
    }

    /// Keeps an order in the process of its owner.
    fn refuse_to_send(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        match command {
            ShardCommand::Start(order) => {
                let outcome = StartOutcome::NotSent;
                let event = ShardEvent::Started { order, outcome };
                self.reply(epoch, ROUND_TRIP, None, event);
            }
            command => self.give_up(epoch, command),
        }
    }

    /// Carries out the late orders that are due.
    pub(super) fn deliver_late_orders(&mut self) {
        let now = self.now;
        let orders = std::mem::take(&mut self.late_orders);
        let (due, later): (Vec<_>, Vec<_>) = orders.into_iter().partition(|late| late.at <= now);
        self.late_orders = later;
        for late in due {
            let LateOrder {
                sent_at,
                epoch,
                command,
                ..
            } = late;
            match command {
                ShardCommand::Poll(order) if self.reaches(epoch, &order.worker) => {
                    self.trace(|| {
                        let (worker, ago, life) = (&order.worker, now - sent_at, order.life);
                        format!("late poll of {worker}, sent {ago:?} ago to life {life:?}")
                    });
                    _ = self.apply_poll(&order);
                }
                ShardCommand::Start(order) if self.reaches(epoch, &order.worker) => {
                    self.trace(|| {
                        let (task, run, worker) = (&order.task, order.run, &order.worker);
                        let (ago, life) = (now - sent_at, order.life);
                        format!("late start of {task} run {run} on {worker}, sent {ago:?} ago to life {life}")
                    });
                    self.apply_start(&order, sent_at);
                }
                ShardCommand::Stop(order) if self.reaches(epoch, &order.worker) => {
                    _ = self.apply_stop(&order);
                }
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        let worker = match &command {
            ShardCommand::Poll(order) => &order.worker,
            ShardCommand::Start(order) => &order.worker,
            ShardCommand::Stop(order) => &order.worker,
            ShardCommand::Pace(order) => &order.worker,
            _ => return,
        };
        if !self.reaches(epoch, worker) {
            return self.give_up(epoch, command);
        }
        match command {
            ShardCommand::Poll(order) => {
                let (wait, result) = match self.apply_poll(&order) {
                    // `advance_workers` fills in the report when the wait is over or a run has
                    // ended.
                    Ok(()) => (order.wait, Ok(PollReport::default())),
                    Err(fault) => (Duration::ZERO, Err(fault)),
                };
                let life = self.workers[&order.worker].entry.life;
                let event = polled(order, result, self.now);
                self.reply(epoch, wait + ROUND_TRIP, Some(life), event);
            }
            ShardCommand::Start(order) => {
                self.check_prompt_start(epoch, &order);
                let outcome = match self.apply_start(&order, self.now) {
                    _ if self.workers[&order.worker].drops_start_answers => {
                        StartOutcome::Unanswered
                    }
                    outcome => outcome,
                };
                let event = ShardEvent::Started { order, outcome };
                self.reply(epoch, ROUND_TRIP, None, event);
            }
            ShardCommand::Stop(order) => {
                let result = self.apply_stop(&order);
                let event = ShardEvent::Stopped { order, result };
                self.reply(epoch, ROUND_TRIP, None, event);
            }
            ShardCommand::Pace(order) => {
                let worker = &mut self.workers[&order.worker];
                worker.paces.insert(order.task.clone(), order.percent);
                let result = Ok(());
                let event = ShardEvent::Paced { order, result };
                self.reply(epoch, ROUND_TRIP, None, event);
            }
            _ => {}
        }
    }

    /// Lets an order time out at its owner.
    fn give_up(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        let fault = CallFault::Unanswered;
        let (wait, event) = match command {
            ShardCommand::Poll(order) => {
                let result = Err(fault);
                (order.wait, polled(order, result, self.now))
            }
            ShardCommand::Start(order) => {
                let outcome = StartOutcome::Unanswered;
                (Duration::ZERO, ShardEvent::Started { order, outcome })
            }
            ShardCommand::Stop(order) => {
                let result = Err(fault);
                (Duration::ZERO, ShardEvent::Stopped { order, result })
            }
            ShardCommand::Pace(order) => {
                let result = Err(fault);
                (Duration::ZERO, ShardEvent::Paced { order, result })
            }
            _ => return,
        };
        self.reply(epoch, wait + ORDER_TIMEOUT, None, event);
    }

    /// Returns whether the orders of an owner reach a worker.
    fn reaches(&self, epoch: OwnerEpoch, id: &WorkerId) -> bool {
        let cut_off = self
            .owners
            .iter()
            .any(|owner| owner.epoch() == epoch && owner.cut_off.contains(id));
        let worker = self.workers.get(id);
        !cut_off && worker.is_some_and(|worker| !worker.unreachable && !worker.crashed)
    }
}
