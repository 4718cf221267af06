//! Allocations that shrink while the control duty lags.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::message::{ControlMessage, QuotaMessage};
use pw_node::prelude::*;
use pw_node::quota_duty;
use pw_node::request::decode_message;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

const ACCOUNT: &str = "ane";

/// A store that compares each smaller allocation with what the control duty may use at that time.
struct CheckingStore {
    /// Millicores that the control duty may use.
    allowed: Arc<AtomicU32>,
    /// Most millicores that the duty was allowed above the stored allocation.
    excess: Arc<AtomicU32>,
    /// Millicores of the latest stored allocation.
    latest: Arc<AtomicU32>,
}

fn now<T: 'static>(result: Result<T, StoreFault>) -> BoxedLocal<Result<T, StoreFault>> {
    async move {
        Timer::after(Duration::from_millis(5)).await;
        result
    }
    .boxed_local()
}

impl JobStore for CheckingStore {
    fn append(
        &self,
        _: StorePartition,
        _: Vec<StoreEntry>,
        _: Option<StoreWriter>,
        _: Duration,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        now(Err(StoreFault::Unanswered))
    }

    fn append_at(
        &self,
        _: StorePartition,
        entries: Vec<StoreEntry>,
        end: LogOffset,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>> {
        for entry in &entries {
            let stored: QuotaAllocation = decode_message(&entry.value).expect("an allocation");
            let allowed = self.allowed.load(Ordering::SeqCst);
            let excess = allowed.saturating_sub(stored.size.millicores);
            self.excess.fetch_max(excess, Ordering::SeqCst);
            let size = stored.size.millicores;
            self.latest.store(size, Ordering::SeqCst);
        }
        now(Ok(end))
    }

    fn read(
        &self,
        _: StorePartition,
        from: LogOffset,
        _: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>> {
        let entries = Vec::new();
        let next = from;
        now(Ok(StoreRead { entries, next }))
    }

    fn newest(
        &self,
        _: StorePartition,
        _: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>> {
        now(Ok(StorePage::default()))
    }

    fn join(&self, _: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>> {
        now(Err(StoreFault::Unanswered))
    }

    fn leave(&self, _: NodeName) -> BoxedLocal<Result<(), StoreFault>> {
        now(Err(StoreFault::Unanswered))
    }

    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>> {
        now(Err(StoreFault::Unanswered))
    }
}

fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

/// Another shard may use the difference as soon as the smaller allocation is stored.
#[test]
fn an_allocation_shrinks_in_the_store_after_the_control_duty_has_given_it_up() {
    let allowed = Arc::new(AtomicU32::new(0));
    let excess = Arc::new(AtomicU32::new(0));
    let latest = Arc::new(AtomicU32::new(0));
    let store = CheckingStore {
        allowed: Arc::clone(&allowed),
        excess: Arc::clone(&excess),
        latest: Arc::clone(&latest),
    };
    let (demands, messages) = ring("quota", 16);
    let (control, allocations) = ring("control", 1024);
    let duty = quota_duty::run(
        Box::new(store),
        NodeSettings::default(),
        Arc::new(SystemClock),
        messages,
        control,
    );
    let rule = AccountRule {
        weight: 1,
        maximum: cores(100),
    };
    let config = FleetConfig {
        version: 1,
        accounts: IndexMap::from([(AccountId::from(ACCOUNT), rule)]),
        ..Default::default()
    };
    let send = async {
        _ = demands.send(QuotaMessage::Config(Arc::new(config))).await;
        for number in 0..150_u32 {
            let waiting = cores(if number < 50 { 60 } else { 5 });
            let demand = AccountDemand {
                waiting,
                ..Default::default()
            };
            let demand = IndexMap::from([((AccountId::from(ACCOUNT), 0), demand)]);
            let terms = IndexMap::from([(0, 1)]);
            _ = demands.send(QuotaMessage::Demands(terms, demand)).await;
            Timer::after(Duration::from_millis(20)).await;
        }
    };
    let follow = async {
        while let Some(message) = allocations.recv().await {
            match message {
                ControlMessage::Allocations(rows) => {
                    for (_, _, size) in rows {
                        allowed.store(size.millicores, Ordering::SeqCst);
                    }
                }
                ControlMessage::Reductions(mut rows, reply) => {
                    for (_, _, size) in &mut rows {
                        allowed.store(size.millicores, Ordering::SeqCst);
                        *size = ResourceSize::default();
                    }
                    _ = reply.offer(rows);
                }
                _ => {}
            }
        }
    };
    let work = future::zip(duty, future::zip(follow, future::pending::<()>()));
    future::block_on(future::or(send, async {
        work.await;
    }));
    let excess = excess.load(Ordering::SeqCst);
    assert_eq!(excess, 0, "{excess} millicores could be used twice");
    let latest = latest.load(Ordering::SeqCst);
    assert!(
        latest < 20_000,
        "{latest} millicores stay allocated for a demand of 5000"
    );
}
