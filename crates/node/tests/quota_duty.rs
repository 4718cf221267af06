//! Allocations of accounts' maxima while the store is slow and demand changes all the time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// Latency of the store, longer than the interval between demands.
const STORE_LATENCY: Duration = Duration::from_millis(150);
/// Interval between demands; a busy shard reports its demand as often.
const DEMAND_INTERVAL: Duration = Duration::from_millis(20);
/// Number of demands after which the test fails.
const MAX_DEMANDS: usize = 500;
const ACCOUNT: &str = "ane";
const OTHER_ACCOUNT: &str = "bel";

/// A store that answers slowly and counts the allocation records.
#[derive(Default)]
struct SlowStore {
    end: AtomicU64,
}

fn delayed<T: 'static>(result: Result<T, StoreFault>) -> BoxedLocal<Result<T, StoreFault>> {
    async move {
        Timer::after(STORE_LATENCY).await;
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
        delayed(Err(StoreFault::Unanswered))
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
        delayed(result.map_err(|end| StoreFault::Conflict { end }))
    }

    fn read(
        &self,
        _: StorePartition,
        from: LogOffset,
        _: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>> {
        let next = from;
        let entries = Vec::new();
        delayed(Ok(StoreRead { entries, next }))
    }

    fn newest(
        &self,
        _: StorePartition,
        _: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>> {
        let end = self.end.load(Ordering::SeqCst);
        delayed(Ok(StorePage {
            end,
            ..Default::default()
        }))
    }

    fn join(&self, _: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>> {
        delayed(Err(StoreFault::Unanswered))
    }

    fn leave(&self, _: NodeName) -> BoxedLocal<Result<(), StoreFault>> {
        delayed(Err(StoreFault::Unanswered))
    }

    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>> {
        delayed(Err(StoreFault::Unanswered))
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
        accounts: [ACCOUNT, OTHER_ACCOUNT]
            .map(|account| (AccountId::from(account), rule.clone()))
            .into(),
        ..Default::default()
    })
}

/// Reports changing demand of one shard.
async fn send_demands(messages: &RingSender<QuotaMessage>) {
    _ = messages.send(QuotaMessage::Config(config())).await;
    for number in 0..MAX_DEMANDS {
        let waiting = cores(10 + number as u32 % 2);
        let demand = AccountDemand {
            waiting,
            ..Default::default()
        };
        let demands = IndexMap::from([((AccountId::from(ACCOUNT), 0), demand)]);
        let terms = IndexMap::from([(0, 1)]);
        _ = messages.send(QuotaMessage::Demands(terms, demands)).await;
        Timer::after(DEMAND_INTERVAL).await;
    }
}

/// Returns whether the shard gets an allocation.
async fn wait_for_allocation(messages: &RingReceiver<ControlMessage>) -> bool {
    while let Some(message) = messages.recv().await {
        if let ControlMessage::Allocations(allocations) = message
            && allocations
                .iter()
                .any(|(_, _, allocation)| allocation.millicores > 0)
        {
            return true;
        }
    }
    false
}

/// A node that gets its first shard under load has not read the allocations yet. If each demand
/// interrupted the read, the shard would never get an allocation.
#[test]
fn frequent_demands_do_not_delay_the_first_allocation() {
    let (demands, messages) = ring("quota", 16);
    let (control, allocations) = ring("control", 1024);
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let store = Box::new(SlowStore::default());
    let duty = quota_duty::run(store, NodeSettings::default(), clock, messages, control);
    let served = async {
        duty.await;
        false
    };
    let sent = async {
        send_demands(&demands).await;
        false
    };
    let work = future::or(served, sent);
    assert!(future::block_on(future::or(
        work,
        wait_for_allocation(&allocations)
    )));
}

/// Demand of one account falls and the control duty never confirms the reduction. The allocation of
/// another account still grows.
#[test]
fn an_unconfirmed_reduction_does_not_delay_another_growth() {
    let (demands, messages) = ring("quota", 16);
    let (control, allocations) = ring("control", 1024);
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let store = Box::new(SlowStore::default());
    let duty = quota_duty::run(store, NodeSettings::default(), clock, messages, control);
    let requested = AtomicBool::new(false);
    let send = async {
        _ = demands.send(QuotaMessage::Config(config())).await;
        for number in 0..MAX_DEMANDS as u32 {
            let other = if requested.load(Ordering::SeqCst) {
                20
            } else {
                0
            };
            let waiting = [if number < 50 { 60 } else { 5 }, other];
            let demand = |waiting| AccountDemand {
                waiting: cores(waiting),
                ..Default::default()
            };
            let rows = [ACCOUNT, OTHER_ACCOUNT].into_iter().zip(waiting);
            let rows = rows.map(|(account, size)| ((account.into(), 0), demand(size)));
            let terms = IndexMap::from([(0, 1)]);
            let message = QuotaMessage::Demands(terms, rows.collect());
            _ = demands.send(message).await;
            Timer::after(DEMAND_INTERVAL).await;
        }
        false
    };
    let follow = async {
        let mut unanswered = Vec::new();
        while let Some(message) = allocations.recv().await {
            match message {
                ControlMessage::Reductions(_, reply) => {
                    unanswered.push(reply);
                    requested.store(true, Ordering::SeqCst);
                }
                ControlMessage::Allocations(rows) if !unanswered.is_empty() => {
                    let mut other = rows.iter().filter(|(_, name, _)| &**name == OTHER_ACCOUNT);
                    if other.any(|(.., size)| size.millicores >= 20_000) {
                        return true;
                    }
                }
                _ => {}
            }
        }
        false
    };
    let served = async {
        duty.await;
        false
    };
    let work = future::or(served, send);
    assert!(future::block_on(future::or(work, follow)));
}
