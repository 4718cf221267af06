//! Order in which jobs are scheduled.

use std::time::{Duration, Instant};

use pw_job::prelude::*;

use crate::config::QueueRule;

/// Scheduling rank of a job; the smallest is scheduled first.
///
/// Under overload, more work waits than the pool can run. In order of age alone, every job would
/// miss its objective, so jobs that can no longer meet it rank after those that can.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// The job can no longer meet its objective.
    pub late: bool,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Latest time to start the remaining work and still meet the objective.
    pub start_by: Instant,
}

/// Returns the terms of a job with `spec` under a queue's rule.
pub fn terms_of(spec: &JobSpec, rule: &QueueRule) -> JobTerms {
    JobTerms {
        attempts: rule.attempts,
        priority: rule.priority,
        objective: spec.critical_path().mul_f64(rule.stretch.max(1.0)) + rule.target_latency,
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
        ends.push(dependencies_end.unwrap_or_default() + duration);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the rank of a job that was accepted at `accepted_at` and whose critical path has the
/// estimated run time `remaining` left.
pub fn urgency(
    terms: &JobTerms,
    accepted_at: Instant,
    remaining: Duration,
    now: Instant,
) -> JobUrgency {
    let deadline = accepted_at + terms.objective;
    let start_by = deadline.checked_sub(remaining).unwrap_or(accepted_at);
    JobUrgency {
        late: now > start_by,
        priority: terms.priority,
        start_by,
    }
}
