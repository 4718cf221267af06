//! Measures the time of a placement decision for several numbers of workers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Number of measured decisions for each number of workers.
const DECISIONS: u64 = 200_000;
/// Number of availability zones.
const ZONES: usize = 6;
/// Number of slots of each worker.
const SLOTS: u32 = 8;
/// Number of workers in each rack.
const RACK_WORKERS: usize = 4;

fn generate_fleet(workers: usize) -> FleetSpec {
    let zones = (0..ZONES).map(|zone| ZoneSpec {
        id: format!("z{zone}").into(),
        ..ZoneSpec::default()
    });
    let workers: Vec<WorkerSpec> = (0..workers)
        .map(|index| WorkerSpec {
            id: format!("w{index}").into(),
            zone: format!("z{}", index % ZONES).into(),
            rack: format!("r{}", index / RACK_WORKERS).into(),
            cores: 32,
            memory_gib: 64,
            accelerators: 0,
            slots: SLOTS,
            connections: 64,
        })
        .collect();
    FleetSpec {
        fleet: "bench".into(),
        zones: zones.collect(),
        pools: vec![PoolSpec {
            id: "pool".into(),
            workers: workers.iter().map(|worker| worker.id.clone()).collect(),
            max_unavailable: 1,
            spare: false,
            min_workers: 0,
        }],
        workers,
        accounts: Vec::new(),
        queues: Vec::new(),
    }
}

fn worker_table(now: Instant, workers: usize) -> WorkerTable {
    let spec = generate_fleet(workers);
    let mut table = WorkerTable::new(TableSettings::default());
    table.set_fleet(now, &spec);
    for worker in &spec.workers {
        let assignment = PoolAssignment {
            pool: "pool".into(),
            may_start: true,
        };
        table.assign(now, &worker.id, assignment);
    }
    let instances = spec.workers.iter().map(|worker| InstanceEntry {
        worker: worker.id.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: InstanceState::Live,
    });
    table.set_instances(now, instances.collect());
    table
}

/// Measures picking a worker and acquiring a slot while nine tenths of the slots are in use.
fn measure(workers: usize) -> Histogram<u64> {
    let now = Instant::now();
    let mut table = worker_table(now, workers);
    let mut picker = TwoChoices::new(TwoChoicesSettings {
        home: "z0".into(),
        ..TwoChoicesSettings::default()
    });
    let pool = PoolId::from("pool");
    let size = ResourceSize::default();
    let request = PickRequest {
        pool: &pool,
        size,
        avoid: None,
        tier: SlotTier::Known,
        zone: None,
    };
    let mut running = std::collections::VecDeque::new();
    let max_running = workers * SLOTS as usize * 9 / 10;
    let mut times = Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("bounds are valid");
    let mut measured = 0;
    while measured < DECISIONS {
        let started = Instant::now();
        let worker = picker.pick(now, &request, &table);
        if let Some(worker) = &worker {
            table.acquire_slot(now, worker, &size);
        }
        let time = started.elapsed();
        running.extend(worker);
        if running.len() >= max_running {
            let time = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
            times.saturating_record(time);
            measured += 1;
            if let Some(worker) = running.pop_front() {
                let pace = 1.0;
                table.release_slot(now, &worker, &size, SlotOutcome::Done { pace });
            }
        }
    }
    times
}

fn main() {
    println!("workers  p50 ns  p99 ns  p99.9 ns  longest ns");
    for workers in [500, 2000, 8500] {
        let times = measure(workers);
        let quantile = |q| times.value_at_quantile(q);
        println!(
            "{workers:>7}  {:>6}  {:>6}  {:>8}  {:>10}",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            times.max()
        );
        let line = serde_json::json!({
            "bench": "placement",
            "workers": workers,
            "decisions": DECISIONS,
            "p50_ns": quantile(0.5),
            "p99_ns": quantile(0.99),
        });
        println!("{line}");
    }
    // The table of the largest fleet must be built within one read of the log.
    let started = Instant::now();
    let table = worker_table(started, 8500);
    let time: Duration = started.elapsed();
    let slots = table.roster("pool").map_or(0, PoolRoster::slots);
    println!(
        "table of 8500 workers with {slots} slots built in {} us",
        time.as_micros()
    );
}
