//! What an instance and its machine are due for, state by state.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_plan::prelude::*;
use pw_plan::reconcile::InstanceView;
use pw_plan::tracker::{MachineTracker, MachineView};
use pw_pool::prelude::*;
use pw_zone::prelude::*;

const BOOT: BootId = 1;
const LONG: Duration = Duration::from_secs(60 * 60);
const SHORT: Duration = Duration::from_secs(1);

fn instance(phase: InstancePhase) -> PoolInstance {
    PoolInstance {
        worker: "cutting-1".into(),
        zone: "a".into(),
        rack: "r1".into(),
        home: "cutting".into(),
        pool: "cutting".into(),
        phase,
        boot: Some(BOOT),
        changed: 5,
        seen: 5,
        maintained: 0,
    }
}

/// Returns the facts of an instance that has long been in `phase`, with its machine in `state`.
fn facts(instance: &PoolInstance, state: MachineState) -> InstanceView<'_> {
    InstanceView {
        instance,
        phase_age: LONG,
        machine: MachineView {
            boot: BOOT,
            state,
            operation: 5,
            age: LONG,
        },
        zone: ZoneState {
            status: ZoneStatus::InService,
            drain_deadline: Duration::from_secs(600),
            changed: 1,
        },
        zone_out_age: Duration::ZERO,
        is_suspect: false,
        budget_holds: true,
        destination_gone: false,
    }
}

fn maintenance(phase: fn(DrainPurpose) -> InstancePhase) -> InstancePhase {
    phase(DrainPurpose::Maintenance)
}

fn moving(phase: fn(DrainPurpose) -> InstancePhase) -> InstancePhase {
    phase(DrainPurpose::Move {
        to: "quotes".into(),
    })
}

/// A change of the facts that makes a case.
type Twist = fn(&mut InstanceView<'_>);

#[test]
fn changes_follow_from_phase_and_machine() {
    use InstancePhase::{Draining, Empty, Failed, InService, Joining, Rebooting, Returning};
    use MachineState::{Drained, Lost, Serving};
    let plain: Twist = |_| {};
    let other_boot: Twist = |facts| facts.machine.boot = 2;
    let just_so: Twist = |facts| facts.machine.age = SHORT;
    let broken: Twist = |facts| facts.budget_holds = false;
    let appeared = |boot| Some(PoolChange::Appeared { boot });
    let to_quotes = PoolChange::Move {
        from: "cutting".into(),
        to: "quotes".into(),
    };
    let cases: Vec<(InstancePhase, MachineState, Twist, Option<PoolChange>)> = vec![
        (Joining, Serving, plain, appeared(BOOT)),
        (Joining, Lost, plain, None),
        (InService, Serving, plain, None),
        (InService, Serving, other_boot, appeared(2)),
        (InService, Lost, plain, Some(PoolChange::Failed)),
        (InService, Lost, just_so, None),
        (InService, Drained, plain, Some(PoolChange::Failed)),
        (InService, Drained, just_so, None),
        (
            InService,
            Serving,
            |facts| facts.is_suspect = true,
            appeared(BOOT),
        ),
        (
            InService,
            Serving,
            |facts| (facts.is_suspect, facts.phase_age) = (true, SHORT),
            None,
        ),
        (maintenance(Draining), MachineState::Draining, plain, None),
        (
            maintenance(Draining),
            Drained,
            plain,
            Some(PoolChange::Emptied),
        ),
        (
            maintenance(Draining),
            Drained,
            |facts| facts.machine.operation = 4,
            None,
        ),
        (
            maintenance(Draining),
            MachineState::Draining,
            broken,
            Some(PoolChange::Cancel),
        ),
        (moving(Draining), MachineState::Draining, broken, None),
        (
            moving(Draining),
            MachineState::Draining,
            |facts| facts.destination_gone = true,
            Some(PoolChange::Cancel),
        ),
        (maintenance(Empty), Drained, plain, Some(PoolChange::Reboot)),
        (maintenance(Empty), Serving, plain, None),
        (moving(Empty), Drained, plain, Some(to_quotes)),
        (
            Rebooting,
            MachineState::Rebooting,
            |facts| facts.phase_age = SHORT,
            None,
        ),
        (Rebooting, Lost, |facts| facts.phase_age = SHORT, None),
        (
            Rebooting,
            MachineState::Rebooting,
            plain,
            Some(PoolChange::Failed),
        ),
        (Rebooting, Drained, other_boot, appeared(2)),
        (Failed, Serving, plain, appeared(BOOT)),
        (Failed, Lost, plain, None),
        (Returning, Drained, plain, None),
        (Returning, Lost, plain, Some(PoolChange::Failed)),
    ];
    for (phase, state, twist, expected) in cases {
        let instance = instance(phase);
        let mut facts = facts(&instance, state);
        twist(&mut facts);
        let change = facts.next_change(&PlanSettings::default());
        assert_eq!(change, expected, "{facts:?}");
    }
}

#[test]
fn orders_follow_from_phase_zone_and_machine() {
    use InstancePhase::{Draining, Empty, Failed, InService, Rebooting, Returning};
    use MachineState::{Drained, Lost, Serving};
    let plain: Twist = |_| {};
    let just_so: Twist = |facts| facts.machine.age = SHORT;
    let zone_out: Twist = |facts| facts.zone.status = ZoneStatus::OutOfService;
    let half_time: Twist = |facts| {
        facts.zone.status = ZoneStatus::OutOfService;
        facts.zone_out_age = facts.zone.drain_deadline / 2;
    };
    let overdue: Twist = |facts| {
        facts.zone.status = ZoneStatus::OutOfService;
        facts.zone_out_age = facts.zone.drain_deadline;
    };
    let cases: Vec<(InstancePhase, MachineState, Twist, Option<MachineAction>)> = vec![
        (InService, Serving, plain, None),
        (InService, Drained, plain, Some(MachineAction::Resume)),
        (Returning, Drained, plain, Some(MachineAction::Resume)),
        (Returning, Drained, zone_out, None),
        (Returning, Drained, |facts| facts.machine.boot = 2, None),
        (InService, Serving, zone_out, Some(MachineAction::Drain)),
        (InService, MachineState::Draining, zone_out, None),
        (
            InService,
            MachineState::Draining,
            half_time,
            Some(MachineAction::Checkpoint),
        ),
        (
            InService,
            MachineState::Draining,
            overdue,
            Some(MachineAction::Stop),
        ),
        (
            maintenance(Draining),
            MachineState::Draining,
            overdue,
            Some(MachineAction::Stop),
        ),
        (
            maintenance(Draining),
            Serving,
            plain,
            Some(MachineAction::Drain),
        ),
        (maintenance(Draining), MachineState::Draining, just_so, None),
        (
            maintenance(Draining),
            MachineState::Draining,
            plain,
            Some(MachineAction::Checkpoint),
        ),
        (moving(Empty), Drained, plain, None),
        (
            maintenance(Draining),
            Drained,
            |facts| facts.machine.operation = 4,
            Some(MachineAction::Drain),
        ),
        (Rebooting, Drained, plain, Some(MachineAction::Reboot)),
        (Rebooting, MachineState::Draining, plain, None),
        (Rebooting, Serving, plain, Some(MachineAction::Drain)),
        (Rebooting, Drained, |facts| facts.machine.boot = 2, None),
        (Failed, Drained, plain, None),
        (Failed, Lost, plain, None),
    ];
    for (phase, state, twist, expected) in cases {
        let instance = instance(phase);
        let mut facts = facts(&instance, state);
        twist(&mut facts);
        let action = facts.next_action(&PlanSettings::default());
        assert_eq!(action, expected, "{facts:?}");
    }
}

#[test]
fn machine_that_the_platform_does_not_report_is_lost_once_it_was_asked() {
    let instance = instance(InstancePhase::InService);
    let mut tracker = MachineTracker::default();
    let start = Instant::now();
    assert_eq!(tracker.machine(start, &instance), None);
    tracker.apply_changes(start, MachineChanges::default());
    let view = tracker.machine(start + LONG, &instance).expect("a view");
    assert_eq!((view.state, view.age), (MachineState::Lost, LONG));
}
