//! Tests of the sizing of pools.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

const CORES: u32 = 32;
const INTERVAL: Duration = Duration::from_millis(200);

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

/// Returns the load of a pool of `workers` machines whose workers have `cores` left in all.
fn shrunken_load(workers: u32, cores: u32, used_cores: u32, waiting_cores: u32) -> PoolLoad {
    let full = load(workers, used_cores, waiting_cores);
    PoolLoad {
        full_capacity: full.capacity,
        capacity: ResourceSize {
            millicores: cores * 1000,
            memory_mib: cores * 2048,
            accelerators: 0,
        },
        ..full
    }
}

/// Records the loads of a pool at intervals of [`INTERVAL`] and returns the need after each.
fn needs(loads: &[PoolLoad]) -> Vec<usize> {
    let mut sizes = PoolSizes::new(SizingSettings::default());
    let mut now = Instant::now();
    let pool = PoolId::from("pool");
    let observe = |load: &PoolLoad| {
        now += INTERVAL;
        sizes.observe(load, now);
        sizes.need(&pool)
    };
    loads.iter().map(observe).collect()
}

#[test]
fn a_steady_pool_has_headroom_for_a_tenth_more() {
    let steady = vec![load(8, 128, 0); 10];
    // 128 cores take 4 machines; 10 % headroom makes 4.4, plus one in reserve.
    assert_eq!(needs(&steady).last(), Some(&6));
}

#[test]
fn an_idle_pool_keeps_the_minimum_size() {
    let idle = vec![load(8, 0, 0); 10];
    assert_eq!(needs(&idle).last(), Some(&2));
}

#[test]
fn a_growing_load_is_anticipated() {
    // The work grows by 100 cores per second, and a move takes more than a second.
    let growing: Vec<PoolLoad> = (0..8).map(|n| load(4, 100, 20 * n)).collect();
    let last = needs(&growing).pop().unwrap_or_default();
    let now = (100.0 + 140.0) / f64::from(CORES);
    assert!(
        last as f64 > now * 1.5,
        "sized for the current work only: {last}"
    );
    assert!(last <= 18, "sized far beyond the expected work: {last}");
}

#[test]
fn a_task_that_no_worker_may_run_adds_a_machine() {
    let blocked = PoolLoad {
        blocked: 1,
        ..load(3, 30, 4)
    };
    assert_eq!(needs(&[blocked]), [4]);
}

#[test]
fn a_pool_whose_workers_lost_their_capacity_grows_by_full_machines() {
    let lost_all = shrunken_load(8, 0, 0, 64);
    // 60 % of 64 cores and a tenth more take 1.3 machines, with one in reserve, beside the 8.
    assert_eq!(needs(&[lost_all]), [11]);
    let lost_half = shrunken_load(8, 128, 128, 0);
    assert_eq!(needs(&vec![lost_half; 10]).last(), Some(&10));
}

#[test]
fn a_pool_keeps_more_machines_while_these_have_lost_capacity() {
    let lost_half = shrunken_load(8, 128, 32, 0);
    // The work takes two machines, with one in reserve; each has half of its capacity left.
    assert_eq!(needs(&vec![lost_half; 10]).last(), Some(&6));
}

#[test]
fn a_pool_grows_whose_full_machines_are_unknown() {
    let unknown = PoolLoad {
        full_capacity: ResourceSize::default(),
        ..shrunken_load(3, 0, 0, 4)
    };
    assert_eq!(needs(&[unknown]), [4]);
}

#[test]
fn a_pool_shrinks_only_after_the_shrink_delay() {
    let mut sizes = PoolSizes::new(SizingSettings::default());
    let pool = PoolId::from("pool");
    let mut now = Instant::now();
    assert_eq!(
        sizes.sustained_need(&pool),
        usize::MAX,
        "there is no history yet"
    );
    for _ in 0..20 {
        now += INTERVAL;
        sizes.observe(&load(10, 256, 0), now);
    }
    let full = sizes.sustained_need(&pool);
    now += INTERVAL;
    sizes.observe(&load(10, 0, 0), now);
    assert_eq!(sizes.need(&pool), 2);
    assert_eq!(sizes.sustained_need(&pool), full);
    for _ in 0..20 {
        now += INTERVAL;
        sizes.observe(&load(10, 0, 0), now);
    }
    assert_eq!(sizes.sustained_need(&pool), 2);
}

/// Returns the shares of pools with these needs, all for work in time and without long-running tasks.
fn shares(needs: &[usize], machines: usize) -> Vec<usize> {
    let claim = |need: &usize| PoolClaim {
        urgent: *need,
        need: *need,
        ..Default::default()
    };
    let claims: Vec<PoolClaim> = needs.iter().map(claim).collect();
    share_machines(&claims, machines)
}

/// The needs of the small twin of a calm day: with shares in proportion, the other pools had one machine
/// each.
#[test]
fn a_queue_that_needs_more_than_all_machines_takes_none_from_smaller_needs() {
    assert_eq!(shares(&[360, 6, 5, 7], 102), [84, 6, 5, 7]);
    assert_eq!(shares(&[360, 200, 5, 7], 102), [45, 45, 5, 7]);
    assert_eq!(shares(&[20, 6, 5, 7], 102), [20, 6, 5, 7]);
    for overload in [2, 5, 10] {
        assert_eq!(shares(&[25 * overload; 4], 100), [25; 4]);
        assert_eq!(shares(&[70 * overload, 10, 10, 10], 100), [70, 10, 10, 10]);
    }
}

#[test]
fn a_pool_keeps_the_machines_with_long_running_tasks() {
    let claims = [(0, 50), (15, 20), (0, 50)];
    let claims = claims.map(|(anchors, need)| PoolClaim {
        anchors,
        urgent: need,
        need,
    });
    assert_eq!(share_machines(&claims, 31), [8, 15, 8]);
}

/// The queue of one turn was still being worked off, late, when the next pool's turn came.
#[test]
fn late_work_gets_the_machines_that_work_in_time_leaves() {
    let late = PoolClaim {
        urgent: 10,
        need: 400,
        ..Default::default()
    };
    let in_time = PoolClaim {
        urgent: 70,
        need: 70,
        ..Default::default()
    };
    assert_eq!(share_machines(&[late, in_time], 102), [32, 70]);
    assert_eq!(share_machines(&[late, in_time], 500), [400, 70]);
}

/// Most of the waiting work can no longer be in time.
#[test]
fn late_work_counts_towards_the_need_and_not_towards_the_urgent_one() {
    let mut sizes = PoolSizes::new(SizingSettings::default());
    let mut pool = load(10, 300, 2000);
    pool.late = pool.waiting;
    sizes.observe(&pool, Instant::now());
    let claim = sizes.claim(&pool.pool, 3);
    assert_eq!((claim.anchors, claim.urgent), (3, 12));
    assert!(claim.need > 50, "{claim:?}");
}
