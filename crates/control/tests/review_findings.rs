//! Failing tests of the review of the incident with runs that repeat and owners that lag.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use support::network::OrderFate;
use support::{
    COMPLETED, TestCluster, long_running, long_running_cluster, millis, seconds, size, step,
};

/// A submission waits for room in the ring of an owner that lags; the query of its caller gets room
/// first.
#[test]
fn a_job_is_not_unknown_while_its_submission_may_be_unread() {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster
        .known_inputs
        .retain(|input| *input != ShardInput::Submissions);
    cluster.run(seconds(4));
    assert_ne!(
        cluster.query("job", QueryScope::Public),
        JobAnswer::Unknown,
        "the caller of a job that was accepted 4 s ago is told that it does not exist"
    );
}

/// An owner that lost its shard without noticing answers for it.
#[test]
fn a_former_owner_does_not_call_a_job_of_its_successor_unknown() {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster.owner_mut().frozen = true;
    cluster.run(seconds(1));
    cluster.claim(None, Default::default());
    cluster.submit("job", None, vec![step(1)]);
    cluster.run(seconds(20));
    let former = &cluster.owners[0].controller;
    assert_ne!(
        former.job_status("job", QueryScope::Public, cluster.now),
        JobAnswer::Unknown
    );
}

/// An owner that lost its shard without noticing reports a worker as drained on which its successor
/// runs a long-running task.
#[test]
fn a_former_owner_reports_no_worker_as_drained() {
    let mut cluster = TestCluster::new(1);
    cluster.run(seconds(1));
    let worker = cluster.workers[0].entry.id.clone();
    cluster.surveys_enabled = false;
    cluster.claim(None, Default::default());
    cluster.submit("job", None, vec![long_running(1)]);
    cluster.owners[0].frozen = true;
    cluster.run(seconds(12));
    assert_eq!(cluster.running("job.0.0.0"), 1);
    let (now, wall) = (cluster.now, cluster.wall);
    let former = &mut cluster.owners[0].controller;
    let order = SurveyOrder {
        drain: vec![worker],
        ..Default::default()
    };
    former.handle(now, wall, ShardEvent::Surveyed(order));
    let drained = former.survey_report(now).drained;
    assert!(
        drained.is_empty(),
        "{drained:?} has a long-running task of the later owner"
    );
}

/// The quota duty lags after the configuration lowered the maximum.
#[test]
fn a_lowered_maximum_holds_before_the_allocation_follows() {
    let mut cluster = TestCluster::new(4);
    cluster.run_time = seconds(10);
    cluster.set_config(|config| config.accounts["ane"].maximum = size(9000, 0));
    let shard = &mut cluster.owner_mut().controller;
    shard.set_allocation("ane".into(), size(9000, 0));
    cluster.run(seconds(1));
    cluster.set_config(|config| config.accounts["ane"].maximum = size(3000, 0));
    cluster.run(seconds(4));
    cluster.submit("job", Some("ane"), vec![step(8)]);
    cluster.run(seconds(2));
    let running: usize = (0..8)
        .map(|index| cluster.running(&format!("job.0.0.{index}")))
        .sum();
    assert!(running <= 3, "{running} cores run above a maximum of 3");
}

/// The owner deletes the submission of a job after its retention, and is lost before it deletes the
/// state.
#[test]
fn a_completed_job_does_not_run_again_while_its_records_are_deleted() {
    let mut cluster = TestCluster::new(2);
    cluster.settings.retention = seconds(5);
    cluster.take_over(None);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    cluster.only_submissions_removed = true;
    assert!(cluster.run_until(seconds(10), |cluster| cluster.submissions.is_empty()));
    assert_eq!(cluster.images.len(), 1);
    cluster.only_submissions_removed = false;
    cluster.take_over(None);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.images.is_empty()));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
}

/// An attempt fails on a worker whose answers get lost until its lease has expired.
#[test]
fn a_failed_run_that_counted_as_lost_counts_as_an_attempt() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(3);
    cluster.set_config(|config| config.queues["queue"].attempts = 2);
    for worker in cluster.workers.values_mut() {
        worker.runs_fail = true;
    }
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    let holder = cluster.placed_on("job.0.0.0");
    let lost = holder.clone();
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Poll(order) if order.worker == lost => OrderFate::Late(Duration::ZERO),
        _ => OrderFate::Delivered,
    });
    cluster.run_time = seconds(4);
    assert!(cluster.run_until(seconds(20), |cluster| cluster.start_count("job.0.0.0") == 2));
    cluster.order_fate = Box::new(|_| OrderFate::Delivered);
    cluster.run(seconds(20));
    assert_eq!(
        cluster.start_count("job.0.0.0"),
        2,
        "a task started after its second and last attempt had failed"
    );
}

fn member(number: u32, weight: u32) -> NodeName {
    let address: SocketAddr = format!("10.1.{number}.7:7000").parse().expect("an address");
    MemberIdentity { address, weight }.name()
}

/// One node of a core, ten of a quarter and 29 of an eighth.
#[test]
fn an_outlier_does_not_give_shards_to_the_weakest_nodes() {
    let weight = |number| match number {
        0 => 100,
        1..11 => 25,
        _ => 12,
    };
    let members: IndexSet<NodeName> = (0..40).map(|n| member(n, weight(n))).collect();
    let mut table = ShardTable::new(AssignSettings::default());
    table.update(members, Instant::now());
    let weakest = table.owners().filter(|(_, name)| name.ends_with("#12"));
    assert_eq!(weakest.count(), 0);
}

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
        duration: seconds(30),
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
    let listed = MachineEvent::Machines {
        machines,
        requested_at,
    };
    let commands = controller.handle(now, listed);
    let surveys = commands.iter().find_map(|command| match command {
        MachineCommand::Survey(shard, order) if !order.drain.is_empty() => {
            Some((*shard, order.drain.clone()))
        }
        _ => None,
    });
    let (shard, drained) = surveys.unwrap_or_else(|| {
        now += millis(200);
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
    now += seconds(10);
    let repeated = orders(&controller.handle(now, MachineEvent::Tick));
    assert!(
        repeated.is_empty(),
        "ordered on a report that is 10 s old: {repeated:?}"
    );
}

/// Leases that a poll renews while the owner may not know of a cancellation.
#[test]
fn a_cancelled_task_does_not_run_on_while_its_owner_lags() {
    let mut cluster = long_running_cluster(1);
    cluster.run(seconds(1));
    cluster.owner_mut().event_lag = seconds(5);
    cluster.cancel("job");
    cluster.run(seconds(4));
    assert_eq!(
        cluster.running("job.0.0.0"),
        0,
        "the task of a cancelled job runs 4 s after the cancellation"
    );
}

/// A start reaches a later life of its worker. The next owner, which does not reach the worker,
/// learns of that life from the list, while the earlier owner goes on renewing the lease.
#[test]
fn a_listed_life_does_not_shorten_the_wait_for_the_leases_of_the_earlier_owner() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(60);
    cluster.run(seconds(1));
    cluster.owner_mut().command_lag = millis(100);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| !cluster.images.is_empty()));
    let holder = cluster.placed_on("job.0.0.0");
    cluster.restart_worker(&holder);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    let former = cluster.owner_mut();
    (former.command_lag, former.event_lag) = (Duration::ZERO, millis(2500));
    cluster.order_fate = Box::new(|command| match command {
        ShardCommand::Stop(_) => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
    cluster.claim(None, [holder].into());
    cluster.run(seconds(30));
}

/// A start that was meant for the former life names a lease end on that life's clock, which is far
/// ahead of the clock of the later one. Only the worker's limit bounds such a lease.
#[test]
fn a_start_on_a_later_life_is_waited_for_as_long_as_its_worker_may_hold_it() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(60);
    cluster.run(seconds(1));
    cluster.owner_mut().command_lag = millis(100);
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| !cluster.images.is_empty()));
    let holder = cluster.placed_on("job.0.0.0");
    cluster.restart_worker(&holder);
    cluster.workers[&holder].lease_limit = 10_000;
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.owner_mut().command_lag = Duration::ZERO;
    cluster.workers[&holder].unreachable = true;
    cluster.list_workers();
    cluster.run(seconds(20));
}

/// The answer to a stop that was meant for a former life arrives after the later one has reported
/// its runs.
#[test]
fn a_late_answer_for_a_former_life_does_not_end_the_later_one() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.placed_on("job.0.0.0");
    cluster.run(seconds(1));
    let entry = cluster.workers[&holder].entry.clone();
    let order = StopOrder {
        worker: holder,
        address: entry.address,
        life: entry.life - 1,
        task: "other.0.0.0".parse().expect("a task"),
        run: 1,
        epoch: cluster.owner().epoch(),
        fence: 0,
    };
    let result = Err(CallFault::OtherLife);
    cluster.handle_event(ShardEvent::Stopped { order, result });
    cluster.run(seconds(10));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
}
