//! Batching, rate limiting and retry of a member's appends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::record::{ControlBatch, ControlProposal};
use crate::store::LogError;

/// Maximum rate of appends, shared by all members of the fleet.
pub const FLEET_APPENDS_PER_SECOND: u32 = 45;

/// Settings of an [`AppendBatcher`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AppendSettings {
    /// Number of pending proposals from which the batcher reports that it is full.
    pub max_pending: usize,
    /// Maximum number of proposals in one record.
    pub max_batch: usize,
    /// Minimum time between two appends, regardless of the number of members.
    pub min_interval: Duration,
    /// Maximum backoff after the first failure; it doubles with each consecutive failure.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Seed of the jitter in the backoff.
    pub seed: u64,
}

/// Appends the proposals of one member in order, each with effect only once.
///
/// At most one batch is in flight. It is retried with the same sequence number until the append is
/// acknowledged, so the fold applies it only once even if it is appended several times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendBatcher {
    settings: AppendSettings,
    author: Option<MemberKey>,
    sequence: RecordSequence,
    members: u32,
    pending: VecDeque<ControlProposal>,
    batch: Option<ControlBatch>,
    in_flight: bool,
    failures: u32,
    next_send: Option<Instant>,
}

/// Input of an [`AppendBatcher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendEvent {
    /// Request to append a proposal.
    Propose(ControlProposal),
    /// The process acts as this member from now on.
    ActAs(MemberKey),
    /// Current number of members in the fleet.
    MembersCounted(usize),
    /// The log acknowledged the append of the batch.
    Appended,
    /// The append of the batch failed or was not acknowledged.
    Failed(LogError),
    /// A deadline has passed.
    TimePassed,
}

/// Action requested by an [`AppendBatcher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendCommand {
    /// Append the batch and report the result.
    Append(ControlBatch),
    /// Number of dropped proposals of an earlier incarnation, which the fold would reject.
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
    /// Creates a batcher of a process that is not a member yet; proposals wait until it is one.
    pub fn new(settings: AppendSettings) -> Self {
        Self {
            settings,
            author: None,
            sequence: 0,
            members: 1,
            pending: VecDeque::new(),
            batch: None,
            in_flight: false,
            failures: 0,
            next_send: None,
        }
    }

    /// Returns whether callers must not submit further proposals.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= self.settings.max_pending
    }

    /// Handles one event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: AppendEvent) -> Vec<AppendCommand> {
        let mut commands = Vec::new();
        match event {
            AppendEvent::Propose(proposal) => self.pending.push_back(proposal),
            AppendEvent::ActAs(author) => commands.extend(self.act_as(author)),
            AppendEvent::MembersCounted(members) => self.members = members.max(1) as u32,
            AppendEvent::Appended => self.complete_batch(now),
            AppendEvent::Failed(_) => self.back_off(now),
            AppendEvent::TimePassed => {}
        }
        commands.extend(self.send(now));
        commands
    }

    /// Returns the time by which [`AppendEvent::TimePassed`] should be sent.
    pub fn next_deadline(&self) -> Option<Instant> {
        let has_work = self.batch.is_some() || !self.pending.is_empty();
        let is_waiting = has_work && !self.in_flight && self.author.is_some();
        self.next_send.filter(|_| is_waiting)
    }

    /// Returns the time between two appends that keeps the fleet within its append rate.
    fn interval(&self) -> Duration {
        let interval = Duration::from_secs(1) * self.members / FLEET_APPENDS_PER_SECOND;
        interval.max(self.settings.min_interval)
    }

    /// Switches to another member; drops proposals of the earlier incarnation, if there was one.
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

    fn complete_batch(&mut self, now: Instant) {
        self.in_flight = false;
        self.batch = None;
        self.failures = 0;
        self.next_send = Some(now + self.interval());
    }

    /// Backs off with jitter, so that the members don't retry all at once.
    fn back_off(&mut self, now: Instant) {
        self.in_flight = false;
        let bound = self.settings.initial_backoff * 2_u32.saturating_pow(self.failures);
        let bound = bound.min(self.settings.max_backoff);
        self.failures = (self.failures + 1).min(u32::BITS - 1);
        let mut random = SmallRng::seed_from_u64(self.settings.seed ^ u64::from(self.failures));
        let backoff = bound.mul_f64(random.random_range(0.5..=1.0));
        self.next_send = Some(now + backoff.max(self.interval()));
    }

    fn send(&mut self, now: Instant) -> Option<AppendCommand> {
        let too_early = self.next_send.is_some_and(|next| now < next);
        if self.in_flight || too_early {
            return None;
        }
        if self.batch.is_none() {
            self.batch = self.next_batch();
        }
        let batch = self.batch.clone()?;
        self.in_flight = true;
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
