//! Maintenance waves, moves and zones under the failures that they have to survive.

mod support;

use std::time::Duration;

use pw_plan::headroom::PoolHeadroom;
use pw_plan::maintenance::WaveSequence;
use pw_plan::prelude::*;
use pw_pool::prelude::*;
use pw_zone::prelude::*;

use support::{FakeFleet, STEP};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);

/// Returns whether the first wave has been through the whole fleet.
fn wave_done(fleet: &FakeFleet) -> bool {
    let admitted = |one: &PoolInstance| one.phase == InstancePhase::InService;
    fleet.ledger.wave().number == 1
        && fleet.ledger.wave_finished()
        && fleet.ledger.instances().all(admitted)
}

fn assert_each_rebooted_once(fleet: &FakeFleet) {
    for (worker, machine) in &fleet.machines {
        assert_eq!((machine.reboots, machine.cut_off), (1, false), "{worker}");
    }
}

#[test]
fn wave_reboots_each_instance_once_and_cuts_off_no_task() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    assert_each_rebooted_once(&fleet);
    assert_eq!(fleet.moves, 0);
}

/// What disturbs a wave.
struct Trouble {
    name: &'static str,
    planners: usize,
    begin: fn(&mut FakeFleet),
    end: fn(&mut FakeFleet),
}

#[test]
fn wave_finishes_after_trouble_and_reboots_no_instance_twice() {
    let nothing: fn(&mut FakeFleet) = |_| {};
    let troubles = [
        Trouble {
            name: "orders are lost",
            planners: 1,
            begin: |fleet| fleet.lose_orders = 2,
            end: nothing,
        },
        Trouble {
            name: "appends are lost",
            planners: 1,
            begin: |fleet| fleet.lose_appends = 2,
            end: nothing,
        },
        Trouble {
            name: "the log is down",
            planners: 2,
            begin: |fleet| fleet.log_up = false,
            end: |fleet| fleet.log_up = true,
        },
        Trouble {
            name: "the planner vanishes",
            planners: 2,
            begin: |fleet| _ = fleet.planners[0].take(),
            end: nothing,
        },
        Trouble {
            name: "the planner vanishes while orders are lost",
            planners: 2,
            begin: |fleet| {
                fleet.lose_orders = 3;
                fleet.planners[0].take();
            },
            end: nothing,
        },
        Trouble {
            name: "a budget is lowered to nothing and raised again",
            planners: 1,
            begin: |fleet| {
                fleet.pools[0].max_unavailable = 0;
                fleet.apply();
            },
            end: |fleet| {
                fleet.pools[0].max_unavailable = 2;
                fleet.apply();
            },
        },
    ];
    for Trouble {
        name,
        planners,
        begin,
        end,
    } in troubles
    {
        let mut fleet = FakeFleet::new(planners);
        fleet.pass(3 * MINUTE);
        begin(&mut fleet);
        fleet.pass(5 * MINUTE);
        end(&mut fleet);
        fleet.run_until(12 * HOUR, wave_done);
        println!("{name}");
        assert_each_rebooted_once(&fleet);
    }
}

#[test]
fn planner_that_wakes_after_a_takeover_changes_nothing() {
    let mut fleet = FakeFleet::new(2);
    fleet.run_until(HOUR, |fleet| {
        let rebooting = |one: &PoolInstance| one.phase == InstancePhase::Rebooting;
        fleet.ledger.instances().any(rebooting)
    });
    fleet.now += STEP;
    let late = fleet.think(0);
    let reboots = |command: &PlanCommand| matches!(command, PlanCommand::Order(order) if order.action == MachineAction::Reboot);
    assert!(late.iter().any(reboots), "{late:?}");
    let paused = fleet.planners[0].take();
    fleet.run_until(12 * HOUR, wave_done);
    assert_eq!(fleet.ledger.planner().holder.as_deref(), Some("entry-1"));
    let before = fleet.ledger.clone();
    fleet.carry_out(late);
    fleet.planners[0] = paused;
    assert_eq!(
        fleet.ledger.instances().collect::<Vec<_>>(),
        before.instances().collect::<Vec<_>>()
    );
    fleet.pass(5 * MINUTE);
    assert_each_rebooted_once(&fleet);
}

#[test]
fn planner_without_a_fresh_reading_gives_no_orders() {
    let mut fleet = FakeFleet::new(1);
    fleet.pass(3 * MINUTE);
    fleet.log_up = false;
    fleet.machine("quotes-7").state = MachineState::Lost;
    fleet.pass(PlanSettings::default().reading_validity);
    for _ in 0..60 {
        fleet.now += STEP;
        assert_eq!(fleet.think(0), Vec::new());
    }
}

#[test]
fn failures_that_eat_the_budget_stop_a_wave_until_they_are_mended() {
    let mut fleet = FakeFleet::new(1);
    fleet.pools[2].min_workers = 4;
    fleet.apply();
    fleet.pass(MINUTE);
    let failing = ["cutting-5", "cutting-6", "cutting-7"];
    for worker in failing {
        fleet.machine(worker).state = MachineState::Lost;
    }
    let hold = |fleet: &FakeFleet| {
        let out = |one: &&PoolInstance| one.phase == InstancePhase::Failed;
        fleet.ledger.members("cutting").filter(out).count() == 3
    };
    fleet.run_until(HOUR, hold);
    fleet.run_until(HOUR, |fleet| fleet.ledger.budget("cutting").available >= 5);
    for _ in 0..600 {
        fleet.pass(STEP);
        assert_eq!(
            fleet.ledger.budget("cutting").available,
            5,
            "a drain beside three failures"
        );
    }
    for worker in failing {
        fleet.machine(worker).replace();
    }
    fleet.run_until(12 * HOUR, wave_done);
    assert!(
        failing
            .iter()
            .all(|worker| fleet.machines[*worker].reboots == 0)
    );
}

#[test]
fn nothing_more_drains_around_a_failure_until_it_has_settled() {
    let mut fleet = FakeFleet::new(1);
    fleet.pools[1].max_unavailable = 0;
    fleet.pools[2].min_workers = 4;
    fleet.apply();
    fleet.pass(MINUTE);
    fleet.machine("quotes-7").state = MachineState::Lost;
    let failed = |fleet: &FakeFleet| fleet.phase("quotes-7") == PhaseKind::Failed;
    fleet.run_until(HOUR, failed);
    fleet.pools[1].max_unavailable = 3;
    fleet.apply();
    let settle = PlanSettings::default().settle_time;
    let drains = |fleet: &FakeFleet| {
        let mut members = fleet.ledger.members("quotes");
        members.any(|one| one.kind() == PhaseKind::Draining)
    };
    let quiet = fleet.run_until(HOUR, drains);
    assert!(
        quiet + 2 * STEP >= settle,
        "drained {quiet:?} after a failure"
    );
}

#[test]
fn zone_is_drained_by_its_deadline_and_comes_back_in_stages() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    let long = fleet.now + HOUR;
    fleet.machine("cutting-0").set_busy_until(long);
    let short = fleet.now + 4 * MINUTE;
    fleet.machine("cutting-2").set_busy_until(short);
    fleet.set_zone(0, ZoneStatus::OutOfService);
    assert!(!fleet.ledger.may_start("cutting-0"));
    fleet.pass(5 * MINUTE + 10 * STEP);
    let in_zone = |fleet: &FakeFleet, worker: &str| {
        fleet
            .ledger
            .instance(worker)
            .is_some_and(|one| &*one.zone == "a")
    };
    for (worker, machine) in &fleet.machines {
        let expected = if in_zone(&fleet, worker) {
            MachineState::Drained
        } else {
            MachineState::Serving
        };
        assert_eq!(machine.state, expected, "{worker}");
        assert_eq!(machine.cut_off, &**worker == "cutting-0", "{worker}");
    }
    assert!(fleet.machine("cutting-0").checkpointed);
    fleet.set_zone(0, ZoneStatus::InService);
    let size = fleet
        .ledger
        .instances()
        .filter(|one| &*one.zone == "a")
        .count();
    let most = size * PlanSettings::default().admit_percent / 100;
    let admitted = |fleet: &FakeFleet| {
        let open = |one: &&PoolInstance| &*one.zone == "a" && fleet.ledger.may_start(&one.worker);
        fleet.ledger.instances().filter(open).count()
    };
    let window = PlanSettings::default().admit_interval.as_secs() as usize;
    let mut history = vec![0; window];
    while history[history.len() - 1] < size {
        fleet.pass(STEP);
        history.push(admitted(&fleet));
        let before = history[history.len() - window];
        let now = history[history.len() - 1];
        assert!(now <= before + most, "{before} to {now} of {size} at once");
    }
}

#[test]
fn pool_that_loses_a_zone_borrows_and_gives_back_without_flapping() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    fleet.set_zone(0, ZoneStatus::OutOfService);
    fleet.pass(15 * MINUTE);
    let borrowed = fleet.moves;
    assert!(borrowed > 0);
    assert!(fleet.ledger.members("office").count() >= 1);
    fleet.pass(HOUR);
    assert_eq!(fleet.moves, borrowed, "moves while nothing changes");
    fleet.set_zone(0, ZoneStatus::InService);
    fleet.pass(HOUR);
    assert_eq!(fleet.moves, 2 * borrowed, "each worker there and back once");
    assert!(fleet.ledger.instances().all(|one| one.pool == one.home));
}

#[test]
fn short_shortage_moves_nothing() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    for _ in 0..5 {
        fleet.set_zone(0, ZoneStatus::OutOfService);
        fleet.pass(PlanSettings::default().borrow_after - STEP);
        fleet.set_zone(0, ZoneStatus::InService);
        fleet.pass(5 * MINUTE);
    }
    assert_eq!(fleet.moves, 0);
}

#[test]
fn instance_replaced_during_its_drain_is_not_rebooted() {
    let mut fleet = FakeFleet::new(1);
    let draining = |fleet: &FakeFleet| {
        let instances = fleet.ledger.instances();
        let mut draining = instances.filter(|one| one.kind() == PhaseKind::Draining);
        draining.next().map(|one| one.worker.clone())
    };
    fleet.run_until(HOUR, |fleet| draining(fleet).is_some());
    let worker = draining(&fleet).expect("draining");
    fleet.machine(&worker).replace();
    fleet.run_until(12 * HOUR, wave_done);
    assert_eq!(fleet.machine(&worker).reboots, 0);
}

#[test]
fn move_to_a_pool_that_operators_remove_is_given_up() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    let long = fleet.now + 10 * MINUTE;
    for worker in ["office-0", "office-1", "office-2", "office-3"] {
        fleet.machine(worker).set_busy_until(long);
    }
    fleet.set_zone(0, ZoneStatus::OutOfService);
    fleet.run_until(HOUR, |fleet| {
        fleet.ledger.instances().any(PoolInstance::is_moving)
    });
    fleet.pools.retain(|pool| pool.spare);
    fleet.apply();
    fleet.run_until(HOUR, |fleet| {
        !fleet.ledger.instances().any(PoolInstance::is_moving)
    });
    assert_eq!(fleet.moves, 0);
    assert_eq!(fleet.ledger.instances().count(), 4);
}

#[test]
fn only_a_part_of_the_fleet_is_in_maintenance_at_once() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(HOUR, |fleet| fleet.ledger.wave().number == 1);
    for (max_maintenance_percent, expected) in [(100, 6), (10, 2), (0, 1)] {
        let settings = PlanSettings {
            max_maintenance_percent,
            ..PlanSettings::default()
        };
        let mut headroom = PoolHeadroom::new(&fleet.ledger);
        let picked =
            WaveSequence::default().select(&fleet.ledger, &mut headroom, &settings, |_| true);
        assert_eq!(picked.len(), expected, "{max_maintenance_percent} %");
    }
}
