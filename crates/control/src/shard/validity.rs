//! Validity of what an owner knows: it acts only by an ownership and inputs that are recent enough.
//!
//! Each of them is dated by when it was requested, so a lag of the owner counts towards its age.

use std::time::{Duration, Instant};

use super::ShardController;
use crate::message::{ShardCommand, ShardInput};

/// Minimum time between two checks of the ownership. All workers of a pool reject an earlier owner
/// at about the same time, and each check is a request to the store.
const OWNERSHIP_CHECK_GAP: Duration = Duration::from_secs(1);

impl ShardController {
    /// Returns whether the ownership was confirmed recently enough to send orders that renew leases.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        now < self.confirmed_at + self.settings.ownership_validity
    }

    /// Returns the longest lease that may be granted now, so that the next owner knows when the last
    /// lease of this one ends.
    pub(super) fn longest_grant(&self, now: Instant) -> Duration {
        let horizon = self.confirmed_at + self.settings.lease_horizon;
        let left = horizon.saturating_duration_since(now);
        left.min(self.settings.lease)
    }

    /// Records that this owner owned the shard at `at`.
    pub(super) fn record_confirmation(&mut self, at: Instant, now: Instant) {
        self.placement_needed |= now >= self.start_deadline();
        self.confirmed_at = at.max(self.confirmed_at);
    }

    /// Records that the changes of an input up to `at` are known.
    pub(super) fn record_read(&mut self, input: ShardInput, at: Instant, now: Instant) {
        self.placement_needed |= now >= self.start_deadline();
        let read = self.inputs_read.entry(input).or_insert(at);
        *read = at.max(*read);
    }

    /// Returns until when tasks may be started by what this owner knows.
    pub(super) fn start_deadline(&self) -> Instant {
        let settings = &self.settings;
        let limits = [
            (ShardInput::Config, settings.max_config_age),
            (ShardInput::Workers, settings.max_worker_age),
            (ShardInput::Submissions, settings.max_submission_age),
        ];
        let deadlines = limits.map(|(input, limit)| {
            let read = self.inputs_read.get(&input);
            read.map_or(self.taken_over_at, |at| *at + limit)
        });
        let confirmed = self.confirmed_at + settings.ownership_validity;
        deadlines.into_iter().fold(confirmed, Instant::min)
    }

    /// Requests a check of the ownership, because a worker reported a later owner.
    pub(super) fn check_ownership(&mut self, now: Instant) {
        if self
            .ownership_checked_at
            .is_none_or(|at| now >= at + OWNERSHIP_CHECK_GAP)
        {
            self.ownership_checked_at = Some(now);
            self.commands.push(ShardCommand::CheckOwnership);
        }
    }

    /// Returns whether this owner knows the submissions up to recently and still owns the shard.
    pub fn knows_submissions(&self, now: Instant) -> bool {
        let read = self.inputs_read.get(&ShardInput::Submissions);
        let limit = self.settings.max_submission_age;
        read.is_some_and(|at| now < *at + limit) && self.is_confirmed(now)
    }
}
