//! Terms of jobs, and when they have to start to meet their objectives.

use std::time::{Duration, Instant};

use pw_job::prelude::*;

use crate::config::QueueRule;

/// Longest objective that is told apart from longer ones; a point in time can't be much later.
const MAX_OBJECTIVE: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// Returns the terms of a job with `spec` under a queue's rule.
pub fn terms_of(spec: &JobSpec, rule: &QueueRule) -> JobTerms {
    let stretched = spec.critical_path().as_secs_f64() * rule.stretch.max(1.0);
    let stretched = Duration::try_from_secs_f64(stretched).unwrap_or(Duration::MAX);
    JobTerms {
        attempts: rule.attempts,
        priority: rule.priority,
        objective: stretched.saturating_add(rule.target_latency),
    }
}

/// Returns the estimated run time left on the critical path of an occurrence.
pub fn remaining_critical_path(spec: &JobSpec, occurrence: &OccurrenceState) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let dependencies_end = step.depends_on.iter().map(|on| ends[*on as usize]).max();
        let duration = if occurrence.step_done(number) {
            Duration::ZERO
        } else {
            step.estimate
        };
        ends.push(
            dependencies_end
                .unwrap_or_default()
                .saturating_add(duration),
        );
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the latest time to start the remaining work of a job and still meet its objective, if it
/// was accepted at `accepted_at` and its critical path has the estimated run time `remaining` left.
pub fn latest_start(terms: &JobTerms, accepted_at: Instant, remaining: Duration) -> Instant {
    let deadline = accepted_at + terms.objective.min(MAX_OBJECTIVE);
    deadline.checked_sub(remaining).unwrap_or(accepted_at)
}
