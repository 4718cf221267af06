//! Tests of unreachable, crashed and restarted workers, and of partitioned owners.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::network::OrderFate;
use support::{
    COMPLETED, TestCluster, long_running, long_running_cluster, millis, seconds, size, step,
};

#[test]
fn an_unreachable_worker_keeps_its_tasks_until_its_lease_expires() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    let partitioned_at = cluster.now;
    cluster.workers[&holder].unreachable = true;
    assert!(cluster.run_until(seconds(10), |cluster| cluster.start_count("job.0.0.0") == 2));
    assert!(
        cluster.now >= partitioned_at + seconds(4),
        "restarted while the old lease may still be valid"
    );
    assert!(
        cluster.now <= partitioned_at + seconds(9),
        "not restarted in time"
    );
}

/// When a rack fails, the platform lists its machines as down long before the leases expire.
#[test]
fn a_life_that_ended_with_its_machine_is_not_waited_for() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(3));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    cluster.ended = cluster.unreachable_lives();
    assert_eq!(cluster.ended.len(), 1);
    assert!(cluster.run_until(millis(500), |cluster| cluster.start_count("job.0.0.0") == 2));
}

#[test]
fn the_end_of_an_earlier_life_does_not_affect_a_later_one() {
    let mut cluster = long_running_cluster(1);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(3));
    let ended = cluster.unreachable_lives();
    cluster.workers.clear();
    cluster.add_worker("w0", "m0");
    cluster.run(seconds(1));
    cluster.list_workers();
    assert!(cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.ended = ended;
    cluster.run(seconds(2));
    assert_eq!(cluster.running("job.0.0.0"), 1);
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
}

#[test]
fn the_leases_of_a_failed_owner_are_awaited_longer() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].unreachable = true;
    let taken_over_at = cluster.now;
    cluster.take_over(None);
    assert!(cluster.run_until(seconds(20), |cluster| cluster.start_count("job.0.0.0") == 2));
    assert!(
        cluster.now >= taken_over_at + cluster.settings.lease_horizon,
        "restarted while a renewal by the previous owner may still be valid"
    );
}

/// During a rolling restart of all nodes, a worker is lost for good. Each handover must pass on the
/// remaining time of its lease instead of starting the wait anew.
#[test]
fn a_task_on_a_lost_worker_restarts_although_owners_change() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    let lost_at = cluster.now;
    for _ in 0..8 {
        cluster.run(seconds(2));
        cluster.hand_over();
    }
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
    assert!(
        cluster.starts[0][1].2 <= lost_at + seconds(9),
        "the handovers restarted the wait for the lease"
    );
}

/// The list of machines does not show that the worker is gone, and its owners are lost one after the
/// other. The platform counts a task as lost 10 s after the last disturbance.
#[test]
fn a_task_on_a_lost_worker_restarts_in_time_although_its_owners_are_lost() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    for _ in 0..3 {
        cluster.run(seconds(6));
        cluster.take_over(None);
    }
    assert!(
        cluster.run_until(seconds(10), |cluster| cluster.running("job.0.0.0") == 1),
        "the task waits although other workers have room"
    );
}

/// The start of a long-running task goes unanswered as its worker is lost; the worker's machine does
/// not come back.
#[test]
fn an_unanswered_start_does_not_hold_up_its_task_when_the_machine_is_lost() {
    let mut cluster = TestCluster::new(2);
    cluster.run(seconds(1));
    cluster.order_fate = Box::new(|command| match command {
        ShardCommand::Start(order) if order.run == 1 => OrderFate::Lost,
        _ => OrderFate::Delivered,
    });
    cluster.submit("job", None, vec![long_running(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| !cluster.images.is_empty()));
    let holder = cluster.placed_on("job.0.0.0");
    cluster.workers[&holder].crashed = true;
    let lost_at = cluster.now;
    assert!(cluster.run_until(seconds(3), |cluster| {
        !cluster.unreachable_lives().is_empty()
    }));
    cluster.ended = cluster.unreachable_lives();
    assert!(cluster.run_until(seconds(10), |cluster| cluster.running("job.0.0.0") == 1));
    assert!(
        cluster.now <= lost_at + seconds(10),
        "the task waits for a lease that no worker holds"
    );
}

/// Until its leases expire, a lost worker still counts towards the load of its pool.
#[test]
fn runs_on_a_lost_worker_count_towards_its_pool() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.take_over(None);
    cluster.run(millis(200));
    let shard = cluster.controller();
    let pools = shard.survey_report(cluster.now).pools;
    let names: Vec<&str> = pools.iter().map(|load| &*load.pool).collect();
    assert_eq!(names, ["pool"]);
    assert_eq!(pools[0].used, size(1000, 1024));
}

/// A machine comes back with a new worker before the lease of the lost worker expires.
#[test]
fn a_new_worker_on_the_machine_ends_the_wait_for_the_lease() {
    let mut cluster = long_running_cluster(3);
    let holder = cluster.starts[0][0].0.clone();
    let machine = cluster.workers[&holder]
        .entry
        .machine
        .clone()
        .expect("a machine");
    cluster.workers[&holder].crashed = true;
    cluster.run(millis(500));
    cluster.take_over(None);
    cluster.run(seconds(1));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    cluster.add_worker("again", &machine);
    cluster.list_workers();
    assert!(cluster.run_until(seconds(1), |cluster| cluster.start_count("job.0.0.0") == 2));
}

#[test]
fn a_partitioned_worker_does_not_run_the_task_twice() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].unreachable = true;
    for _ in 0..4 {
        cluster.run(millis(1300));
        cluster.hand_over();
    }
    cluster.run(seconds(10));
    cluster.workers[&holder].unreachable = false;
    cluster.run(seconds(3));
    assert_eq!(cluster.running("job.0.0.0"), 1);
}

/// A partitioned worker completes one run and then loses another one when its lease expires.
#[test]
fn an_end_before_a_lapsed_lease_counts_while_its_task_waits() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", Some("ane"), vec![step(1)]);
    cluster.submit("lasting", None, vec![long_running(1)]);
    let names = ["job.0.0.0", "lasting.0.0.0"];
    assert!(cluster.run_until(seconds(1), |cluster| {
        names.iter().all(|n| cluster.running(n) == 1)
    }));
    cluster.workers[0].unreachable = true;
    cluster.run(seconds(8));
    cluster.workers[0].unreachable = false;
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.start_count(names[0]), 1);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.running(names[1]) == 1));
    assert_eq!(cluster.start_count(names[1]), 2);
}

/// An owner that got no CPU time receives a run end long after the lease expired, but no other run
/// was left on the worker to lapse.
#[test]
fn a_run_end_counts_after_the_lease_expired_if_no_run_lapsed() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", Some("ane"), vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    let now = cluster.now;
    let worker = &mut cluster.workers[0];
    let task = "job.0.0.0".parse().expect("valid task name");
    worker.end(&task, RunEnd::Done, now);
    let mut report = worker.report(now);
    report.clock += 60_000;
    let order = PollOrder {
        worker: worker.entry.id.clone(),
        address: worker.entry.address,
        life: Some(report.life),
        epoch: 1,
        fence: 1 << 16,
        acknowledged: 0,
        acknowledge_by: now,
        lease_until: None,
        wait: millis(0),
        sent_at: now,
    };
    let result = Ok(report);
    cluster.handle_event(ShardEvent::Polled {
        order,
        result,
        answered_at: now,
    });
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
}

#[test]
fn a_worker_restarted_under_the_same_name_gets_its_lost_tasks_again() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("job", None, vec![long_running(2)]);
    cluster.workers[0].entry.capacity = size(8000, 16_384);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    cluster.workers.clear();
    cluster.run(millis(100));
    cluster.add_worker("w0", "m0");
    cluster.run(seconds(1));
    cluster.list_workers();
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("job.0.0.0") == 1));
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
}

/// A worker is gone and another one has its address, while the list still contains the first.
#[test]
fn a_worker_whose_address_was_reused_is_not_polled_without_pause() {
    let mut cluster = TestCluster::new(2);
    cluster.run(millis(500));
    cluster.workers[0].address_reused = true;
    cluster.submit("job", Some("ane"), vec![step(4)]);
    let before = cluster.poll_count;
    cluster.run(seconds(3));
    assert_eq!(cluster.status("job"), COMPLETED);
    assert!(
        cluster.poll_count - before < 60,
        "{} polls in 3 s",
        cluster.poll_count - before
    );
}

/// All workers of a pool reject the orders of a partitioned owner.
#[test]
fn rejections_for_a_later_owner_cause_few_ownership_checks() {
    let mut cluster = TestCluster::new(20);
    cluster.submit("job", None, vec![long_running(20)]);
    assert!(cluster.run_until(seconds(2), |cluster| cluster.running("job.0.0.19") == 1));
    for worker in cluster.workers.values_mut() {
        worker.fence = u64::MAX;
    }
    cluster.run(seconds(3));
    assert!(
        (1..=4).contains(&cluster.ownership_checks),
        "{} ownership checks",
        cluster.ownership_checks
    );
}

/// Such a worker was always due for a poll that could not be sent, so the owner ran without a
/// pause until its lease expired.
#[test]
fn a_worker_without_an_address_does_not_keep_its_new_owner_busy() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    cluster.workers[&holder].crashed = true;
    cluster.take_over(None);
    cluster.run(seconds(1));
    cluster.handle_event(ShardEvent::Tick);
    let shard = cluster.controller();
    assert!(shard.next_deadline() > cluster.now);
}

/// The list loses a worker without runs for a moment, as after an outage of the store.
#[test]
fn a_restarted_worker_that_is_listed_again_still_accepts_orders() {
    let mut cluster = TestCluster::new(1);
    cluster.run(seconds(1));
    let worker = cluster.workers[0].entry.id.clone();
    cluster.submit("first", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(1), |cluster| cluster.running("first.0.0.0") == 1));
    cluster.restart_worker(&worker);
    cluster.list_workers();
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("first") == COMPLETED));
    cluster.run(seconds(1));
    cluster.workers[0].crashed = true;
    cluster.list_workers();
    cluster.run(millis(100));
    cluster.workers[0].crashed = false;
    cluster.list_workers();
    cluster.submit("second", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("second") == COMPLETED));
}

/// An entry of another writer names a worker at the address of another one. The ended lives count
/// in the lower bits of every fence.
#[test]
fn a_worker_that_never_answered_has_no_life_to_end() {
    let mut cluster = TestCluster::new(1);
    cluster.add_worker("odd", "m9");
    cluster.workers[1].address_reused = true;
    cluster.list_workers();
    let before = cluster.poll_count;
    cluster.run(seconds(60));
    let polls = cluster.poll_count - before;
    assert!((20..=70).contains(&polls), "{polls} polls in 60 s");
    // The next worker whose life ends gets a fence with the number of lives that ended before.
    cluster.submit("job", None, vec![step(1)]);
    cluster.restart_worker(&"w0".into());
    cluster.list_workers();
    cluster.run(seconds(5));
    let fence = cluster.workers[0].fence;
    assert_eq!(fence & 0xffff, 1, "lives that ended");
    assert_eq!(cluster.status("job"), COMPLETED);
}

/// A worker of another writer may report a new life in each answer.
#[test]
fn fences_of_an_owner_stay_below_those_of_the_next_one() {
    let mut cluster = TestCluster::new(1);
    cluster.run(millis(100));
    let address = cluster.workers[0].entry.address;
    for life in 0..70_000 {
        cluster.handle_event(ShardEvent::Polled {
            order: PollOrder {
                worker: "w0".into(),
                address,
                life: None,
                epoch: 1,
                fence: 1 << 16,
                acknowledged: 0,
                acknowledge_by: cluster.now,
                lease_until: None,
                wait: millis(0),
                sent_at: cluster.now,
            },
            result: Ok(PollReport {
                clock: 1,
                life,
                ..Default::default()
            }),
            answered_at: cluster.now,
        });
    }
    cluster.restart_worker(&"w0".into());
    cluster.submit("job", None, vec![step(1)]);
    cluster.list_workers();
    assert!(cluster.run_until(seconds(5), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.workers[0].fence >> 16, 1);
}

/// A record of another writer under a worker's key names a later life than the worker has.
#[test]
fn a_listed_life_that_the_worker_does_not_confirm_ends_no_runs() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(8);
    cluster.submit("job", None, vec![step(8)]);
    cluster.run(seconds(3));
    let life = cluster.workers[0].entry.life;
    for worker in cluster.workers.values_mut() {
        worker.entry.life += 1;
    }
    cluster.list_workers();
    for worker in cluster.workers.values_mut() {
        worker.entry.life = life;
    }
    cluster.run(millis(500));
    cluster.list_workers();
    assert!(cluster.run_until(seconds(12), |cluster| cluster.status("job") == COMPLETED));
    let starts: Vec<usize> = cluster.starts.values().map(Vec::len).collect();
    assert_eq!(starts, [1; 8]);
}

/// Guards against a task that is started again beside its run (review/11): a record of another writer
/// names the machine of a worker, which answers all the while.
#[test]
fn a_listed_worker_on_the_machine_of_one_that_answers_ends_no_runs() {
    let mut cluster = long_running_cluster(2);
    let holder = cluster.starts[0][0].0.clone();
    let machine = cluster.workers[&holder].entry.machine.clone();
    cluster.add_worker("other", &machine.expect("a machine"));
    cluster.owner_mut().cut_off.insert("other".into());
    cluster.list_workers();
    cluster.run(seconds(20));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    cluster.workers[&holder].crashed = true;
    cluster.run(seconds(5));
    assert_eq!(cluster.start_count("job.0.0.0"), 2);
}

/// Guards against a task that runs again after its end (review/4): a start that went unanswered is executed
/// by a later life of its worker, which has no runs, so that nothing told it of a fence.
#[test]
fn a_late_start_on_a_later_life_of_an_idle_worker_is_rejected() {
    let mut cluster = TestCluster::new(1);
    let mut first = true;
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Start(_) if std::mem::take(&mut first) => OrderFate::Late(seconds(11)),
        _ => OrderFate::Delivered,
    });
    cluster.submit("job", None, vec![step(1)]);
    assert!(cluster.run_until(seconds(8), |cluster| cluster.status("job") == COMPLETED));
    let worker = cluster.workers[0].entry.id.clone();
    cluster.restart_worker(&worker);
    cluster.list_workers();
    cluster.run(seconds(15));
    assert_eq!(cluster.start_count("job.0.0.0"), 1);
    let polls = cluster.poll_count;
    cluster.run(seconds(5));
    assert_eq!(
        cluster.poll_count, polls,
        "an idle worker is polled for good"
    );
}

/// The store is down for less time than tasks survive.
#[test]
fn leases_do_not_lapse_in_an_outage_of_the_store_that_is_shorter_than_the_horizon() {
    let lapsed = (0..20).filter(|phase| {
        let mut cluster = long_running_cluster(1);
        cluster.run(seconds(3) + millis(100 * phase));
        cluster.store_up = false;
        cluster.run(seconds(7));
        cluster.store_up = true;
        cluster.run(seconds(3));
        cluster.start_count("job.0.0.0") > 1 || cluster.running("job.0.0.0") == 0
    });
    let lapsed: Vec<u64> = lapsed.map(|phase| 100 * phase).collect();
    assert!(lapsed.is_empty(), "lapsed with the outage at {lapsed:?} ms");
}

/// A poll that a worker held for long fails after a later one was answered.
#[test]
fn the_failure_of_an_earlier_poll_does_not_close_a_worker() {
    let mut cluster = long_running_cluster(1);
    cluster.run(seconds(5));
    let entry = cluster.workers[0].entry.clone();
    let order = PollOrder {
        worker: entry.id,
        address: entry.address,
        life: Some(entry.life),
        epoch: cluster.owner().epoch(),
        fence: cluster.workers[0].fence,
        acknowledged: 0,
        acknowledge_by: cluster.now,
        lease_until: None,
        wait: seconds(2),
        sent_at: cluster.now - seconds(4),
    };
    let result = Err(CallFault::Unanswered);
    let answered_at = cluster.now;
    cluster.handle_event(ShardEvent::Polled {
        order,
        result,
        answered_at,
    });
    assert!(cluster.unreachable_lives().is_empty());
}
