//! The parts of accounts' maxima while the store is slow and shards ask all the time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::message::{ControlMessage, QuotaMessage};
use pw_node::prelude::*;
use pw_node::quota_duty;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

/// Time of the store for an answer, longer than the time between two demands.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time between two demands; a busy shard reports its work as often.
const DEMAND_GAP: Duration = Duration::from_millis(20);
/// Demands after which the test gives up.
const MOST_DEMANDS: usize = 500;
const ACCOUNT: &str = "ane";

/// A store that answers slowly and counts the records of the parts.
#[derive(Default)]
struct SlowStore {
    end: AtomicU64,
}

fn slowly<T: 'static>(result: Result<T, StoreFault>) -> BoxedLocal<Result<T, StoreFault>> {
    async move {
        Timer::after(ANSWER_TIME).await;
        result
    }
    .boxed_local()
}

impl JobStore for SlowStore {
    fn append(
        &self,
        _: StorePartition,
        _: Vec<StoreEntry>,
        _: Option<StoreWriter>,
        _: Duration,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        slowly(Err(StoreFault::Unanswered))
    }

    fn append_at(
        &self,
        _: StorePartition,
        entries: Vec<StoreEntry>,
        end: LogOffset,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        let count = entries.len() as u64;
        let (order, next) = (Ordering::SeqCst, end + count);
        let result = self.end.compare_exchange(end, next, order, order);
        slowly(result.map_err(|end| StoreFault::Conflict { end }))
    }

    fn read(
        &self,
        _: StorePartition,
        from: LogOffset,
        _: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>> {
        let next = from;
        let entries = Vec::new();
        slowly(Ok(StoreRead { entries, next }))
    }

    fn newest(
        &self,
        _: StorePartition,
        _: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>> {
        let end = self.end.load(Ordering::SeqCst);
        slowly(Ok(StorePage {
            end,
            ..Default::default()
        }))
    }

    fn join(&self, _: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>> {
        slowly(Err(StoreFault::Unanswered))
    }

    fn leave(&self, _: NodeName) -> BoxedLocal<Result<(), StoreFault>> {
        slowly(Err(StoreFault::Unanswered))
    }

    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>> {
        slowly(Err(StoreFault::Unanswered))
    }
}

fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

fn config() -> Arc<FleetConfig> {
    let rule = AccountRule {
        weight: 1,
        maximum: cores(100),
    };
    Arc::new(FleetConfig {
        version: 1,
        accounts: IndexMap::from([(AccountId::from(ACCOUNT), rule)]),
        ..Default::default()
    })
}

/// Reports the work of one shard again and again.
async fn demand(messages: &RingSender<QuotaMessage>) {
    _ = messages.send(QuotaMessage::Config(config())).await;
    for number in 0..MOST_DEMANDS {
        let waiting = cores(10 + number as u32 % 2);
        let demand = AccountDemand {
            waiting,
            ..Default::default()
        };
        let demands = IndexMap::from([((AccountId::from(ACCOUNT), 0), demand)]);
        let terms = IndexMap::from([(0, 1)]);
        _ = messages.send(QuotaMessage::Demands(terms, demands)).await;
        Timer::after(DEMAND_GAP).await;
    }
}

/// Waits until the shard may start something.
async fn allowance(messages: &RingReceiver<ControlMessage>) -> bool {
    while let Some(message) = messages.recv().await {
        if let ControlMessage::Allocations(parts) = message
            && parts.iter().any(|(_, _, part)| part.millicores > 0)
        {
            return true;
        }
    }
    false
}

/// A node that gets its first shard in a surge has read nothing of the parts yet.
#[test]
fn a_part_is_got_although_the_shard_asks_all_the_time() {
    let (demands, messages) = ring("quota", 16);
    let (control, answers) = ring("control", 1024);
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let store = Box::new(SlowStore::default());
    let duty = quota_duty::run(store, NodeSettings::default(), clock, messages, control);
    let allowed = async {
        duty.await;
        false
    };
    let asked = async {
        demand(&demands).await;
        false
    };
    let work = future::or(allowed, asked);
    assert!(future::block_on(future::or(work, allowance(&answers))));
}
