//! Reads the platform's log and folds its records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_pool::prelude::*;

/// Reads the platform's log and folds each record in order.
pub struct LogFollower {
    store: Box<dyn LogStore>,
    fold: FleetFold,
}

/// Folded record with the declared fleet before and after it.
#[derive(Debug, Clone)]
pub struct FoldedRecord {
    /// Offset in the log.
    pub offset: LogOffset,
    /// The record.
    pub record: Arc<LogRecord>,
    /// Result of folding the record.
    pub outcome: FoldOutcome,
    /// Declared fleet before the record.
    pub before: FleetState,
    /// Declared fleet after the record.
    pub after: FleetState,
}

impl LogFollower {
    /// Creates a follower of the log service at `address`.
    pub fn over_http(address: SocketAddr) -> Self {
        Self::new(Box::new(HttpLog::new(address)))
    }

    /// Creates a follower that starts at the first record of `store`.
    pub fn new(store: Box<dyn LogStore>) -> Self {
        Self {
            store,
            fold: FleetFold::default(),
        }
    }

    /// Returns the log store.
    pub fn store(&self) -> &dyn LogStore {
        &*self.store
    }

    /// Returns the declared fleet after the folded records.
    pub fn state(&self) -> &FleetState {
        self.fold.state()
    }

    /// Returns the pools with their instances.
    pub fn pools(&self) -> &PoolLedger {
        self.fold.pools()
    }

    /// Returns the current configuration, or `None` before the first one.
    pub fn spec(&self) -> Option<&FleetSpec> {
        self.state().spec.as_deref()
    }

    /// Reads one batch, waiting up to `wait` for a record, and returns the folded records.
    ///
    /// If the next record has expired, restarts from a snapshot and returns no records.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read, or if records have expired and the log has no snapshot.
    pub async fn advance(&mut self, wait: Duration) -> Result<Vec<FoldedRecord>, LogError> {
        let batch = match self.store.read(self.state().next_offset, wait).await {
            Err(LogError::Expired { first }) => {
                self.restart(first).await?;
                return Ok(Vec::new());
            }
            result => result?,
        };
        Ok(batch
            .entries
            .into_iter()
            .filter_map(|entry| self.fold_entry(&entry))
            .collect())
    }

    /// Reads to the end of the log and returns the folded records.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`advance`](Self::advance).
    pub async fn catch_up(&mut self) -> Result<Vec<FoldedRecord>, LogError> {
        let mut folded = Vec::new();
        loop {
            let from = self.state().next_offset;
            folded.extend(self.advance(Duration::ZERO).await?);
            if self.state().next_offset == from {
                return Ok(folded);
            }
        }
    }

    /// Restarts from the newest snapshot in the records from offset `first` on.
    async fn restart(&mut self, first: LogOffset) -> Result<(), LogError> {
        let mut seeker = SnapshotSeeker::default();
        let mut newest = None;
        let mut from = first;
        loop {
            let batch = self.store.read(from, Duration::ZERO).await?;
            let (reading, _) = LogReading::decode(None, from, &batch);
            let items = reading.items.iter();
            let images = items.filter_map(|(offset, item)| seeker.observe(*offset, item));
            newest = images.last().or(newest);
            if reading.next_offset == from {
                break;
            }
            from = reading.next_offset;
        }
        let image = newest.ok_or(LogError::Expired { first })?;
        self.fold = FleetFold::restore(image);
        Ok(())
    }

    fn fold_entry(&mut self, entry: &LogEntry) -> Option<FoldedRecord> {
        let offset = entry.offset;
        let record = match decode_record(&entry.bytes) {
            Ok(record) => record,
            Err(CodecError::UnknownVersion(version)) => {
                self.fold.skip_unsupported(offset, version);
                return None;
            }
            Err(_) => {
                self.fold.skip_to(offset + 1);
                return None;
            }
        };
        let before = self.state().clone();
        let outcome = self.fold.advance(offset, &record);
        Some(FoldedRecord {
            offset,
            record: Arc::new(record),
            outcome,
            before,
            after: self.state().clone(),
        })
    }
}
