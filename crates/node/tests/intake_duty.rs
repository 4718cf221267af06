//! Registration of the pools of queues by several nodes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_node::intake_duty;
use pw_node::message::CallerMessage;
use pw_node::prelude::*;
use pw_ring::prelude::*;

use self::support::MemoryStore;

const QUEUE: &str = "host/queue/";
const SHARDS: u32 = 24;
const INTAKES: StorePartition = StorePartition {
    topic: StoreTopic::Intakes,
    shard: 0,
};

/// Returns a configuration whose queue leads to a pool.
fn config(version: u64, pool: &str) -> Arc<FleetConfig> {
    let rule = QueueRule {
        host: "host".into(),
        path_prefix: "/queue/".into(),
        pool: pool.into(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        target_latency: Duration::from_millis(600),
        public: false,
        advice: None,
    };
    Arc::new(FleetConfig {
        version,
        queues: IndexMap::from([(QueueId::from(QUEUE), rule)]),
        ..Default::default()
    })
}

/// Lets a node that has just started take these configurations in turn; returns its table after each.
fn take_configs(store: &MemoryStore, configs: &[Arc<FleetConfig>]) -> Vec<Arc<IntakeTable>> {
    let (sender, received) = ring("intake", 1);
    let (callers, messages) = ring("callers", 4);
    let store = Box::new(store.clone());
    let duty = intake_duty::run(store, NodeSettings::default(), received, callers);
    let take = async {
        let mut tables = Vec::new();
        for config in configs {
            sender
                .send(Arc::clone(config))
                .await
                .expect("the duty runs");
            if let Some(CallerMessage::Intakes(table)) = messages.recv().await {
                tables.push(table);
            }
        }
        tables
    };
    let ended = async {
        duty.await;
        Vec::new()
    };
    future::block_on(future::or(take, ended))
}

fn shards(table: &IntakeTable, pool: &str) -> Option<QueueShards> {
    table.shards_of(QUEUE, pool, SHARDS)
}

/// Guards against a node that looks for a job only where its queue leads now: one that started after
/// the queue had moved learns all its pools.
#[test]
fn a_node_that_starts_after_a_move_knows_the_former_pool() {
    let store = MemoryStore::default();
    take_configs(&store, &[config(1, "old"), config(4, "new")]);
    let tables = take_configs(&store, &[config(4, "new")]);
    let places = shards(&tables[0], "new").expect("a registered queue");
    assert_eq!(places.intake, find_shard("old", SHARDS));
    assert!(places.others.contains(&find_shard("new", SHARDS)));
}

/// Guards against two nodes with different configurations that take a queue's submissions in
/// different shards.
#[test]
fn nodes_with_different_configurations_agree_on_the_intake_shard() {
    let store = MemoryStore::default();
    let ahead = take_configs(&store, &[config(4, "new")]);
    let behind = take_configs(&store, &[config(1, "old")]);
    let intake = shards(&ahead[0], "new").map(|places| places.intake);
    assert!(intake.is_some());
    assert_eq!(
        shards(&behind[0], "old").map(|places| places.intake),
        intake
    );
}

/// Guards against jobs that can't be found since a node skipped the version under which they were
/// accepted, while its queue leads to the same pool as before.
#[test]
fn a_node_learns_the_pools_of_versions_that_it_never_saw() {
    let store = MemoryStore::default();
    let (sender, received) = ring("intake", 1);
    let (callers, messages) = ring("callers", 4);
    let duty = intake_duty::run(
        Box::new(store.clone()),
        NodeSettings::default(),
        received,
        callers,
    );
    let check = async {
        _ = sender.send(config(1, "old")).await;
        _ = messages.recv().await;
        take_configs(&store, &[config(2, "new")]);
        _ = sender.send(config(3, "old")).await;
        let Some(CallerMessage::Intakes(table)) = messages.recv().await else {
            panic!("no table");
        };
        let places = shards(&table, "old").expect("a registered queue");
        assert!(places.others.contains(&find_shard("new", SHARDS)));
    };
    future::block_on(future::or(duty, check));
}

/// Guards against jobs that are accepted for a pool of which no other node knows.
#[test]
fn a_queue_takes_no_jobs_for_a_pool_that_is_not_registered() {
    let store = MemoryStore::default();
    let tables = take_configs(&store, &[config(1, "old")]);
    assert!(shards(&tables[0], "old").is_some());
    assert_eq!(shards(&tables[0], "new"), None);
}

/// Guards against a record that can't be read and is replaced by one with another intake pool.
#[test]
fn a_record_that_cannot_be_read_is_not_replaced() {
    let store = MemoryStore::default();
    store.put(INTAKES, QUEUE, vec![0xff; 3]);
    let tables = take_configs(&store, &[config(1, "old")]);
    assert_eq!(shards(&tables[0], "old"), None);
    assert_eq!(store.records(INTAKES).len(), 1);
}
