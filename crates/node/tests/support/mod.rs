//! A store in memory with the log semantics that the duties rely on.

#![allow(dead_code)]

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::prelude::*;

/// Interval at which a held read looks for new records.
const READ_INTERVAL: Duration = Duration::from_millis(5);

/// Creates a queue that leads to the pool `pool`.
pub fn rule(host: &str, public: bool) -> QueueRule {
    QueueRule {
        host: host.into(),
        path_prefix: "/".into(),
        pool: "pool".into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(600),
        public,
        advice: None,
    }
}

/// A store in memory; clones share their records.
#[derive(Clone, Default)]
pub struct MemoryStore {
    partitions: Arc<Mutex<IndexMap<StorePartition, Vec<StoreEntry>>>>,
}

impl MemoryStore {
    /// Returns all records of a partition, the oldest first.
    pub fn records(&self, partition: StorePartition) -> Vec<StoreEntry> {
        self.lock().get(&partition).cloned().unwrap_or_default()
    }

    /// Appends a record without a condition.
    pub fn put(&self, partition: StorePartition, key: &str, value: Vec<u8>) -> LogOffset {
        let key = key.to_owned();
        self.extend(partition, vec![StoreEntry { key, value }])
    }

    fn extend(&self, partition: StorePartition, entries: Vec<StoreEntry>) -> LogOffset {
        let mut partitions = self.lock();
        let log = partitions.entry(partition).or_default();
        let offset = log.len() as LogOffset;
        log.extend(entries);
        offset
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<StorePartition, Vec<StoreEntry>>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl JobStore for MemoryStore {
    fn append(
        &self,
        partition: StorePartition,
        entries: Vec<StoreEntry>,
        _: Option<StoreWriter>,
        _: Duration,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        let offset = self.extend(partition, entries);
        future::ready(Ok(offset)).boxed_local()
    }

    fn append_at(
        &self,
        partition: StorePartition,
        entries: Vec<StoreEntry>,
        end: LogOffset,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        let current = self.records(partition).len() as LogOffset;
        let result = if current == end {
            Ok(self.extend(partition, entries))
        } else {
            Err(StoreFault::Conflict { end: current })
        };
        future::ready(result).boxed_local()
    }

    fn read(
        &self,
        partition: StorePartition,
        from: LogOffset,
        wait: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>> {
        let store = self.clone();
        async move {
            let end = Instant::now() + wait;
            loop {
                let records = store.records(partition);
                let next = records.len() as LogOffset;
                if next > from || Instant::now() >= end {
                    let entries = records.into_iter().skip(from as usize).collect();
                    return Ok(StoreRead { entries, next });
                }
                Timer::after(READ_INTERVAL).await;
            }
        }
        .boxed_local()
    }

    fn newest(
        &self,
        partition: StorePartition,
        _: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>> {
        let records = self.records(partition);
        let end = records.len() as LogOffset;
        let latest: IndexMap<String, Vec<u8>> = records
            .into_iter()
            .map(|entry| (entry.key, entry.value))
            .collect();
        let entries = latest
            .into_iter()
            .filter(|(_, value)| !value.is_empty())
            .map(|(key, value)| StoreEntry { key, value });
        future::ready(Ok(StorePage {
            entries: entries.collect(),
            more: false,
            end,
        }))
        .boxed_local()
    }

    fn join(&self, _: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>> {
        future::ready(Err(StoreFault::Unanswered)).boxed_local()
    }

    fn leave(&self, _: NodeName) -> BoxedLocal<Result<(), StoreFault>> {
        future::ready(Err(StoreFault::Unanswered)).boxed_local()
    }

    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>> {
        future::ready(Err(StoreFault::Unanswered)).boxed_local()
    }
}
