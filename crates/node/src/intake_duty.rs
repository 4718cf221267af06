//! The duty that registers the pools of queues in the store before jobs are accepted for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::feed_duty::OutageLog;
use crate::links::{JobStore, StoreEntry, StoreFault, StorePartition, StoreTopic};
use crate::message::CallerMessage;
use crate::newest::read_newest;
use crate::request::{decode_message, encode_message};
use crate::settings::NodeSettings;

/// Partition of all records: one partition, so that a conditional append detects every concurrent
/// change.
const INTAKE_PARTITION: StorePartition = StorePartition {
    topic: StoreTopic::Intakes,
    shard: 0,
};
/// Attempts to register in a row. All nodes register the same queues at the same time, and each
/// conflict means that one of them has succeeded.
const REGISTRATION_ATTEMPTS: u32 = 4;

struct IntakeDuty {
    store: Box<dyn JobStore>,
    table: IntakeTable,
    /// Offset of the next record to read; `None` before the first read.
    next: Option<LogOffset>,
    /// The table has changed since it was last sent to the callers duty.
    changed: bool,
    outage: OutageLog,
}

/// Runs until all senders of `configs` are gone.
pub async fn run(
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    configs: RingReceiver<Arc<FleetConfig>>,
    callers: RingSender<CallerMessage>,
) {
    let mut duty = IntakeDuty {
        store,
        table: IntakeTable::default(),
        next: None,
        changed: true,
        outage: OutageLog::new("pools of queues"),
    };
    let Some(mut config) = configs.recv().await else {
        return;
    };
    loop {
        let registered = match duty.register(&config).await {
            Ok(registered) => {
                duty.outage.set_reachable(true);
                registered
            }
            Err(fault) => {
                duty.outage.record_fault(&fault);
                false
            }
        };
        if std::mem::take(&mut duty.changed) {
            let message = CallerMessage::Intakes(Arc::new(duty.table.clone()));
            if callers.send(message).await.is_err() {
                return;
            }
        }
        let retry_at = (!registered).then(|| Instant::now() + settings.store_retry_delay);
        match configs.recv_until(retry_at).await {
            Ok(Some(latest)) => config = latest,
            Ok(None) => {}
            Err(RingClosed) => return,
        }
    }
}

impl IntakeDuty {
    /// Stores the pools of the queues that are not stored yet; returns whether all are.
    ///
    /// Reads first in any case: a queue may have led to other pools by versions that this node never
    /// saw.
    async fn register(&mut self, config: &FleetConfig) -> Result<bool, StoreFault> {
        for _ in 0..REGISTRATION_ATTEMPTS {
            let end = self.catch_up().await?;
            let missing = self.table.missing(config);
            if missing.is_empty() {
                return Ok(true);
            }
            let entries = missing.iter().filter_map(|(queue, record)| {
                Some(StoreEntry {
                    key: queue.to_string(),
                    value: encode_message(record)?,
                })
            });
            let entries: Vec<StoreEntry> = entries.collect();
            let count = entries.len() as LogOffset;
            match self
                .store
                .append_at(INTAKE_PARTITION, entries.clone(), end)
                .await
            {
                Ok(_) => {
                    self.apply(&entries, end + count);
                    log_registered(config.version, &missing);
                    return Ok(true);
                }
                Err(StoreFault::Conflict { .. }) => {}
                Err(fault) => return Err(fault),
            }
        }
        Ok(false)
    }

    /// Reads the new records; returns the end of the partition.
    async fn catch_up(&mut self) -> Result<LogOffset, StoreFault> {
        let read = match self.next {
            Some(from) => {
                let read = self.store.read(INTAKE_PARTITION, from, Duration::ZERO);
                read.await.map(|read| (read.entries, read.next))
            }
            None => Err(StoreFault::Expired { first: 0 }),
        };
        let (entries, end) = match read {
            Ok(read) => read,
            Err(StoreFault::Expired { .. }) => read_newest(&*self.store, INTAKE_PARTITION).await?,
            Err(fault) => return Err(fault),
        };
        self.apply(&entries, end);
        Ok(end)
    }

    fn apply(&mut self, entries: &[StoreEntry], next: LogOffset) {
        self.next = Some(next);
        for entry in entries {
            let record = decode_message(&entry.value);
            if record.is_none() {
                let event = EventCode::RecordSkipped.number();
                tracing::error!(event, key = entry.key, "malformed pools of a queue");
            }
            self.changed = true;
            self.table.apply(entry.key.as_str().into(), record);
        }
    }
}

fn log_registered(version: u64, queues: &[(QueueId, IntakeRecord)]) {
    for (queue, record) in queues {
        let event = EventCode::QueueRegistered.number();
        let pools = &record.pools;
        tracing::info!(
            event,
            version,
            queue = &**queue,
            ?pools,
            "pools of a queue registered"
        );
    }
}
