//! Workers of a shard, with indexes of what is due for them.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

use crate::worker::WorkerRecord;

/// Workers by name. A mutable borrow marks the worker as changed, and [`refresh`](Self::refresh)
/// indexes the changed ones again, so that an event visits no others.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    records: IndexMap<WorkerId, WorkerRecord>,
    changed: Vec<WorkerId>,
    /// Due times of the next polls.
    polls: BTreeSet<(Instant, WorkerId)>,
    /// Workers with runs whose stop is not acknowledged.
    stopping: IndexSet<WorkerId>,
    /// Workers with runs that end once their leases have expired, unless they answer.
    unreachable: IndexSet<WorkerId>,
    /// Workers that need no further tracking.
    gone: IndexSet<WorkerId>,
}

/// Number of records that a refresh has visited.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RefreshCount {
    pub workers: u64,
    pub runs: u64,
}

impl WorkerTable {
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerRecord> {
        self.records.get(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.records.iter()
    }

    pub fn values(&self) -> impl Iterator<Item = &WorkerRecord> {
        self.records.values()
    }

    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerRecord> {
        let record = self.records.get_mut(id)?;
        mark_changed(&mut self.changed, id, record);
        Some(record)
    }

    /// Returns all workers and marks them as changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&WorkerId, &mut WorkerRecord)> {
        let changed = &mut self.changed;
        self.records.iter_mut().map(|(id, record)| {
            mark_changed(changed, id, record);
            (id, record)
        })
    }

    pub fn get_or_insert_with(
        &mut self,
        id: &WorkerId,
        record: impl FnOnce() -> WorkerRecord,
    ) -> &mut WorkerRecord {
        let record = match self.records.entry(id.clone()) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(record()),
        };
        mark_changed(&mut self.changed, id, record);
        record
    }

    /// Indexes the workers that have changed since the last call.
    pub fn refresh(&mut self) -> RefreshCount {
        let mut count = RefreshCount::default();
        for id in std::mem::take(&mut self.changed) {
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            record.is_changed = false;
            count.workers += 1;
            count.runs += record.runs.len() as u64;
            let poll = record.next_poll();
            if poll != record.indexed_poll {
                if let Some(at) = record.indexed_poll {
                    self.polls.remove(&(at, id.clone()));
                }
                if let Some(at) = poll {
                    self.polls.insert((at, id.clone()));
                }
                record.indexed_poll = poll;
            }
            set_member(&mut self.stopping, &id, record.has_pending_stops());
            set_member(&mut self.unreachable, &id, record.awaits_lease_end());
            set_member(&mut self.gone, &id, record.is_gone());
        }
        count
    }

    /// Returns when the next poll is due, as of the last refresh.
    pub fn next_poll(&self) -> Option<Instant> {
        self.polls.first().map(|(at, _)| *at)
    }

    /// Returns the workers whose polls are due, as of the last refresh.
    pub fn due_polls(&self, now: Instant) -> Vec<WorkerId> {
        let due = self.polls.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| id.clone()).collect()
    }

    /// Returns the workers with runs to stop, as of the last refresh.
    pub fn stopping(&self) -> Vec<WorkerId> {
        self.stopping.iter().cloned().collect()
    }

    /// Returns the workers whose runs end with their leases, as of the last refresh.
    pub fn unreachable(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        let unreachable = self.unreachable.iter();
        unreachable.filter_map(|id| self.records.get_key_value(id))
    }

    /// Removes the workers that need no further tracking, as of the last refresh.
    pub fn remove_gone(&mut self) {
        for id in std::mem::take(&mut self.gone) {
            let removed = self.records.shift_remove(&id);
            if let Some(at) = removed.and_then(|record| record.indexed_poll) {
                self.polls.remove(&(at, id.clone()));
            }
            self.stopping.swap_remove(&id);
            self.unreachable.swap_remove(&id);
        }
    }
}

fn mark_changed(changed: &mut Vec<WorkerId>, id: &WorkerId, record: &mut WorkerRecord) {
    if !record.is_changed {
        record.is_changed = true;
        changed.push(id.clone());
    }
}

fn set_member(set: &mut IndexSet<WorkerId>, id: &WorkerId, member: bool) {
    if !member {
        set.swap_remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}
