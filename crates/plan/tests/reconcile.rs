//! State changes and machine orders for each combination of instance phase and machine state.

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

/// Returns a view of an instance and its machine in `state`, both unchanged for an hour.
fn view(instance: &PoolInstance, state: MachineState) -> InstanceView<'_> {
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
        budget_met: true,
        destination_removed: false,
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

/// Modifies the default view for one case.
type ViewEdit = fn(&mut InstanceView<'_>);

#[test]
fn change_depends_on_phase_and_machine_state() {
    use InstancePhase::{Draining, Empty, Failed, InService, Joining, Rebooting, Returning};
    use MachineState::{Drained, Lost, Serving};
    let unedited: ViewEdit = |_| {};
    let other_boot: ViewEdit = |view| view.machine.boot = 2;
    let recent: ViewEdit = |view| view.machine.age = SHORT;
    let budget_violated: ViewEdit = |view| view.budget_met = false;
    let appeared = |boot| Some(PoolChange::Appeared { boot });
    let to_quotes = PoolChange::Move {
        from: "cutting".into(),
        to: "quotes".into(),
    };
    let cases: Vec<(InstancePhase, MachineState, ViewEdit, Option<PoolChange>)> = vec![
        (Joining, Serving, unedited, appeared(BOOT)),
        (Joining, Lost, unedited, None),
        (InService, Serving, unedited, None),
        (InService, Serving, other_boot, appeared(2)),
        (InService, Lost, unedited, Some(PoolChange::Failed)),
        (InService, Lost, recent, None),
        (InService, Drained, unedited, Some(PoolChange::Failed)),
        (InService, Drained, recent, None),
        (
            InService,
            Serving,
            |view| view.is_suspect = true,
            appeared(BOOT),
        ),
        (
            InService,
            Serving,
            |view| (view.is_suspect, view.phase_age) = (true, SHORT),
            None,
        ),
        (
            maintenance(Draining),
            MachineState::Draining,
            unedited,
            None,
        ),
        (
            maintenance(Draining),
            Drained,
            unedited,
            Some(PoolChange::Emptied),
        ),
        (
            maintenance(Draining),
            Drained,
            |view| view.machine.operation = 4,
            None,
        ),
        (
            maintenance(Draining),
            MachineState::Draining,
            budget_violated,
            Some(PoolChange::Cancel),
        ),
        (
            moving(Draining),
            MachineState::Draining,
            budget_violated,
            None,
        ),
        (
            moving(Draining),
            MachineState::Draining,
            |view| view.destination_removed = true,
            Some(PoolChange::Cancel),
        ),
        (
            maintenance(Empty),
            Drained,
            unedited,
            Some(PoolChange::Reboot),
        ),
        (maintenance(Empty), Serving, unedited, None),
        (moving(Empty), Drained, unedited, Some(to_quotes)),
        (
            Rebooting,
            MachineState::Rebooting,
            |view| view.phase_age = SHORT,
            None,
        ),
        (Rebooting, Lost, |view| view.phase_age = SHORT, None),
        (
            Rebooting,
            MachineState::Rebooting,
            unedited,
            Some(PoolChange::Failed),
        ),
        (Rebooting, Drained, other_boot, appeared(2)),
        (Failed, Serving, unedited, appeared(BOOT)),
        (Failed, Lost, unedited, None),
        (Returning, Drained, unedited, None),
        (Returning, Lost, unedited, Some(PoolChange::Failed)),
    ];
    for (phase, state, edit, expected) in cases {
        let instance = instance(phase);
        let mut view = view(&instance, state);
        edit(&mut view);
        let change = view.next_change(&PlanSettings::default());
        assert_eq!(change, expected, "{view:?}");
    }
}

#[test]
fn order_depends_on_phase_zone_and_machine_state() {
    use InstancePhase::{Draining, Empty, Failed, InService, Rebooting, Returning};
    use MachineState::{Drained, Lost, Serving};
    let unedited: ViewEdit = |_| {};
    let recent: ViewEdit = |view| view.machine.age = SHORT;
    let zone_out: ViewEdit = |view| view.zone.status = ZoneStatus::OutOfService;
    let half_deadline: ViewEdit = |view| {
        view.zone.status = ZoneStatus::OutOfService;
        view.zone_out_age = view.zone.drain_deadline / 2;
    };
    let past_deadline: ViewEdit = |view| {
        view.zone.status = ZoneStatus::OutOfService;
        view.zone_out_age = view.zone.drain_deadline;
    };
    let cases: Vec<(InstancePhase, MachineState, ViewEdit, Option<MachineAction>)> = vec![
        (InService, Serving, unedited, None),
        (InService, Drained, unedited, Some(MachineAction::Resume)),
        (Returning, Drained, unedited, Some(MachineAction::Resume)),
        (Returning, Drained, zone_out, None),
        (Returning, Drained, |view| view.machine.boot = 2, None),
        (InService, Serving, zone_out, Some(MachineAction::Drain)),
        (InService, MachineState::Draining, zone_out, None),
        (
            InService,
            MachineState::Draining,
            half_deadline,
            Some(MachineAction::Checkpoint),
        ),
        (
            InService,
            MachineState::Draining,
            past_deadline,
            Some(MachineAction::Stop),
        ),
        (
            maintenance(Draining),
            MachineState::Draining,
            past_deadline,
            Some(MachineAction::Stop),
        ),
        (
            maintenance(Draining),
            Serving,
            unedited,
            Some(MachineAction::Drain),
        ),
        (maintenance(Draining), MachineState::Draining, recent, None),
        (
            maintenance(Draining),
            MachineState::Draining,
            unedited,
            Some(MachineAction::Checkpoint),
        ),
        (moving(Empty), Drained, unedited, None),
        (
            maintenance(Draining),
            Drained,
            |view| view.machine.operation = 4,
            Some(MachineAction::Drain),
        ),
        (Rebooting, Drained, unedited, Some(MachineAction::Reboot)),
        (Rebooting, MachineState::Draining, unedited, None),
        (Rebooting, Serving, unedited, Some(MachineAction::Drain)),
        (Rebooting, Drained, |view| view.machine.boot = 2, None),
        (Failed, Drained, unedited, None),
        (Failed, Lost, unedited, None),
    ];
    for (phase, state, edit, expected) in cases {
        let instance = instance(phase);
        let mut view = view(&instance, state);
        edit(&mut view);
        let action = view.next_action(&PlanSettings::default());
        assert_eq!(action, expected, "{view:?}");
    }
}

#[test]
fn unreported_machine_is_lost_after_the_first_read() {
    let instance = instance(InstancePhase::InService);
    let mut tracker = MachineTracker::default();
    let start = Instant::now();
    assert_eq!(tracker.machine(start, &instance), None);
    tracker.apply_changes(start, MachineChanges::default());
    let view = tracker
        .machine(start + LONG, &instance)
        .expect("a view after the first read");
    assert_eq!((view.state, view.age), (MachineState::Lost, LONG));
}
