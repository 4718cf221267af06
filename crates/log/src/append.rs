//! The decision object that batches, paces and repeats a member's appends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::record::{ControlBatch, ControlProposal};
use crate::store::LogError;

/// Appends of the whole fleet in a second that its members keep to together.
pub const FLEET_APPENDS_PER_SECOND: u32 = 45;

/// Pace and bounds of an append batcher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AppendSettings {
    /// Proposals that may wait.
    pub max_pending: usize,
    /// Proposals in one record.
    pub max_batch: usize,
    /// Shortest time between two appends, however few members there are.
    pub min_interval: Duration,
    /// Longest pause after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest pause after any failure.
    pub max_backoff: Duration,
    /// Seed of the random part of the pauses.
    pub seed: u64,
}

/// Appends the proposals of one member in order, each once.
///
/// One record is under way at a time. Until its append has been answered it is sent again under the
/// same sequence, so that the fold takes it once however often it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendBatcher {
    settings: AppendSettings,
    author: Option<MemberKey>,
    sequence: RecordSequence,
    members: u32,
    pending: VecDeque<ControlProposal>,
    batch: Option<ControlBatch>,
    is_sent: bool,
    failures: u32,
    next_send: Option<Instant>,
}

/// What happened outside the batcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendEvent {
    /// A proposal is to be appended.
    Propose(ControlProposal),
    /// The process acts as this member from now on.
    ActAs(MemberKey),
    /// The fleet has so many members.
    MembersCounted(usize),
    /// The log answered that the batch was appended.
    Appended,
    /// The log refused the batch or did not answer.
    Failed(LogError),
    /// Time has passed.
    TimePassed,
}

/// What the batcher wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendCommand {
    /// Append the batch and report what became of it.
    Append(ControlBatch),
    /// So many proposals of an earlier incarnation were dropped; the fold would reject them.
    Dropped(usize),
}

impl Default for AppendSettings {
    fn default() -> Self {
        Self {
            max_pending: 1024,
            max_batch: 256,
            min_interval: Duration::from_millis(100),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(5),
            seed: 1,
        }
    }
}

impl AppendBatcher {
    /// Creates a batcher of a process that is no member yet; proposals wait until it is one.
    pub fn new(settings: AppendSettings) -> Self {
        Self {
            settings,
            author: None,
            sequence: 0,
            members: 1,
            pending: VecDeque::new(),
            batch: None,
            is_sent: false,
            failures: 0,
            next_send: None,
        }
    }

    /// Returns whether no further proposal may be given to it.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= self.settings.max_pending
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: AppendEvent) -> Vec<AppendCommand> {
        let mut commands = Vec::new();
        match event {
            AppendEvent::Propose(proposal) => self.pending.push_back(proposal),
            AppendEvent::ActAs(author) => commands.extend(self.act_as(author)),
            AppendEvent::MembersCounted(members) => self.members = members.max(1) as u32,
            AppendEvent::Appended => self.finish(now),
            AppendEvent::Failed(_) => self.pause(now),
            AppendEvent::TimePassed => {}
        }
        commands.extend(self.send(now));
        commands
    }

    /// Returns when the batcher wants [`AppendEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        let has_work = self.batch.is_some() || !self.pending.is_empty();
        let waits = has_work && !self.is_sent && self.author.is_some();
        self.next_send.filter(|_| waits)
    }

    /// Returns the time between two appends that keeps the fleet within its budget.
    fn interval(&self) -> Duration {
        let part = Duration::from_secs(1) * self.members / FLEET_APPENDS_PER_SECOND;
        part.max(self.settings.min_interval)
    }

    fn act_as(&mut self, author: MemberKey) -> Option<AppendCommand> {
        if self.author.as_ref() == Some(&author) {
            return None;
        }
        let is_first = self.author.replace(author).is_none();
        self.sequence = 0;
        let batch = self.batch.take();
        if is_first {
            return None;
        }
        let dropped = self.pending.len() + batch.map_or(0, |batch| batch.proposals.len());
        self.pending.clear();
        (dropped > 0).then_some(AppendCommand::Dropped(dropped))
    }

    fn finish(&mut self, now: Instant) {
        self.is_sent = false;
        self.batch = None;
        self.failures = 0;
        self.next_send = Some(now + self.interval());
    }

    /// Backs off, with jitter, so that members don't come back all at once.
    fn pause(&mut self, now: Instant) {
        self.is_sent = false;
        let bound = self.settings.initial_backoff * 2_u32.saturating_pow(self.failures);
        let bound = bound.min(self.settings.max_backoff);
        self.failures = (self.failures + 1).min(u32::BITS - 1);
        let mut random = SmallRng::seed_from_u64(self.settings.seed ^ u64::from(self.failures));
        let pause = bound.mul_f64(random.random_range(0.5..=1.0));
        self.next_send = Some(now + pause.max(self.interval()));
    }

    fn send(&mut self, now: Instant) -> Option<AppendCommand> {
        let too_early = self.next_send.is_some_and(|next| now < next);
        if self.is_sent || too_early {
            return None;
        }
        if self.batch.is_none() {
            self.batch = self.next_batch();
        }
        let batch = self.batch.clone()?;
        self.is_sent = true;
        Some(AppendCommand::Append(batch))
    }

    fn next_batch(&mut self) -> Option<ControlBatch> {
        let author = self.author.clone()?;
        if self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(self.settings.max_batch);
        self.sequence += 1;
        Some(ControlBatch {
            author,
            sequence: self.sequence,
            proposals: self.pending.drain(..count).collect(),
        })
    }
}
