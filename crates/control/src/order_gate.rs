//! The last check of an order, by whoever sends it.

use std::collections::VecDeque;
use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;

use crate::message::{PollOrder, PollReport, StartOrder};

/// Tasks that are remembered. The answers that may wait for an owner at the same time report fewer.
const MAX_TASKS: usize = 4096;

/// Holds back what an order must not say or do any more.
///
/// An owner that lacks processor time decides by the answers that it has handled, while later ones wait
/// in its rings, and its orders wait in others. Whoever sends them has seen all answers. An answer holds a
/// start back only until the owner has handled it, as the owner may have a reason to start the task all
/// the same: the end of a run whose worker is gone does not count.
#[derive(Debug, Default)]
pub struct OrderGate {
    /// Last run of each task that was reported as done, and when it first was.
    done: IndexMap<TaskName, (RunNumber, Instant)>,
    /// The same tasks, in the order of their reports.
    order: VecDeque<TaskName>,
}

impl OrderGate {
    /// Remembers the tasks that a worker reports as done.
    pub fn record(&mut self, report: &PollReport, answered_at: Instant) {
        let done = report.finished.iter().filter(|end| end.end == RunEnd::Done);
        for end in done {
            let known = self.done.get_mut(&end.task);
            match known {
                Some((run, at)) if *run < end.run => (*run, *at) = (end.run, answered_at),
                Some(_) => {}
                None => self.remember(end.task.clone(), (end.run, answered_at)),
            }
        }
    }

    fn remember(&mut self, task: TaskName, report: (RunNumber, Instant)) {
        self.done.insert(task.clone(), report);
        self.order.push_back(task);
        if self.order.len() > MAX_TASKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.done.swap_remove(&oldest);
        }
    }

    /// Returns whether a start may be sent now: it has not waited for too long, and no answer that its
    /// owner had not handled says that its task is done, or the task starts again after each end.
    pub fn admits(&self, order: &StartOrder, now: Instant) -> bool {
        let told = self.done.get(&order.task);
        let unknown = told.is_some_and(|(_, at)| *at > order.decided_as_of);
        now < order.send_by && (order.long_running || !unknown)
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
