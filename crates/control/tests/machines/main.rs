//! Tests of the machine controller against a fake platform.

mod orders;
mod platform;
mod waves;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;

use platform::{Platform, cores, pools};

/// Makes the worker of machine `m0` unreachable for its shard owner.
fn mark_first_unreachable(platform: &mut Platform) {
    platform.run(Duration::from_secs(1));
    platform.unreachable = vec![UnreachableWorker {
        machine: "m0".into(),
        life: WorkerLife {
            worker: "w0".into(),
            life: 7,
        },
    }];
}

#[test]
fn an_unreachable_worker_has_ended_when_its_machine_is_listed_as_down() {
    let mut platform = Platform::new(4, WaveRule::default());
    mark_first_unreachable(&mut platform);
    platform.run(Duration::from_secs(1));
    assert!(platform.ended.is_empty(), "the machine is up");
    platform.views["m0"].state = MachineState::Down;
    platform.views["m0"].worker = None;
    platform.run(Duration::from_millis(500));
    assert_eq!(platform.ended, [platform.unreachable[0].life.clone()]);
}

/// A machine that is gone for good is no longer listed at all.
#[test]
fn an_unreachable_worker_has_ended_when_its_machine_is_no_longer_listed() {
    let mut platform = Platform::new(4, WaveRule::default());
    mark_first_unreachable(&mut platform);
    platform.views.swap_remove("m0");
    platform.run(Duration::from_millis(1500));
    assert_eq!(platform.ended, [platform.unreachable[0].life.clone()]);
}

/// A list is read in pages while machines come and go.
#[test]
fn a_machine_that_is_missing_from_two_lists_is_not_gone() {
    let mut platform = Platform::new(4, WaveRule::default());
    mark_first_unreachable(&mut platform);
    platform.run(Duration::from_secs(1));
    for _ in 0..4 {
        let listed = platform.list();
        let mut partial = listed.clone();
        partial.machines.remove(0);
        for list in [partial.clone(), partial, listed] {
            platform.now += Duration::from_millis(10);
            platform.handle(MachineEvent::Machines {
                list,
                requested_at: platform.now,
            });
            platform.handle(MachineEvent::Tick);
            assert!(platform.ended.is_empty(), "an incomplete list ended a life");
        }
    }
}

/// The platform answers slowly, so three lists are read at the same time, and one machine that goes
/// away shifts the pages of all of them.
#[test]
fn lists_that_are_read_at_the_same_time_do_not_end_the_life_on_a_machine_that_they_lack() {
    let mut platform = Platform::new(4, WaveRule::default());
    mark_first_unreachable(&mut platform);
    platform.run(Duration::from_millis(500));
    let requested = (0..3).map(|list| platform.now + Duration::from_millis(250 * list));
    let mut partial = platform.list();
    partial.machines.remove(0);
    let mut answered_at = platform.now + Duration::from_millis(900);
    for requested_at in requested {
        let list = MachineEvent::Machines {
            list: partial.clone(),
            requested_at,
        };
        answered_at += Duration::from_millis(150);
        let commands = platform.controller.handle(answered_at, list);
        let ended = commands.iter().any(|command| {
            matches!(command, MachineCommand::Survey(_, order) if !order.ended.is_empty())
        });
        assert!(!ended, "lists of one moment ended a life");
    }
}

/// A malformed row of a list may be that of any machine.
#[test]
fn a_list_with_malformed_rows_does_not_end_the_life_on_a_machine_that_it_lacks() {
    let mut platform = Platform::new(4, WaveRule::default());
    mark_first_unreachable(&mut platform);
    platform.lists_are_complete = false;
    platform.views.swap_remove("m0");
    platform.run(Duration::from_secs(3));
    assert!(platform.ended.is_empty(), "an incomplete list ended a life");
}

/// The machine comes back after the list was read and before its owner reports it as unreachable.
#[test]
fn a_list_requested_before_the_report_of_a_life_ends_nothing() {
    let mut platform = Platform::new(4, WaveRule::default());
    platform.views["m0"].state = MachineState::Down;
    platform.views["m0"].worker = None;
    mark_first_unreachable(&mut platform);
    platform.views["m0"].state = MachineState::Up;
    platform.views["m0"].worker = Some("w0".into());
    platform.run(Duration::from_millis(150));
    assert!(platform.ended.is_empty(), "a stale list ended a life");
    platform.run(Duration::from_secs(1));
    assert!(platform.ended.is_empty());
}

/// The platform answers slowly, so an older list arrives after a newer one.
#[test]
fn a_list_that_arrives_after_a_newer_one_ends_nothing() {
    let mut platform = Platform::new(4, WaveRule::default());
    let earlier = platform.now;
    mark_first_unreachable(&mut platform);
    platform.run(Duration::from_millis(500));
    let mut list = platform.list();
    list.machines[0].state = MachineState::Down;
    list.machines[0].worker = None;
    platform.handle(MachineEvent::Machines {
        list,
        requested_at: earlier,
    });
    for _ in 0..6 {
        platform.run(Duration::from_millis(50));
        assert!(platform.ended.is_empty(), "a stale list ended a life");
    }
}

/// One pool is at its peak load while the other one is almost idle.
#[test]
fn machines_move_from_an_idle_pool_to_a_busy_one_and_the_rest_to_the_spare_pool() {
    let mut platform = pools();
    platform.work.insert("a".into(), (190, 150));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    let (a, b) = (platform.members("a"), platform.members("b"));
    assert!(a >= 10, "the busy pool got {a} machines");
    let idle_size =
        SizingSettings::default().min_machines + SizingSettings::default().shrink_margin;
    assert_eq!(b, idle_size, "the idle pool kept surplus machines");
    platform.work.insert("a".into(), (20, 0));
    platform.run(Duration::from_secs(10));
    assert_eq!(platform.members("a"), idle_size);
    assert_eq!(platform.members("spare"), 16 - 2 * idle_size);
}

/// A zone is cut off at peak load: its machines are listed, but no run can start on them.
#[test]
fn unusable_machines_are_replaced_from_the_spare_pool() {
    let mut platform = pools();
    platform.work.insert("a".into(), (100, 20));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    let before = platform.members("a");
    let pool = platform.views.values().filter(|view| &*view.pool == "a");
    let cut: Vec<WorkerId> = pool
        .filter_map(|view| view.worker.clone())
        .take(3)
        .collect();
    platform.unavailable = cut.clone();
    platform.run(Duration::from_secs(4));
    let views = platform.views.values();
    let usable = views.filter(|view| {
        let cut = view
            .worker
            .as_ref()
            .is_some_and(|worker| cut.contains(worker));
        &*view.pool == "a" && !cut
    });
    // The machines beyond the need only delay shrinking and are not replaced.
    let kept = SizingSettings::default().shrink_margin;
    let usable = usable.count();
    assert!(usable + kept >= before, "{usable} of {before}");
}

#[test]
fn machines_of_an_evacuated_zone_move_to_the_spare_pool_and_stay_there() {
    let mut platform = pools();
    platform.work.insert("a".into(), (100, 20));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    for view in platform.views.values_mut().take(4) {
        view.zone = "out".into();
    }
    let pool = platform.views.values().filter(|view| &*view.zone == "out");
    platform.unavailable = pool.filter_map(|view| view.worker.clone()).collect();
    let mut config = (*platform.config).clone();
    config.evacuated = IndexSet::from(["out".into()]);
    platform.config = Arc::new(config);
    platform.handle(MachineEvent::Config(Arc::clone(&platform.config)));
    platform.run(Duration::from_secs(6));
    platform.work.insert("a".into(), (300, 200));
    platform.run(Duration::from_secs(4));
    let out = platform.views.values().filter(|view| &*view.zone == "out");
    assert!(out.into_iter().all(|view| &*view.pool == "spare"));
}

#[test]
fn no_machine_moves_to_a_pool_that_is_not_configured() {
    let mut platform = pools();
    platform.work.insert("a".into(), (20, 0));
    platform.run(Duration::from_secs(1));
    let load = PoolLoad {
        pool: "unknown".into(),
        used: cores(300),
        waiting: cores(300),
        ..Default::default()
    };
    let report = SurveyReport {
        pools: vec![load],
        ..Default::default()
    };
    platform.handle(MachineEvent::Surveyed {
        shard: 0,
        report,
        requested_at: platform.now,
    });
    platform.run(Duration::from_secs(5));
    let moves = platform.orders.iter().map(|order| &order.action);
    let unknown = MachineAction::Move("unknown".into());
    assert_eq!(moves.filter(|action| **action == unknown).count(), 0);
}

#[test]
fn a_pool_with_a_long_queue_leaves_the_others_what_they_need() {
    let mut platform = pools();
    platform.work.insert("a".into(), (190, 6000));
    platform.work.insert("b".into(), (100, 60));
    platform.run(Duration::from_secs(6));
    let (a, b) = (platform.members("a"), platform.members("b"));
    assert_eq!(a + b, 16, "a machine is not in use");
    assert!(a > b && b >= 6, "{a} and {b} machines");
}

#[test]
fn no_machine_moves_while_the_load_is_unknown() {
    let mut platform = pools();
    platform.run(Duration::from_secs(5));
    assert!(platform.orders.is_empty());
}

#[test]
fn a_spare_machine_that_stays_busy_is_avoided() {
    let mut platform = pools();
    platform.outcome = MachineOutcome::Busy;
    platform.work.insert("a".into(), (190, 400));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(3));
    let first: IndexSet<MachineId> = platform.orders.iter().map(|o| o.machine.clone()).collect();
    assert!(first.len() > 4, "one busy machine blocked the others");
}
