//! The last check of an order, by whoever sends it.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::IndexSet;
use pw_job::prelude::*;

use crate::message::{PollOrder, PollReport, StartOrder};

/// Tasks that are remembered. The answers that may wait for an owner at the same time report fewer.
const MAX_TASKS: usize = 4096;

/// Holds back what an order must not say or do any more.
///
/// An owner that lacks processor time decides by the answers that it has handled, while later ones wait
/// in its rings, and its orders wait in others. Whoever sends them has seen all answers.
#[derive(Debug, Default)]
pub struct OrderGate {
    /// Tasks that are done according to the latest answers of workers.
    done: IndexSet<TaskName>,
    /// The same, in the order of their reports.
    order: VecDeque<TaskName>,
}

impl OrderGate {
    /// Remembers the tasks that a worker reports as done.
    pub fn record(&mut self, report: &PollReport) {
        let done = report.finished.iter().filter(|end| end.end == RunEnd::Done);
        for end in done {
            if !self.done.insert(end.task.clone()) {
                continue;
            }
            self.order.push_back(end.task.clone());
            if self.order.len() > MAX_TASKS
                && let Some(oldest) = self.order.pop_front()
            {
                self.done.swap_remove(&oldest);
            }
        }
    }

    /// Returns whether a start may be sent now: it has not waited for too long, and its task is not
    /// done, or starts again after each end.
    pub fn admits(&self, order: &StartOrder, now: Instant) -> bool {
        now < order.send_by && (order.long_running || !self.done.contains(&order.task))
    }

    /// Returns a poll as it may be sent now: without its acknowledgement if it may reach a later life of
    /// its worker.
    pub fn current_poll(&self, order: PollOrder, now: Instant) -> PollOrder {
        if now < order.acknowledge_by {
            return order;
        }
        PollOrder {
            acknowledged: 0,
            ..order
        }
    }
}
