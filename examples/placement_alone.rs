//! Places tasks on the workers of a fleet file, without the rest of the system.
//!
//! Run it with `cargo run --example placement_alone`.

use std::net::SocketAddr;
use std::time::Instant;

use primrosewheel::prelude::*;

const FLEET_FILE: &str = include_str!("telar-norte.toml");
const TASKS: usize = 6;

fn main() {
    let now = Instant::now();
    let fleet =
        check_fleet("telar-norte.toml", FLEET_FILE).expect("the fleet file has no findings");
    let mut table = live_table(now, &fleet);
    let mut picker = TwoChoices::new(TwoChoicesSettings {
        home: "cantabrico-a".into(),
        ..TwoChoicesSettings::default()
    });
    let pool = PoolId::from("cutting");
    let size = ResourceSize::default();
    let request = PickRequest {
        pool: &pool,
        size,
        avoid: None,
        tier: SlotTier::Known,
        zone: None,
    };
    for task in 1..=TASKS {
        match picker.pick(now, &request, &table) {
            Some(worker) => {
                println!("task {task} runs on {worker}");
                table.acquire_slot(now, &worker, &size);
            }
            None => println!("task {task} waits"),
        }
    }
}

/// Returns a table of the workers of the fleet, all live and assigned to their declared pools.
fn live_table(now: Instant, fleet: &FleetSpec) -> WorkerTable {
    let mut table = WorkerTable::new(TableSettings::default());
    table.set_fleet(now, fleet);
    for pool in &fleet.pools {
        for worker in &pool.workers {
            let assignment = PoolAssignment {
                pool: pool.id.clone(),
                may_start: true,
            };
            table.assign(now, worker, assignment);
        }
    }
    let instances = fleet.workers.iter().map(|worker| InstanceEntry {
        worker: worker.id.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 7100)),
        state: InstanceState::Live,
    });
    table.set_instances(now, instances.collect());
    table
}
