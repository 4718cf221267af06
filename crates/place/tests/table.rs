//! Tests which workers of the table are open for tasks, and in which tier.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_place::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

const SLOTS: u32 = 2;

fn assignment(pool: &str, may_start: bool) -> PoolAssignment {
    PoolAssignment {
        pool: pool.into(),
        may_start,
    }
}

/// Creates a table with two live workers, `w1` and `w2`, in pool `p`.
fn table(now: Instant) -> WorkerTable {
    let names = ["w1", "w2"];
    let workers = names.map(|id| WorkerSpec {
        id: id.into(),
        zone: "z".into(),
        rack: "r".into(),
        cores: 1,
        memory_gib: 1,
        accelerators: 0,
        slots: SLOTS,
        connections: 64,
    });
    let spec = FleetSpec {
        fleet: "test".into(),
        zones: vec![ZoneSpec {
            id: "z".into(),
            ..ZoneSpec::default()
        }],
        workers: workers.into(),
        pools: Vec::new(),
        accounts: Vec::new(),
        queues: Vec::new(),
    };
    let instances = names.map(|worker| InstanceEntry {
        worker: worker.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: InstanceState::Live,
    });
    let mut table = WorkerTable::new(TableSettings::default());
    table.set_fleet(now, &spec);
    table.set_instances(now, instances.into());
    for worker in names {
        table.assign(now, &worker.into(), assignment("p", true));
    }
    table
}

fn open(table: &WorkerTable, pool: &str, tier: SlotTier) -> usize {
    table
        .roster(pool)
        .map_or(0, |roster| roster.open(tier).count())
}

#[test]
fn draining_worker_gets_no_new_tasks_and_keeps_running_ones() {
    let now = Instant::now();
    let mut table = table(now);
    let (worker, size) = (WorkerId::from("w1"), ResourceSize::default());
    table.acquire_slot(now, &worker, &size);
    assert!(table.assign(now, &worker, assignment("p", false)));
    assert_eq!(open(&table, "p", SlotTier::Known), 1);
    let roster = table.roster("p").expect("roster");
    assert_eq!((roster.slots(), roster.in_flight()), (SLOTS, 1));
    table.release_slot(now, &worker, &size, SlotOutcome::Done { pace: 1.0 });
    assert_eq!(open(&table, "p", SlotTier::Known), 1);
    table.assign(now, &worker, assignment("p", true));
    assert_eq!(open(&table, "p", SlotTier::Known), 2);
}

#[test]
fn moved_worker_is_in_one_pool_with_its_tasks() {
    let now = Instant::now();
    let mut table = table(now);
    let (worker, size) = (WorkerId::from("w1"), ResourceSize::default());
    table.acquire_slot(now, &worker, &size);
    table.assign(now, &worker, assignment("q", true));
    for (pool, members, in_flight) in [("p", 1, 0), ("q", 1, 1)] {
        let roster = table.roster(pool).expect("roster");
        assert_eq!(
            (roster.members(), roster.in_flight()),
            (members, in_flight),
            "{pool}"
        );
        assert_eq!(open(&table, pool, SlotTier::Known), 1, "{pool}");
    }
    table.release_slot(now, &worker, &size, SlotOutcome::Done { pace: 1.0 });
    assert_eq!(table.roster("q").map(PoolRoster::in_flight), Some(0));
}

#[test]
fn busy_worker_is_probed_after_backoff_and_keeps_known_slots() {
    let now = Instant::now();
    let mut table = table(now);
    let (worker, size) = (WorkerId::from("w1"), ResourceSize::default());
    table.acquire_slot(now, &worker, &size);
    table.acquire_slot(now, &worker, &size);
    table.release_slot(now, &worker, &size, SlotOutcome::Busy);
    assert_eq!(open(&table, "p", SlotTier::Known), 1);
    assert_eq!(open(&table, "p", SlotTier::Probe), 0);
    table.expire_backoffs(now + Duration::from_secs(1));
    assert_eq!(open(&table, "p", SlotTier::Probe), 1);
    table.release_slot(now, &worker, &size, SlotOutcome::Done { pace: 1.0 });
    assert_eq!(open(&table, "p", SlotTier::Known), 2);
}

#[test]
fn removed_worker_is_not_counted_in_its_pool() {
    let now = Instant::now();
    let mut table = table(now);
    let worker = WorkerId::from("w1");
    table.acquire_slot(now, &worker, &ResourceSize::default());
    let empty = FleetSpec {
        fleet: "test".into(),
        zones: Vec::new(),
        workers: Vec::new(),
        pools: Vec::new(),
        accounts: Vec::new(),
        queues: Vec::new(),
    };
    table.set_fleet(now, &empty);
    let roster = table.roster("p").expect("roster");
    let counts = (roster.members(), roster.slots(), roster.in_flight());
    assert_eq!(counts, (0, 0, 0));
    assert!(roster.is_closed());
}
