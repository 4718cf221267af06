//! The duty that changes the parts of accounts' maxima in the store.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::links::{JobStore, StoreEntry, StoreFault, StorePartition, StoreTopic};
use crate::message::{ControlMessage, QuotaMessage, ShardTerm};
use crate::request::{decode_message, encode_message};
use crate::settings::NodeSettings;

/// Partition that holds all parts, so that an append sees each change before it.
const QUOTA_SHARD: ShardNumber = 0;
/// Shortest time between two changes of parts, and between two reads.
const CHANGE_GAP: Duration = Duration::from_millis(80);

struct QuotaDuty {
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    control: RingSender<ControlMessage>,
    state: RefCell<QuotaState>,
}

#[derive(Default)]
struct QuotaState {
    book: QuotaTable,
    /// End of what has been read; `None` before the first reading.
    next: Option<LogOffset>,
    config: Arc<FleetConfig>,
    /// Owned shards and their epochs.
    terms: IndexMap<ShardNumber, OwnerEpoch>,
    demands: IndexMap<AllocationKey, AccountDemand>,
}

/// Runs until all senders of `messages` are gone.
pub async fn run(
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    messages: RingReceiver<QuotaMessage>,
    control: RingSender<ControlMessage>,
) {
    let duty = QuotaDuty {
        store,
        settings,
        clock,
        control,
        state: RefCell::default(),
    };
    // One message is enough to wake a part of the duty, so a full ring needs no further one.
    let (follow, followed) = ring("quota-follow", 1);
    let (change, changed) = ring("quota-change", 1);
    let hear = async {
        while let Some(message) = messages.recv().await {
            duty.hear(message).await;
            _ = follow.offer(());
            _ = change.offer(());
        }
    };
    let work = future::or(duty.follow(followed, change.clone()), duty.change(changed));
    future::or(hear, work).await;
}

impl QuotaDuty {
    async fn hear(&self, message: QuotaMessage) {
        match message {
            QuotaMessage::Config(config) => self.state.borrow_mut().config = config,
            QuotaMessage::Demands(terms, demands) => {
                let mut state = self.state.borrow_mut();
                state.terms = terms;
                state.demands = demands;
            }
        }
        self.publish().await;
    }

    /// Follows the parts while the node owns shards with work.
    ///
    /// Reading goes on whatever the shards ask for meanwhile: under load they ask all the time, and a
    /// node that has read nothing yet can change nothing.
    async fn follow(&self, woken: RingReceiver<()>, change: RingSender<()>) {
        loop {
            if self.state.borrow().demands.is_empty() {
                if woken.recv().await.is_none() {
                    return;
                }
                continue;
            }
            match self.catch_up(self.settings.follow_timeout).await {
                Ok(()) => {
                    _ = change.offer(());
                    Timer::after(CHANGE_GAP).await;
                }
                Err(_) => {
                    Timer::after(self.settings.store_retry_delay).await;
                }
            }
        }
    }

    /// Changes the parts of the node's shards whenever something is new.
    async fn change(&self, woken: RingReceiver<()>) {
        while woken.recv().await.is_some() {
            self.update_allocations().await;
            Timer::after(CHANGE_GAP).await;
        }
    }

    async fn catch_up(&self, wait: Duration) -> Result<(), StoreFault> {
        let next = self.state.borrow().next;
        let read = match next {
            Some(from) => self.store.read(quota_partition(), from, wait).await,
            None => Err(StoreFault::Expired { first: 0 }),
        };
        let (entries, end) = match read {
            Ok(read) => (read.entries, read.next),
            Err(StoreFault::Expired { .. }) => self.read_all().await?,
            Err(fault) => return Err(fault),
        };
        if self.state.borrow().next != next {
            // Something later was applied while this was read, and is not to be undone.
            return Ok(());
        }
        let changed = !entries.is_empty();
        self.apply(&entries, end);
        if changed {
            self.publish().await;
        }
        Ok(())
    }

    async fn read_all(&self) -> Result<(Vec<StoreEntry>, LogOffset), StoreFault> {
        let mut entries: Vec<StoreEntry> = Vec::new();
        let mut first_end = None;
        loop {
            let after = entries.last().map(|entry| entry.key.clone());
            let page = self.store.newest(quota_partition(), after).await?;
            let end = *first_end.get_or_insert(page.end);
            let more = page.more && !page.entries.is_empty();
            entries.extend(page.entries);
            if !more {
                return Ok((entries, end));
            }
        }
    }

    fn apply(&self, entries: &[StoreEntry], next: LogOffset) {
        let mut state = self.state.borrow_mut();
        state.next = Some(next);
        for entry in entries {
            match (parse_key(&entry.key), decode_message(&entry.value)) {
                (Some(key), Some(part)) => state.book.apply(key, part),
                _ => {
                    let event = EventCode::RecordSkipped.number();
                    tracing::warn!(event, key = entry.key, "part of a maximum passed over");
                }
            }
        }
    }

    /// Stores other parts where the node's shards need them, unless somebody was faster.
    async fn update_allocations(&self) {
        let now = self.clock.now();
        let (entries, end) = {
            let mut state = self.state.borrow_mut();
            let QuotaState {
                book,
                next,
                config,
                terms,
                demands,
            } = &mut *state;
            let Some(end) = *next else {
                return;
            };
            let proposals = book.propose(&config.accounts, demands, now);
            let entries = proposals.into_iter().filter_map(|(key, size)| {
                let epoch = *terms.get(&key.1)?;
                Some(StoreEntry {
                    key: format!("{}/{}", key.0, key.1),
                    value: encode_message(&QuotaAllocation { epoch, size })?,
                })
            });
            (entries.collect::<Vec<StoreEntry>>(), end)
        };
        if entries.is_empty() {
            return;
        }
        let count = entries.len() as LogOffset;
        match self
            .store
            .append_at(quota_partition(), entries.clone(), end)
            .await
        {
            Ok(_) => {
                self.apply(&entries, end + count);
                self.publish().await;
            }
            // Whatever came between is read next, and so is an append whose answer was lost.
            Err(_) => {
                _ = self.catch_up(Duration::ZERO).await;
            }
        }
    }

    /// Tells the control duty what its shards may start up to.
    async fn publish(&self) {
        let parts = {
            let state = self.state.borrow();
            let own = state.demands.keys().filter_map(|key| {
                let rule = state.config.accounts.get(&key.0)?;
                let epoch = *state.terms.get(&key.1)?;
                let term = ShardTerm {
                    shard: key.1,
                    epoch,
                };
                let allowance = state.book.allowance(key, &rule.maximum);
                Some((term, key.0.clone(), allowance))
            });
            own.collect()
        };
        // The control duty ends before this one only when the node stops.
        _ = self.control.send(ControlMessage::Allocations(parts)).await;
    }
}

fn quota_partition() -> StorePartition {
    StorePartition {
        topic: StoreTopic::Quota,
        shard: QUOTA_SHARD,
    }
}

fn parse_key(key: &str) -> Option<AllocationKey> {
    let (account, shard) = key.rsplit_once('/')?;
    Some((account.into(), shard.parse().ok()?))
}
