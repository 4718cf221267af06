//! The process of an owner, which may lag or get no CPU time at all.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;

/// An owner of the shard, with the events and commands that wait in its process.
pub struct OwnerProcess {
    pub controller: ShardController,
    /// Time from the arrival of an event until the owner handles it.
    pub event_lag: Duration,
    /// Time that a command waits before it leaves the process.
    pub command_lag: Duration,
    /// The process gets no CPU time.
    pub frozen: bool,
    /// The process was frozen before.
    pub thawed: bool,
    /// Workers that the owner does not reach.
    pub cut_off: HashSet<WorkerId>,
    /// Tasks that are done according to the answers that have reached the process.
    told_done: HashSet<TaskName>,
    /// Checks the starts when they leave the process.
    pub gate: OrderGate,
    inbox: VecDeque<(Instant, ShardEvent)>,
    outbox: VecDeque<(Instant, ShardCommand)>,
}

impl OwnerProcess {
    pub fn new(controller: ShardController, cut_off: HashSet<WorkerId>) -> Self {
        Self {
            controller,
            event_lag: Duration::ZERO,
            command_lag: Duration::ZERO,
            frozen: false,
            thawed: false,
            cut_off,
            told_done: HashSet::new(),
            gate: OrderGate::default(),
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
        }
    }

    pub fn epoch(&self) -> OwnerEpoch {
        self.controller.epoch()
    }

    pub fn receive(&mut self, mut event: ShardEvent, now: Instant) {
        if let ShardEvent::Polled { answered_at, .. } = &mut event {
            *answered_at = now;
        }
        if let ShardEvent::Polled {
            result: Ok(report), ..
        } = &event
        {
            let done = report.finished.iter().filter(|end| end.end == RunEnd::Done);
            self.told_done.extend(done.map(|end| end.task.clone()));
            self.gate.record(report, now);
        }
        self.inbox.push_back((now, event));
    }

    /// Returns whether a tick is due and none is waiting.
    pub fn needs_tick(&self, now: Instant) -> bool {
        let mut waiting = self.inbox.iter();
        self.controller.next_deadline() <= now
            && !waiting.any(|(_, event)| matches!(event, ShardEvent::Tick))
    }

    /// Takes the next event to handle, in the order of arrival.
    pub fn next_event(&mut self, now: Instant) -> Option<ShardEvent> {
        let (arrived, _) = self.inbox.front()?;
        let due = !self.frozen && now >= *arrived + self.event_lag;
        due.then(|| self.inbox.pop_front())?.map(|(_, event)| event)
    }

    /// Returns whether an answer that has reached the process, handled or not, says that a task is
    /// done.
    pub fn is_told_done(&self, task: &TaskName) -> bool {
        self.told_done.contains(task)
    }

    pub fn queue_command(&mut self, command: ShardCommand, now: Instant) {
        self.outbox.push_back((now, command));
    }

    /// Takes the next command to send, in the order of the controller.
    pub fn next_command(&mut self, now: Instant) -> Option<ShardCommand> {
        let (emitted, _) = self.outbox.front()?;
        let due = !self.frozen && now >= *emitted + self.command_lag;
        due.then(|| self.outbox.pop_front())?
            .map(|(_, command)| command)
    }
}
