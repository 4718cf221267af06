//! Workers of a shard, with change detection.

use indexmap::IndexMap;
use indexmap::map::Entry;
use pw_base::prelude::*;

use crate::worker::WorkerRecord;

/// Workers by name. A mutable borrow marks the worker as changed, so that work on its runs can skip
/// all others.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    records: IndexMap<WorkerId, WorkerRecord>,
    changed: Vec<WorkerId>,
}

impl WorkerTable {
    pub fn len(&self) -> usize {
        self.records.len()
    }

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

    pub fn retain(&mut self, keep: impl Fn(&WorkerRecord) -> bool) {
        self.records.retain(|_, record| keep(record));
    }

    /// Returns the workers that have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<WorkerId> {
        let changed = std::mem::take(&mut self.changed);
        for id in &changed {
            if let Some(record) = self.records.get_mut(id) {
                record.is_changed = false;
            }
        }
        changed
    }
}

fn mark_changed(changed: &mut Vec<WorkerId>, id: &WorkerId, record: &mut WorkerRecord) {
    if !record.is_changed {
        record.is_changed = true;
        changed.push(id.clone());
    }
}
