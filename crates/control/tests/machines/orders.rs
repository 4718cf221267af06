//! Orders for machines that rest on a report of the workers that have drained.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;

fn machine_controller(now: Instant, max_down: usize) -> (MachineController, Vec<MachineView>) {
    let view = |number: u32| MachineView {
        machine: format!("m{number}").into(),
        pool: "pool".into(),
        state: MachineState::Up,
        zone: "zone".into(),
        worker: Some(format!("w{number}").into()),
    };
    let wave = WaveRule {
        machines: (0..8).map(|number| format!("m{number}").into()).collect(),
        duration: Duration::from_secs(30),
        max_down,
    };
    let config = FleetConfig {
        version: 1,
        pools: IndexMap::from([(PoolId::from("pool"), PoolRule::default())]),
        waves: IndexMap::from([(1, wave)]),
        ..Default::default()
    };
    let settings = MachineSettings::default();
    let controller = MachineController::new(settings, 1, config.into(), IndexMap::new(), now);
    (controller, (0..8).map(view).collect())
}

fn orders(commands: &[MachineCommand]) -> Vec<MachineOrder> {
    let orders = commands.iter().filter_map(|command| match command {
        MachineCommand::Order(order) => Some(order.clone()),
        _ => None,
    });
    orders.collect()
}

/// A machine controller without processor time sends an order again that the platform rejected for
/// its rate. The drain ended at the owner meanwhile, as no survey named the worker.
#[test]
fn a_rejected_machine_order_is_not_repeated_on_an_old_report() {
    let mut now = Instant::now();
    let (mut controller, machines) = machine_controller(now, 1);
    let requested_at = now;
    let list = MachineList {
        machines,
        is_complete: true,
    };
    let listed = MachineEvent::Machines { list, requested_at };
    let commands = controller.handle(now, listed);
    let surveys = commands.iter().find_map(|command| match command {
        MachineCommand::Survey(shard, order) if !order.drain.is_empty() => {
            Some((*shard, order.drain.clone()))
        }
        _ => None,
    });
    let (shard, drained) = surveys.unwrap_or_else(|| {
        now += Duration::from_millis(200);
        let commands = controller.handle(now, MachineEvent::Tick);
        let survey = commands.into_iter().find_map(|command| match command {
            MachineCommand::Survey(shard, order) if !order.drain.is_empty() => {
                Some((shard, order.drain))
            }
            _ => None,
        });
        survey.expect("a survey that drains")
    });
    let report = SurveyReport {
        drained,
        ..Default::default()
    };
    let surveyed = MachineEvent::Surveyed {
        shard,
        report,
        requested_at: now,
    };
    let sent = orders(&controller.handle(now, surveyed));
    assert_eq!(sent.len(), 1);
    let outcome = MachineOutcome::Rejected;
    let order = sent[0].clone();
    controller.handle(now, MachineEvent::Ordered { order, outcome });
    now += Duration::from_secs(10);
    let repeated = orders(&controller.handle(now, MachineEvent::Tick));
    assert!(
        repeated.is_empty(),
        "ordered on a report that is 10 s old: {repeated:?}"
    );
}
