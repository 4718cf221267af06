//! Allocations of accounts' maxima in shards where the accounts have no jobs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::message::{ControlMessage, QuotaMessage};
use pw_node::prelude::*;
use pw_node::quota_duty;
use pw_node::request::{decode_message, encode_message};
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use self::support::MemoryStore;

const ACCOUNT: &str = "ane";
/// Shard that holds a part of the maximum.
const HOLDER: ShardNumber = 3;
/// Shard whose tasks wait for the maximum.
const WAITER: ShardNumber = 5;
const QUOTA: StorePartition = StorePartition {
    topic: StoreTopic::Quota,
    shard: 0,
};
/// Time within which a shard without demand has to release its allocation. The platform counts a
/// job as lost that does not run for 3 s.
const RELEASE_LIMIT: Duration = Duration::from_millis(2500);

/// One node's quota duty, with a control duty whose runs use nothing.
struct QuotaNode {
    store: MemoryStore,
    messages: RingSender<QuotaMessage>,
}

fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

fn config(maximum: u32) -> QuotaMessage {
    let rule = AccountRule {
        weight: 1,
        maximum: cores(maximum),
    };
    QuotaMessage::Config(Arc::new(FleetConfig {
        version: 1,
        accounts: IndexMap::from([(AccountId::from(ACCOUNT), rule)]),
        ..Default::default()
    }))
}

/// Reports what tasks wait for in the shards of the node.
fn demands(terms: &[(ShardNumber, OwnerEpoch)], waiting: &[(ShardNumber, u32)]) -> QuotaMessage {
    let rows = waiting.iter().map(|(shard, size)| {
        let demand = AccountDemand {
            waiting: cores(*size),
            ..Default::default()
        };
        ((AccountId::from(ACCOUNT), *shard), demand)
    });
    QuotaMessage::Demands(terms.iter().copied().collect(), rows.collect())
}

impl QuotaNode {
    /// Returns the cores that a shard's latest stored allocation holds.
    fn stored(&self, shard: ShardNumber) -> u32 {
        let key = format!("{ACCOUNT}/{shard}");
        let records = self.store.records(QUOTA);
        let latest = records.iter().rev().find(|entry| entry.key == key);
        latest.map_or(0, |entry| {
            let allocation: QuotaAllocation = decode_message(&entry.value).expect("an allocation");
            allocation.size.millicores / 1000
        })
    }

    fn store_allocation(&self, shard: ShardNumber, size: u32) {
        let allocation = QuotaAllocation {
            epoch: 1,
            size: cores(size),
        };
        let value = encode_message(&allocation).expect("an allocation");
        self.store.put(QUOTA, &format!("{ACCOUNT}/{shard}"), value);
    }

    async fn send(&self, message: QuotaMessage) {
        self.messages.send(message).await.expect("the duty runs");
    }

    /// Waits until a shard holds at least `size` cores; returns whether that happened in time.
    async fn wait_for(&self, shard: ShardNumber, size: u32) -> bool {
        let reached = async {
            while self.stored(shard) < size {
                Timer::after(Duration::from_millis(10)).await;
            }
            true
        };
        let late = async {
            Timer::after(RELEASE_LIMIT).await;
            false
        };
        future::or(reached, late).await
    }
}

/// Plays a scenario on a node that runs until the scenario ends.
fn play<F: Future<Output = ()>>(scenario: impl FnOnce(Arc<QuotaNode>) -> F) {
    let (messages, received) = ring("quota", 16);
    let (control, commands) = ring("control", 64);
    let store = MemoryStore::default();
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let settings = NodeSettings::default();
    let duty = quota_duty::run(Box::new(store.clone()), settings, clock, received, control);
    let confirm = async {
        while let Some(command) = commands.recv().await {
            if let ControlMessage::Reductions(rows, reply) = command {
                let unused = rows.into_iter().map(|(term, account, _)| {
                    let used = ResourceSize::default();
                    (term, account, used)
                });
                _ = reply.offer(unused.collect());
            }
        }
    };
    let node = Arc::new(QuotaNode { store, messages });
    let work = future::or(duty, confirm);
    future::block_on(future::or(work, scenario(node)));
}

/// Guards against a maximum that stays with a shard after the account's last job there has ended.
#[test]
fn a_shard_without_jobs_releases_the_maximum_of_their_account() {
    play(|node| async move {
        node.send(config(100)).await;
        node.send(demands(&[(HOLDER, 1)], &[(HOLDER, 89)])).await;
        assert!(node.wait_for(HOLDER, 89).await);
        node.send(demands(&[(HOLDER, 1)], &[])).await;
        node.send(demands(&[(HOLDER, 1), (WAITER, 1)], &[(WAITER, 90)]))
            .await;
        let allocated = node.wait_for(WAITER, 90).await;
        assert!(allocated, "shard {HOLDER} holds {}", node.stored(HOLDER));
    });
}

/// Guards against a maximum that stays with a shard whose new owner never had the account's jobs.
#[test]
fn a_new_owner_releases_the_maximum_that_its_predecessor_held() {
    play(|node| async move {
        node.store_allocation(HOLDER, 95);
        node.send(config(100)).await;
        node.send(demands(&[(HOLDER, 2)], &[])).await;
        node.send(demands(&[(HOLDER, 2), (WAITER, 2)], &[(WAITER, 50)]))
            .await;
        let allocated = node.wait_for(WAITER, 50).await;
        assert!(allocated, "shard {HOLDER} holds {}", node.stored(HOLDER));
    });
}

/// Guards against a late append of an earlier owner that a node without demand never reads.
#[test]
fn an_idle_owner_releases_an_allocation_that_is_stored_late() {
    play(|node| async move {
        node.send(config(100)).await;
        node.send(demands(&[(HOLDER, 2)], &[])).await;
        Timer::after(Duration::from_millis(300)).await;
        node.store_allocation(HOLDER, 95);
        let released = async {
            while node.stored(HOLDER) > 10 {
                Timer::after(Duration::from_millis(10)).await;
            }
            true
        };
        let late = async {
            Timer::after(2 * RELEASE_LIMIT).await;
            false
        };
        assert!(future::or(released, late).await);
    });
}

/// Guards against an account that starts nothing anywhere, since an idle shard still holds more than
/// its lowered maximum.
#[test]
fn an_idle_shard_does_not_stop_an_account_whose_maximum_is_lowered() {
    play(|node| async move {
        node.send(config(100)).await;
        node.send(demands(&[(HOLDER, 1)], &[(HOLDER, 89)])).await;
        assert!(node.wait_for(HOLDER, 89).await);
        node.send(config(40)).await;
        node.send(demands(&[(HOLDER, 1), (WAITER, 1)], &[(WAITER, 20)]))
            .await;
        let allocated = node.wait_for(WAITER, 20).await;
        assert!(allocated, "shard {HOLDER} holds {}", node.stored(HOLDER));
        assert!(node.stored(HOLDER) + node.stored(WAITER) <= 40);
    });
}
