//! Decides whether this entry instance plans, and takes over from a planner that is silent.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_pool::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::settings::PlanSettings;

/// Decides when this entry instance claims the planner role.
#[derive(Debug)]
pub struct PlannerElection {
    random: SmallRng,
    known: Option<(PlannerTerm, LogOffset)>,
    heard: Instant,
    wait: Duration,
    fresh: Option<Instant>,
    sent: Option<Instant>,
}

impl PlannerElection {
    /// Creates an election that has read nothing yet.
    pub fn new(now: Instant, settings: &PlanSettings) -> Self {
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            known: None,
            heard: now,
            wait: Duration::ZERO,
            fresh: None,
            sent: None,
        }
    }

    /// Takes a reading of the log that was sent at `requested_at`.
    pub fn read(
        &mut self,
        now: Instant,
        requested_at: Instant,
        role: &PlannerRole,
        settings: &PlanSettings,
    ) {
        self.fresh = self.fresh.max(Some(requested_at));
        let known = Some((role.term, role.heard));
        if self.known != known {
            self.known = known;
            self.heard = now;
            self.sent = None;
            let spread = self.random.random_range(0.0..1.0);
            self.wait = settings.takeover_spread.mul_f64(spread);
        }
    }

    /// Returns whether the role was read lately enough to act on it.
    pub fn is_fresh(&self, now: Instant, settings: &PlanSettings) -> bool {
        self.fresh
            .is_some_and(|requested_at| now < requested_at + settings.reading_validity)
    }

    /// Returns whether this entry instance plans.
    pub fn holds(&self, now: Instant, role: &PlannerRole, settings: &PlanSettings) -> bool {
        self.is_fresh(now, settings) && role.holder.as_ref() == Some(&settings.entry)
    }

    /// Returns the claim or the heartbeat that is due.
    pub fn due(
        &mut self,
        now: Instant,
        role: &PlannerRole,
        settings: &PlanSettings,
    ) -> Option<PoolProposal> {
        if !self.is_fresh(now, settings) {
            return None;
        }
        let retry = self.sent.map(|sent| sent + settings.step_timeout);
        if retry.is_some_and(|retry| now < retry) {
            return None;
        }
        let silence = now.saturating_duration_since(self.heard);
        let holds = self.holds(now, role, settings);
        let due = if holds {
            silence >= settings.heartbeat_interval
        } else if role.holder.is_none() {
            silence >= self.wait
        } else {
            silence >= settings.takeover_timeout + self.wait
        };
        due.then(|| {
            self.sent = Some(now);
            let term = role.term;
            if holds {
                PoolProposal::Heartbeat { term }
            } else {
                let holder = settings.entry.clone();
                PoolProposal::Claim { base: term, holder }
            }
        })
    }
}
