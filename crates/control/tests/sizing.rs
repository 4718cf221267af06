//! Sizes of pools under the loads that they answer.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

const CORES: u32 = 32;
const GAP: Duration = Duration::from_millis(200);

fn load(workers: u32, used_cores: u32, waiting_cores: u32) -> PoolLoad {
    let size = |cores: u32| ResourceSize {
        millicores: cores * 1000,
        memory_mib: cores * 1000,
        accelerators: 0,
    };
    PoolLoad {
        pool: "pool".into(),
        workers,
        capacity: ResourceSize {
            millicores: workers * CORES * 1000,
            memory_mib: workers * 65_536,
            accelerators: 0,
        },
        used: size(used_cores),
        waiting: size(waiting_cores),
        ..Default::default()
    }
}

/// Feeds a pool's work, one entry each 200 ms, and returns the needs.
fn needs(loads: &[PoolLoad]) -> Vec<usize> {
    let mut sizes = PoolSizes::new(SizingSettings::default());
    let mut now = Instant::now();
    let pool = PoolId::from("pool");
    let observe = |load: &PoolLoad| {
        now += GAP;
        sizes.observe(load, now);
        sizes.need(&pool)
    };
    loads.iter().map(observe).collect()
}

#[test]
fn a_steady_pool_has_room_for_a_tenth_more() {
    let steady = vec![load(8, 128, 0); 10];
    // 128 cores are 4 machines; a tenth more is 4.4, and one in reserve.
    assert_eq!(needs(&steady).last(), Some(&6));
}

#[test]
fn an_idle_pool_keeps_the_smallest_size() {
    let idle = vec![load(8, 0, 0); 10];
    assert_eq!(needs(&idle).last(), Some(&2));
}

#[test]
fn a_surge_is_met_before_all_of_it_is_there() {
    // Work grows by 100 cores a second, and a move takes more than a second.
    let surge: Vec<PoolLoad> = (0..8).map(|n| load(4, 100, 20 * n)).collect();
    let last = needs(&surge).pop().unwrap_or_default();
    let now = (100.0 + 140.0) / f64::from(CORES);
    assert!(
        last as f64 > now * 1.5,
        "sized for what is there already: {last}"
    );
    assert!(last <= 18, "sized far beyond what is to come: {last}");
}

#[test]
fn a_task_that_no_worker_may_take_asks_for_another_one() {
    let blocked = PoolLoad {
        blocked: 1,
        ..load(3, 30, 4)
    };
    assert_eq!(needs(&[blocked]), [4]);
}

#[test]
fn a_pool_shrinks_only_after_a_while() {
    let mut sizes = PoolSizes::new(SizingSettings::default());
    let pool = PoolId::from("pool");
    let mut now = Instant::now();
    assert_eq!(
        sizes.sustained_need(&pool),
        usize::MAX,
        "nothing is known yet"
    );
    for _ in 0..20 {
        now += GAP;
        sizes.observe(&load(10, 256, 0), now);
    }
    let full = sizes.sustained_need(&pool);
    now += GAP;
    sizes.observe(&load(10, 0, 0), now);
    assert_eq!(sizes.need(&pool), 2);
    assert_eq!(sizes.sustained_need(&pool), full);
    for _ in 0..20 {
        now += GAP;
        sizes.observe(&load(10, 0, 0), now);
    }
    assert_eq!(sizes.sustained_need(&pool), 2);
}
