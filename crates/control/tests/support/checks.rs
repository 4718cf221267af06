//! The checks that each start, each acknowledged run end and each time step have to pass.

use std::collections::HashSet;
use std::time::Instant;

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;

use super::{ATTEMPTS, TestCluster};

/// Run end that was acknowledged to its worker before a lapse of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcknowledgedEnd {
    pub task: TaskName,
    pub run: RunNumber,
    pub end: RunEnd,
    pub ended_at: Instant,
}

impl TestCluster {
    /// Checks a start that an owner without delay sends.
    pub(super) fn check_prompt_start(&self, epoch: OwnerEpoch, order: &StartOrder) {
        let task = &order.task;
        let owner = self.owners.iter().find(|owner| owner.epoch() == epoch);
        let delayed = owner.is_none_or(|owner| {
            !owner.event_lag.is_zero() || !owner.command_lag.is_zero() || owner.thawed
        });
        if delayed || epoch != self.epoch {
            return;
        }
        let stored = self
            .images
            .get(&task.job)
            .and_then(|state| state.task(task.occurrence, task.step, task.index));
        let stored = stored.is_some_and(|t| t.last_run == order.run && t.placement().is_some());
        assert!(stored, "{task} started before its placement was stored");
        assert!(
            !self.done.contains(task),
            "{task} started after it was done"
        );
    }

    /// Records a run that a worker has begun.
    pub(super) fn record_start(&mut self, order: &StartOrder, sent_at: Instant) {
        let task = &order.task;
        let started = (order.worker.clone(), order.run, self.now);
        let starts = self.starts.entry(task.clone()).or_default();
        starts.push(started);
        let owner = self.owners.iter();
        let mut owner = owner.filter(|owner| owner.epoch() == order.epoch);
        let told = owner.any(|owner| owner.is_told_done(task));
        assert!(
            !told || self.step_of(task).long_running,
            "{task} started although its owner was told that it is done"
        );
        assert!(
            !self.done.contains(task),
            "{task} started after it was done"
        );
        self.check_attempts(task);
        let worker = &self.workers[&order.worker];
        // The owner of an order that is carried out late could not know a later capacity.
        assert!(
            worker.used().fits_into(&worker.binding_capacity(sent_at)),
            "the start of {task} exceeds the capacity of {}",
            order.worker
        );
    }

    /// Records a run end that counts, because it was acknowledged before the lease expired.
    pub(super) fn record_end(&mut self, acknowledged: AcknowledgedEnd) {
        let task = acknowledged.task.clone();
        self.trace(|| {
            format!(
                "end {} of {task} run {} counts",
                acknowledged.end, acknowledged.run
            )
        });
        let long_running = self.step_of(&task).long_running;
        if acknowledged.end == RunEnd::Done && !long_running {
            let starts = self.starts.get(&task).into_iter().flatten();
            let later = starts.filter(|(_, _, at)| *at > acknowledged.ended_at);
            assert_eq!(
                later.count(),
                0,
                "{task} started again although its end counts"
            );
            self.done.insert(task.clone());
        }
        let ends = self.acknowledged_ends.entry(task.clone()).or_default();
        if !ends.contains(&acknowledged) {
            ends.push(acknowledged);
        }
        self.check_attempts(&task);
    }

    /// Checks that no run of a task started after its last attempt had failed.
    fn check_attempts(&self, task: &TaskName) {
        let ends = self.acknowledged_ends.get(task).into_iter().flatten();
        let mut failed: Vec<Instant> = ends
            .filter(|end| end.end == RunEnd::Failed)
            .map(|end| end.ended_at)
            .collect();
        failed.sort();
        let Some(last) = failed.get(ATTEMPTS as usize - 1) else {
            return;
        };
        if self.step_of(task).long_running {
            return;
        }
        let mut starts = self.starts.get(task).into_iter().flatten();
        assert!(
            starts.all(|(_, _, at)| at <= last),
            "{task} started after its last attempt"
        );
    }

    pub(super) fn check_invariants(&self) {
        let mut active: HashSet<&TaskName> = HashSet::new();
        for worker in self.workers.values().filter(|worker| !worker.crashed) {
            for name in worker.running.keys() {
                assert!(active.insert(name), "{name} runs twice at the same time");
                assert!(!self.done.contains(name), "{name} runs after it was done");
            }
            // A capacity that shrinks ends no run; each start is checked against it.
            assert!(
                worker.was_resized() || worker.used().fits_into(&worker.entry.capacity),
                "{} exceeds its capacity",
                worker.entry.id
            );
        }
    }
}
