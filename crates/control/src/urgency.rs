//! Which job's tasks go first.

use std::time::{Duration, Instant};

use pw_job::prelude::*;

use crate::config::QueueRule;

/// Rank of a job; the smallest goes first.
///
/// In a surge more work waits than the pool holds. Served by age alone, every job would miss its
/// objective; so a job that can't meet it any more goes after those that can.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// It can't meet its objective any more.
    pub late: bool,
    /// Rank of its queue.
    pub priority: u32,
    /// When the rest of it has to start at the latest.
    pub start_by: Instant,
}

/// Returns the rules of a job of `spec` on a queue.
pub fn terms_of(spec: &JobSpec, rule: &QueueRule) -> JobTerms {
    JobTerms {
        attempts: rule.attempts,
        priority: rule.priority,
        objective: spec.critical_path().mul_f64(rule.stretch.max(1.0)) + rule.target_latency,
    }
}

/// Returns the declared run time that is left on the longest chain of an occurrence.
pub fn remaining_critical_path(spec: &JobSpec, occurrence: &OccurrenceState) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().map(|on| ends[*on as usize]).max();
        let own = if occurrence.step_done(number) {
            Duration::ZERO
        } else {
            step.estimate
        };
        ends.push(before.unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the rank of a job that arrived at `arrived` and has `left` of its chain before it.
pub fn urgency(terms: &JobTerms, arrived: Instant, left: Duration, now: Instant) -> JobUrgency {
    let deadline = arrived + terms.objective;
    let start_by = deadline.checked_sub(left).unwrap_or(arrived);
    JobUrgency {
        late: now > start_by,
        priority: terms.priority,
        start_by,
    }
}
