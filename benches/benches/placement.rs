//! Time of one placement decision against the number of workers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Decisions that are measured at each size.
const DECISIONS: u64 = 200_000;
/// Availability zones of the fleet.
const ZONES: usize = 6;
/// Slots of a worker.
const SLOTS: u32 = 8;
/// Workers in a rack.
const RACK_WORKERS: usize = 4;

fn fleet(workers: usize) -> FleetSpec {
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

fn table(now: Instant, workers: usize) -> WorkerTable {
    let spec = fleet(workers);
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

/// Picks, takes and releases slots while nine tenths of them are taken.
fn measure(workers: usize) -> Histogram<u64> {
    let now = Instant::now();
    let mut table = table(now, workers);
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
    let most = workers * SLOTS as usize * 9 / 10;
    let mut times = Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("bounds are valid");
    let mut measured = 0;
    while measured < DECISIONS {
        let begin = Instant::now();
        let worker = picker.pick(now, &request, &table);
        if let Some(worker) = &worker {
            table.acquire_slot(now, worker, &size);
        }
        let time = begin.elapsed();
        running.extend(worker);
        if running.len() >= most {
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
        let quantile = |part| times.value_at_quantile(part);
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
    // The full table has to be built within one reading of the log.
    let begin = Instant::now();
    let full = table(begin, 8500);
    let time: Duration = begin.elapsed();
    let slots = full.roster("pool").map_or(0, PoolRoster::slots);
    println!(
        "table of 8500 workers with {slots} slots built in {} us",
        time.as_micros()
    );
}
