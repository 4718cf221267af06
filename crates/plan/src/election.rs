//! Leader election for the planner role.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_pool::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::settings::PlanSettings;

/// Decides when this entry instance claims the planner role or renews it with a heartbeat.
#[derive(Debug)]
pub struct PlannerElection {
    random: SmallRng,
    last_role: Option<(PlannerTerm, LogOffset)>,
    last_progress: Instant,
    takeover_delay: Duration,
    last_read: Option<Instant>,
    last_proposal: Option<Instant>,
}

impl PlannerElection {
    /// Creates an election that has not observed the role yet.
    pub fn new(now: Instant, settings: &PlanSettings) -> Self {
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            last_role: None,
            last_progress: now,
            takeover_delay: Duration::ZERO,
            last_read: None,
            last_proposal: None,
        }
    }

    /// Records the role as read from the log by a request sent at `requested_at`.
    pub fn observe(
        &mut self,
        now: Instant,
        requested_at: Instant,
        role: &PlannerRole,
        settings: &PlanSettings,
    ) {
        self.last_read = self.last_read.max(Some(requested_at));
        let current = Some((role.term, role.last_record));
        if self.last_role != current {
            self.last_role = current;
            self.last_progress = now;
            self.last_proposal = None;
            let spread = self.random.random_range(0.0..1.0);
            self.takeover_delay = settings.takeover_spread.mul_f64(spread);
        }
    }

    /// Returns whether the last read of the role is recent enough to act on.
    pub fn is_fresh(&self, now: Instant, settings: &PlanSettings) -> bool {
        self.last_read
            .is_some_and(|requested_at| now < requested_at + settings.reading_validity)
    }

    /// Returns whether this entry instance holds the planner role.
    pub fn holds_role(&self, now: Instant, role: &PlannerRole, settings: &PlanSettings) -> bool {
        self.is_fresh(now, settings) && role.holder.as_ref() == Some(&settings.entry)
    }

    /// Returns the claim or heartbeat to propose now, if any.
    pub fn next_proposal(
        &mut self,
        now: Instant,
        role: &PlannerRole,
        settings: &PlanSettings,
    ) -> Option<PoolProposal> {
        if !self.is_fresh(now, settings) {
            return None;
        }
        let retry = self.last_proposal.map(|sent| sent + settings.step_timeout);
        if retry.is_some_and(|retry| now < retry) {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.last_progress);
        let holds_role = self.holds_role(now, role, settings);
        let is_due = if holds_role {
            elapsed >= settings.heartbeat_interval
        } else if role.holder.is_none() {
            elapsed >= self.takeover_delay
        } else {
            elapsed >= settings.takeover_timeout + self.takeover_delay
        };
        is_due.then(|| {
            self.last_proposal = Some(now);
            let term = role.term;
            if holds_role {
                PoolProposal::Heartbeat { term }
            } else {
                let holder = settings.entry.clone();
                PoolProposal::Claim { base: term, holder }
            }
        })
    }
}
