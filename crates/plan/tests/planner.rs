//! Maintenance waves, moves and zone outages in the presence of failures.

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

/// Returns whether the first wave is finished and every instance is in service.
fn wave_done(fleet: &FakeFleet) -> bool {
    let admitted = |instance: &PoolInstance| instance.phase == InstancePhase::InService;
    fleet.ledger.wave().number == 1
        && fleet.ledger.wave_finished()
        && fleet.ledger.instances().all(admitted)
}

fn assert_each_rebooted_once(fleet: &FakeFleet) {
    for (worker, machine) in &fleet.machines {
        assert_eq!(
            (machine.reboots, machine.task_interrupted),
            (1, false),
            "{worker}"
        );
    }
}

#[test]
fn wave_reboots_each_instance_once_and_interrupts_no_task() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    assert_each_rebooted_once(&fleet);
    assert_eq!(fleet.moves, 0);
}

/// Fault injected during a wave.
struct WaveFault {
    name: &'static str,
    planners: usize,
    begin: fn(&mut FakeFleet),
    end: fn(&mut FakeFleet),
}

#[test]
fn wave_completes_after_faults_and_reboots_no_instance_twice() {
    let no_op: fn(&mut FakeFleet) = |_| {};
    let faults = [
        WaveFault {
            name: "orders are lost",
            planners: 1,
            begin: |fleet| fleet.order_loss_interval = 2,
            end: no_op,
        },
        WaveFault {
            name: "appends are lost",
            planners: 1,
            begin: |fleet| fleet.append_loss_interval = 2,
            end: no_op,
        },
        WaveFault {
            name: "the log is down",
            planners: 2,
            begin: |fleet| fleet.log_up = false,
            end: |fleet| fleet.log_up = true,
        },
        WaveFault {
            name: "the planner stops",
            planners: 2,
            begin: |fleet| _ = fleet.planners[0].take(),
            end: no_op,
        },
        WaveFault {
            name: "the planner stops while orders are lost",
            planners: 2,
            begin: |fleet| {
                fleet.order_loss_interval = 3;
                fleet.planners[0].take();
            },
            end: no_op,
        },
        WaveFault {
            name: "a budget is lowered to zero and raised again",
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
    for WaveFault {
        name,
        planners,
        begin,
        end,
    } in faults
    {
        let mut fleet = FakeFleet::new(planners);
        fleet.advance(3 * MINUTE);
        begin(&mut fleet);
        fleet.advance(5 * MINUTE);
        end(&mut fleet);
        fleet.run_until(12 * HOUR, wave_done);
        println!("{name}");
        assert_each_rebooted_once(&fleet);
    }
}

#[test]
fn planner_resumed_after_a_takeover_has_no_effect() {
    let mut fleet = FakeFleet::new(2);
    fleet.run_until(HOUR, |fleet| {
        let rebooting = |instance: &PoolInstance| instance.phase == InstancePhase::Rebooting;
        fleet.ledger.instances().any(rebooting)
    });
    fleet.now += STEP;
    let delayed = fleet.poll_planner(0);
    let is_reboot = |command: &PlanCommand| matches!(command, PlanCommand::Order(order) if order.action == MachineAction::Reboot);
    assert!(delayed.iter().any(is_reboot), "{delayed:?}");
    let paused = fleet.planners[0].take();
    fleet.run_until(12 * HOUR, wave_done);
    assert_eq!(fleet.ledger.planner().holder.as_deref(), Some("entry-1"));
    let before = fleet.ledger.clone();
    fleet.execute_commands(delayed);
    fleet.planners[0] = paused;
    assert_eq!(
        fleet.ledger.instances().collect::<Vec<_>>(),
        before.instances().collect::<Vec<_>>()
    );
    fleet.advance(5 * MINUTE);
    assert_each_rebooted_once(&fleet);
}

#[test]
fn planner_with_an_outdated_read_sends_no_commands() {
    let mut fleet = FakeFleet::new(1);
    fleet.advance(3 * MINUTE);
    fleet.log_up = false;
    fleet.machine("quotes-7").state = MachineState::Lost;
    fleet.advance(PlanSettings::default().reading_validity);
    for _ in 0..60 {
        fleet.now += STEP;
        assert_eq!(fleet.poll_planner(0), Vec::new());
    }
}

#[test]
fn failures_that_exhaust_the_budget_pause_the_wave_until_recovery() {
    let mut fleet = FakeFleet::new(1);
    fleet.pools[2].min_workers = 4;
    fleet.apply();
    fleet.advance(MINUTE);
    let failing = ["cutting-5", "cutting-6", "cutting-7"];
    for worker in failing {
        fleet.machine(worker).state = MachineState::Lost;
    }
    let all_failed = |fleet: &FakeFleet| {
        let is_failed = |instance: &&PoolInstance| instance.phase == InstancePhase::Failed;
        fleet.ledger.members("cutting").filter(is_failed).count() == 3
    };
    fleet.run_until(HOUR, all_failed);
    fleet.run_until(HOUR, |fleet| fleet.ledger.budget("cutting").available >= 5);
    for _ in 0..600 {
        fleet.advance(STEP);
        assert_eq!(
            fleet.ledger.budget("cutting").available,
            5,
            "an instance was drained although failures exhausted the budget"
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
fn failure_delays_drains_in_its_pool_by_the_settle_time() {
    let mut fleet = FakeFleet::new(1);
    fleet.pools[1].max_unavailable = 0;
    fleet.pools[2].min_workers = 4;
    fleet.apply();
    fleet.advance(MINUTE);
    fleet.machine("quotes-7").state = MachineState::Lost;
    let failed = |fleet: &FakeFleet| fleet.phase("quotes-7") == PhaseKind::Failed;
    fleet.run_until(HOUR, failed);
    fleet.pools[1].max_unavailable = 3;
    fleet.apply();
    let settle = PlanSettings::default().settle_time;
    let has_drain = |fleet: &FakeFleet| {
        let mut members = fleet.ledger.members("quotes");
        members.any(|instance| instance.kind() == PhaseKind::Draining)
    };
    let delay = fleet.run_until(HOUR, has_drain);
    assert!(
        delay + 2 * STEP >= settle,
        "drain started {delay:?} after the failure, before the settle time"
    );
}

#[test]
fn zone_is_drained_by_its_deadline_and_readmitted_in_stages() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    let past_deadline = fleet.now + HOUR;
    fleet.machine("cutting-0").set_busy_until(past_deadline);
    let within_deadline = fleet.now + 4 * MINUTE;
    fleet.machine("cutting-2").set_busy_until(within_deadline);
    fleet.set_zone(0, ZoneStatus::OutOfService);
    assert!(!fleet.ledger.may_start("cutting-0"));
    fleet.advance(5 * MINUTE + 10 * STEP);
    let in_zone = |fleet: &FakeFleet, worker: &str| {
        fleet
            .ledger
            .instance(worker)
            .is_some_and(|instance| &*instance.zone == "a")
    };
    for (worker, machine) in &fleet.machines {
        let expected = if in_zone(&fleet, worker) {
            MachineState::Drained
        } else {
            MachineState::Serving
        };
        assert_eq!(machine.state, expected, "{worker}");
        assert_eq!(
            machine.task_interrupted,
            &**worker == "cutting-0",
            "{worker}"
        );
    }
    assert!(fleet.machine("cutting-0").checkpointed);
    fleet.set_zone(0, ZoneStatus::InService);
    let size = fleet
        .ledger
        .instances()
        .filter(|instance| &*instance.zone == "a")
        .count();
    let max_admitted = size * PlanSettings::default().admit_percent / 100;
    let admitted = |fleet: &FakeFleet| {
        let may_start = |instance: &&PoolInstance| {
            &*instance.zone == "a" && fleet.ledger.may_start(&instance.worker)
        };
        fleet.ledger.instances().filter(may_start).count()
    };
    let window = PlanSettings::default().admit_interval.as_secs() as usize;
    let mut history = vec![0; window];
    while history[history.len() - 1] < size {
        fleet.advance(STEP);
        history.push(admitted(&fleet));
        let before = history[history.len() - window];
        let now = history[history.len() - 1];
        assert!(
            now <= before + max_admitted,
            "{before} to {now} of {size} admitted within one interval"
        );
    }
}

#[test]
fn pool_borrows_during_a_zone_outage_and_returns_workers_without_flapping() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    fleet.set_zone(0, ZoneStatus::OutOfService);
    fleet.advance(15 * MINUTE);
    let borrowed = fleet.moves;
    assert!(borrowed > 0);
    assert!(fleet.ledger.members("office").count() >= 1);
    fleet.advance(HOUR);
    assert_eq!(
        fleet.moves, borrowed,
        "workers moved while the fleet was unchanged"
    );
    fleet.set_zone(0, ZoneStatus::InService);
    fleet.advance(HOUR);
    assert_eq!(
        fleet.moves,
        2 * borrowed,
        "each borrowed worker is returned once"
    );
    assert!(
        fleet
            .ledger
            .instances()
            .all(|instance| instance.pool == instance.home)
    );
}

#[test]
fn brief_shortfall_moves_no_worker() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    for _ in 0..5 {
        fleet.set_zone(0, ZoneStatus::OutOfService);
        fleet.advance(PlanSettings::default().borrow_after - STEP);
        fleet.set_zone(0, ZoneStatus::InService);
        fleet.advance(5 * MINUTE);
    }
    assert_eq!(fleet.moves, 0);
}

#[test]
fn instance_replaced_while_draining_is_not_rebooted() {
    let mut fleet = FakeFleet::new(1);
    let draining = |fleet: &FakeFleet| {
        let instances = fleet.ledger.instances();
        let mut draining = instances.filter(|instance| instance.kind() == PhaseKind::Draining);
        draining.next().map(|instance| instance.worker.clone())
    };
    fleet.run_until(HOUR, |fleet| draining(fleet).is_some());
    let worker = draining(&fleet).expect("an instance is draining");
    fleet.machine(&worker).replace();
    fleet.run_until(12 * HOUR, wave_done);
    assert_eq!(fleet.machine(&worker).reboots, 0);
}

#[test]
fn move_to_a_removed_pool_is_cancelled() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(6 * HOUR, wave_done);
    let busy_until = fleet.now + 10 * MINUTE;
    for worker in ["office-0", "office-1", "office-2", "office-3"] {
        fleet.machine(worker).set_busy_until(busy_until);
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
fn maintenance_is_limited_to_a_percentage_of_the_fleet() {
    let mut fleet = FakeFleet::new(1);
    fleet.run_until(HOUR, |fleet| fleet.ledger.wave().number == 1);
    for (max_maintenance_percent, expected) in [(100, 6), (10, 2), (0, 1)] {
        let settings = PlanSettings {
            max_maintenance_percent,
            ..PlanSettings::default()
        };
        let mut headroom = PoolHeadroom::new(&fleet.ledger);
        let selected =
            WaveSequence::default().select(&fleet.ledger, &mut headroom, &settings, |_| true);
        assert_eq!(
            selected.len(),
            expected,
            "max_maintenance_percent = {max_maintenance_percent}"
        );
    }
}
