//! The duty that reads and updates the allocations of accounts' maxima in the store.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;

use crate::links::{JobStore, StoreEntry, StoreFault, StorePartition, StoreTopic};
use crate::message::{AccountAllowance, ControlMessage, QuotaMessage, ShardTerm};
use crate::newest::read_newest;
use crate::request::{decode_message, encode_message};
use crate::settings::NodeSettings;

/// Partition of all allocations: one partition, so that a conditional append detects every
/// concurrent change.
const QUOTA_SHARD: ShardNumber = 0;
/// Shortest interval between updates, and between reads.
const UPDATE_INTERVAL: Duration = Duration::from_millis(80);
/// Interval between reads while the node's shards neither need nor hold anything. An append of an
/// earlier owner may be executed seconds late, so even then a shard may come to hold a maximum.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Requests for reductions that may await their replies at the same time.
const REDUCTION_REQUESTS: usize = 16;

struct QuotaDuty {
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    control: RingSender<ControlMessage>,
    state: RefCell<QuotaState>,
    /// Wakes the loop that sends the allowances; a full ring needs no further message.
    wake_publish: RingSender<()>,
}

/// Reductions that await the control duty's reply.
struct ReductionRequest {
    keys: Vec<AllocationKey>,
    reply: RingReceiver<Vec<AccountAllowance>>,
}

#[derive(Default)]
struct QuotaState {
    table: QuotaTable,
    reductions: AllocationReductions,
    shortages: QuotaShortages,
    /// Offset of the next record to read; `None` before the first read.
    next: Option<LogOffset>,
    config: Arc<FleetConfig>,
    /// Epochs of the shards that the node owns.
    terms: IndexMap<ShardNumber, OwnerEpoch>,
    demands: IndexMap<AllocationKey, AccountDemand>,
}

impl QuotaState {
    /// Returns whether the node's shards neither need nor hold a part of any maximum.
    fn is_idle(&self) -> bool {
        self.demands.is_empty() && !self.table.is_held_by(&self.terms)
    }
}

/// Runs until all senders of `messages` are gone.
pub async fn run(
    store: Box<dyn JobStore>,
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    messages: RingReceiver<QuotaMessage>,
    control: RingSender<ControlMessage>,
) {
    // These rings only wake a loop, so a full one needs no further message.
    let (wake_publish, publish_wakes) = ring("quota-publish", 1);
    let duty = QuotaDuty {
        store,
        settings,
        clock,
        control,
        state: RefCell::default(),
        wake_publish,
    };
    let (replies, reply_rings) = ring("quota-reductions", REDUCTION_REQUESTS);
    let (wake_follow, follow_wakes) = ring("quota-follow", 1);
    let (wake_update, update_wakes) = ring("quota-change", 1);
    let receive = async {
        while let Some(message) = messages.recv().await {
            duty.handle_message(message);
            _ = wake_follow.offer(());
            _ = wake_update.offer(());
        }
    };
    let stored = future::or(
        duty.follow(follow_wakes, wake_update.clone()),
        duty.update(update_wakes),
    );
    let sent = future::or(
        duty.publish(publish_wakes, replies),
        duty.confirm(reply_rings, wake_update.clone()),
    );
    future::or(receive, future::or(stored, sent)).await;
}

impl QuotaDuty {
    fn handle_message(&self, message: QuotaMessage) {
        match message {
            QuotaMessage::Config(config) => self.state.borrow_mut().config = config,
            QuotaMessage::Demands(terms, demands) => {
                let mut state = self.state.borrow_mut();
                state.reductions.retain_terms(&terms);
                state.terms = terms;
                state.demands = demands;
            }
        }
        _ = self.wake_publish.offer(());
    }

    /// Follows the allocations while the node owns shards, and all the time while they have demand or
    /// hold an allocation.
    ///
    /// New demand does not interrupt a read: under load, demand arrives all the time, and a node
    /// can update nothing before its first read completes.
    async fn follow(&self, wakes: RingReceiver<()>, wake_update: RingSender<()>) {
        loop {
            if self.state.borrow().terms.is_empty() {
                if wakes.recv().await.is_none() {
                    return;
                }
                continue;
            }
            let idle = self.state.borrow().is_idle();
            let wait = if idle {
                Duration::ZERO
            } else {
                self.settings.follow_timeout
            };
            if self.catch_up(wait).await.is_err() {
                Timer::after(self.settings.store_retry_delay).await;
                continue;
            }
            _ = wake_update.offer(());
            if self.state.borrow().is_idle() {
                let next_read = Instant::now() + IDLE_READ_INTERVAL;
                if wakes.recv_until(Some(next_read)).await.is_err() {
                    return;
                }
            } else {
                Timer::after(UPDATE_INTERVAL).await;
            }
        }
    }

    /// Updates the allocations of the node's shards on each wake, and when one is due to shrink.
    async fn update(&self, wakes: RingReceiver<()>) {
        while wakes.recv_until(self.shrink_time()).await.is_ok() {
            self.update_allocations().await;
            self.report_shortages();
            Timer::after(UPDATE_INTERVAL).await;
        }
    }

    /// Returns when the next allocation is due to shrink, as a time of the timers' clock.
    fn shrink_time(&self) -> Option<Instant> {
        let due = self.state.borrow().table.next_shrink()?;
        let left = due.saturating_duration_since(self.clock.now());
        Some(Instant::now() + left)
    }

    async fn catch_up(&self, wait: Duration) -> Result<(), StoreFault> {
        let next = self.state.borrow().next;
        let read = match next {
            Some(from) => self.store.read(quota_partition(), from, wait).await,
            None => Err(StoreFault::Expired { first: 0 }),
        };
        let (entries, end) = match read {
            Ok(read) => (read.entries, read.next),
            Err(StoreFault::Expired { .. }) => read_newest(&*self.store, quota_partition()).await?,
            Err(fault) => return Err(fault),
        };
        if self.state.borrow().next != next {
            // Later records were applied during this read; don't overwrite them.
            return Ok(());
        }
        let changed = !entries.is_empty();
        self.apply(&entries, end);
        if changed {
            _ = self.wake_publish.offer(());
        }
        Ok(())
    }

    fn apply(&self, entries: &[StoreEntry], next: LogOffset) {
        let mut state = self.state.borrow_mut();
        state.next = Some(next);
        for entry in entries {
            match (parse_key(&entry.key), decode_message(&entry.value)) {
                (Some(key), Some(allocation)) => {
                    state.reductions.complete(&key, &allocation);
                    state.table.apply(key, allocation);
                }
                _ => {
                    let event = EventCode::RecordSkipped.number();
                    tracing::warn!(event, key = entry.key, "malformed allocation skipped");
                }
            }
        }
    }

    /// Stores new allocations for the node's shards that need them, unless another node was faster.
    /// Those that shrink are only planned; they are stored once their shards have confirmed them.
    async fn update_allocations(&self) {
        let Some((entries, end)) = self.plan_update() else {
            return;
        };
        _ = self.wake_publish.offer(());
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
                _ = self.wake_publish.offer(());
            }
            // Read the concurrent changes, or the append itself if its answer was lost.
            Err(_) => {
                _ = self.catch_up(Duration::ZERO).await;
            }
        }
    }

    /// Returns the allocations to store and the offset at which to store them; `None` when nothing
    /// changes.
    fn plan_update(&self) -> Option<(Vec<StoreEntry>, LogOffset)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let QuotaState {
            table,
            reductions,
            next,
            config,
            terms,
            demands,
            ..
        } = &mut *state;
        let end = (*next)?;
        let proposals = table.propose(&config.accounts, terms, demands, now);
        let mut updates: Vec<(AllocationKey, QuotaAllocation)> = reductions
            .confirmed()
            .map(|(key, allocation)| (key.clone(), *allocation))
            .collect();
        let mut changed = !updates.is_empty();
        for (key, size) in proposals {
            let (Some(epoch), Some(rule)) = (terms.get(&key.1), config.accounts.get(&key.0)) else {
                continue;
            };
            if reductions.contains(&key) {
                continue;
            }
            changed = true;
            let epoch = *epoch;
            match table.reduced(&key, &size, &rule.maximum) {
                Some(size) => reductions.plan(key, QuotaAllocation { epoch, size }),
                None => updates.push((key, QuotaAllocation { epoch, size })),
            }
        }
        let entries = updates.into_iter().filter_map(|(key, allocation)| {
            Some(StoreEntry {
                key: format!("{}/{}", key.0, key.1),
                value: encode_message(&allocation)?,
            })
        });
        changed.then(|| (entries.collect(), end))
    }

    /// Logs which shards hold the maximum of an account whose tasks have been waiting for it.
    fn report_shortages(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let QuotaState {
            table,
            shortages,
            config,
            demands,
            ..
        } = &mut *state;
        for report in shortages.review(table, &config.accounts, demands, now) {
            let event = EventCode::QuotaAwaited.number();
            let (account, shard) = &report.key;
            let waited_ms = now.saturating_duration_since(report.since).as_millis() as u64;
            let (wanted, allowance) = (report.wanted, report.allowance);
            let (maximum, holders) = (report.maximum, report.holders);
            tracing::warn!(
                event,
                account = &**account,
                shard,
                waited_ms,
                ?wanted,
                ?allowance,
                ?maximum,
                ?holders,
                version = config.version,
                "tasks wait for the maximum of their account"
            );
        }
    }

    /// Sends the control duty the allowances of its shards on each wake, and the reductions that it
    /// has to confirm.
    ///
    /// Only this loop sends allowances: one computed before a reduction must not arrive after it.
    async fn publish(&self, wakes: RingReceiver<()>, replies: RingSender<ReductionRequest>) {
        while wakes.recv().await.is_some() {
            let reductions = self.request_reductions();
            if !reductions.is_empty() {
                let keys = reductions.iter();
                let keys = keys.map(|(term, account, _)| (account.clone(), term.shard));
                let keys = keys.collect();
                let (sender, reply) = ring("quota-used", 1);
                let message = ControlMessage::Reductions(reductions, sender);
                // The control duty ends before this one only when the node stops.
                _ = self.control.send(message).await;
                _ = replies.send(ReductionRequest { keys, reply }).await;
            }
            let message = ControlMessage::Allocations(self.allowances());
            _ = self.control.send(message).await;
        }
    }

    /// Takes the control duty's confirmations of reductions.
    async fn confirm(&self, replies: RingReceiver<ReductionRequest>, wake_update: RingSender<()>) {
        while let Some(ReductionRequest { keys, reply }) = replies.recv().await {
            let used = reply.recv().await.unwrap_or_default();
            let mut state = self.state.borrow_mut();
            let QuotaState {
                table, reductions, ..
            } = &mut *state;
            for (term, account, size) in used {
                let key = (account, term.shard);
                reductions.confirm(&key, term.epoch, &size, &table.allocation(&key));
            }
            for key in &keys {
                reductions.cancel(key);
            }
            _ = wake_update.offer(());
            _ = self.wake_publish.offer(());
        }
    }

    fn request_reductions(&self) -> Vec<AccountAllowance> {
        let requested = self.state.borrow_mut().reductions.request();
        let allowances = requested.into_iter().map(|(key, allocation)| {
            let term = ShardTerm {
                shard: key.1,
                epoch: allocation.epoch,
            };
            (term, key.0, allocation.size)
        });
        allowances.collect()
    }

    /// Returns the size that the runs of each account in the node's shards may reach.
    fn allowances(&self) -> Vec<AccountAllowance> {
        let state = self.state.borrow();
        let allowances = state.demands.keys().filter_map(|key| {
            let rule = state.config.accounts.get(&key.0)?;
            let epoch = *state.terms.get(&key.1)?;
            let term = ShardTerm {
                shard: key.1,
                epoch,
            };
            let allowance = state.table.allowance(key, &rule.maximum);
            let allowance = state.reductions.limit(key, allowance);
            Some((term, key.0.clone(), allowance))
        });
        allowances.collect()
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
