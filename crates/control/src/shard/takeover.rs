//! Takeover of a shard: the jobs, runs and leases of its earlier owners.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::{JobRecord, ShardController};
use crate::message::ShardImage;
use crate::run::{RunPhase, RunRecord};
use crate::worker::{WorkerEntry, WorkerPhase, WorkerRecord};

impl ShardController {
    pub(super) fn load(&mut self, image: ShardImage, now: Instant, wall: SystemTime) {
        let mut states: IndexMap<JobId, JobState> = image.states.into_iter().collect();
        states.retain(|job, _| !image.unreadable.contains(job));
        self.unreadable = image.unreadable;
        let decided: IndexSet<JobId> = states.keys().cloned().collect();
        let mut rerouted: IndexMap<JobId, _> = image.rerouted.into_iter().collect();
        rerouted.retain(|job, _| !states.contains_key(job));
        for (job, record) in image.submissions {
            if self.unreadable.contains(&job) || rerouted.contains_key(&job) {
                continue;
            }
            let state = states.swap_remove(&job).unwrap_or_default();
            self.inherit_runs(&job, &record, &state, now);
            let record = JobRecord::new(record, state, now, wall);
            self.changed_jobs.insert(job.clone());
            self.jobs.insert(job, record);
        }
        for (job, record) in rerouted {
            self.forward(job, record, now);
        }
        for job in image.cancelled {
            self.cancel(&job, now);
        }
        for (job, limit) in image.cancelled_before {
            // The previous owner applied it, or found the submission to be later.
            if !decided.contains(&job) {
                self.cancel_before(&job, limit, now);
            }
        }
        // The previous owner has deleted the submissions, but not the states yet.
        for (job, _) in states {
            self.store_queue.remove(job);
        }
        self.inherit_leases(image.leases.as_ref(), now);
    }

    /// Sets the time by which the leases of earlier owners have expired.
    ///
    /// An owner that released the shard stored the remaining time of each lease. The leases of an
    /// owner that failed end within the horizon of its last confirmation of ownership, which
    /// preceded this takeover.
    fn inherit_leases(&mut self, released: Option<&IndexMap<WorkerId, Duration>>, now: Instant) {
        let settings = &self.settings;
        let corrected = |left: Duration| left.div_f64(1.0 - settings.clock_drift);
        for (id, worker) in self.workers.iter_mut() {
            let left = match released {
                Some(leases) => leases.get(id).copied().unwrap_or(settings.lease),
                None => settings.lease_horizon,
            };
            worker.inherited_lease_end = now + corrected(left);
        }
    }

    /// Returns the longest remaining lease time of each worker with runs, for the next owner.
    pub fn remaining_leases(&self, now: Instant) -> IndexMap<WorkerId, Duration> {
        let drift = self.settings.clock_drift;
        let busy = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.runs.is_empty());
        let leases = busy.map(|(id, worker)| {
            let expiry = worker.latest_lease_end(drift);
            (id.clone(), expiry.saturating_duration_since(now))
        });
        leases.collect()
    }

    /// Adds the runs that an earlier owner placed.
    fn inherit_runs(
        &mut self,
        job: &JobId,
        record: &SubmissionRecord,
        state: &JobState,
        now: Instant,
    ) {
        for occurrence in &state.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let Some(placement) = task.placement() else {
                        continue;
                    };
                    let name = TaskName {
                        job: job.clone(),
                        occurrence: occurrence.number,
                        step: step as u32,
                        index: index as u32,
                    };
                    let position = (occurrence.number, name.step, name.index);
                    let run = RunRecord {
                        solo: state.is_suspected(position),
                        ..self.run_record(record, step, task.last_run, RunPhase::Inherited, now)
                    };
                    if let Some(account) = &run.account {
                        self.budget.reserve(account, &run.size);
                    }
                    let worker = self.workers.get_or_insert_with(&placement.worker, || {
                        unlisted_worker(&record.pool, placement, now)
                    });
                    worker.add_run(name, run);
                }
            }
        }
    }
}

/// Creates the record of a worker that is known only from a stored placement.
fn unlisted_worker(pool: &PoolId, placement: &TaskPlacement, now: Instant) -> WorkerRecord {
    let life = placement.life;
    let entry = WorkerEntry {
        id: placement.worker.clone(),
        pool: pool.clone(),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        zone: ZoneId::from(""),
        rack: None,
        labels: Vec::new(),
        capacity: ResourceSize::default(),
        phase: WorkerPhase::Draining,
        life,
        machine: placement.machine.clone(),
    };
    let mut record = WorkerRecord::new(entry, 0, now);
    record.listed = false;
    record.life = Some(life);
    record
}
