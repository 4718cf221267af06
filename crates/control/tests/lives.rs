//! Workers that fall silent, crash, or come back, and owners that are cut off.

mod support;

use pw_control::prelude::*;
use pw_job::prelude::*;
use support::{COMPLETED, World, lasting, lasting_world, millis, seconds, size, step};

#[test]
fn a_silent_worker_keeps_its_tasks_until_its_lease_is_over() {
    let mut world = lasting_world(2);
    let holder = world.starts[0][0].0.clone();
    let silent_since = world.now;
    world.workers[&holder].silent = true;
    assert!(world.run_until(seconds(10), |world| world.start_count("job.0.0.0") == 2));
    assert!(
        world.now >= silent_since + seconds(4),
        "restarted under a lease that may last"
    );
    assert!(
        world.now <= silent_since + seconds(9),
        "not restarted in time"
    );
}

/// A rack goes dark in a surge: its machines are listed as down long before the leases are over.
#[test]
fn a_life_that_ended_with_its_machine_is_not_waited_for() {
    let mut world = lasting_world(2);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].dead = true;
    world.run(seconds(3));
    assert_eq!(world.start_count("job.0.0.0"), 1);
    world.ended = world.silent_lives();
    assert_eq!(world.ended.len(), 1);
    assert!(world.run_until(millis(500), |world| world.start_count("job.0.0.0") == 2));
}

#[test]
fn a_later_life_goes_on_when_the_one_before_is_told_to_be_over() {
    let mut world = lasting_world(1);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].dead = true;
    world.run(seconds(3));
    let ended = world.silent_lives();
    world.workers.clear();
    world.add_worker("w0", "m0");
    assert!(world.run_until(seconds(3), |world| world.running("job.0.0.0") == 1));
    world.ended = ended;
    world.run(seconds(2));
    assert_eq!(world.running("job.0.0.0"), 1);
    assert_eq!(world.start_count("job.0.0.0"), 2);
}

#[test]
fn an_owner_that_fell_silent_is_waited_for_longer() {
    let mut world = lasting_world(2);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].silent = true;
    let taken = world.now;
    world.take_over(None);
    assert!(world.run_until(seconds(20), |world| world.start_count("job.0.0.0") == 2));
    assert!(
        world.now >= taken + seconds(12),
        "the owner before may still have renewed the lease"
    );
}

/// Every node is stopped and started in turn while a worker is away for good.
#[test]
fn a_task_on_a_lost_worker_restarts_although_owners_change() {
    let mut world = lasting_world(3);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].dead = true;
    let lost = world.now;
    for _ in 0..8 {
        world.run(seconds(2));
        world.hand_over();
    }
    assert_eq!(world.start_count("job.0.0.0"), 2);
    assert!(
        world.starts[0][1].2 <= lost + seconds(9),
        "handing over began the wait anew"
    );
}

/// Until its leases are over, a worker that is gone still counts for the pool of its runs.
#[test]
fn work_on_a_worker_that_is_gone_belongs_to_its_pool() {
    let mut world = lasting_world(2);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].dead = true;
    world.take_over(None);
    world.run(millis(200));
    let shard = world.controller.as_ref().expect("an owner");
    let pools = shard.survey_report(world.now).pools;
    let names: Vec<&str> = pools.iter().map(|load| &*load.pool).collect();
    assert_eq!(names, ["pool"]);
    assert_eq!(pools[0].used, size(1000, 1024));
}

/// The worker's machine is back with another worker before the lease of the lost one is over.
#[test]
fn another_worker_on_the_machine_ends_the_wait() {
    let mut world = lasting_world(3);
    let holder = world.starts[0][0].0.clone();
    let machine = world.workers[&holder]
        .entry
        .machine
        .clone()
        .expect("a machine");
    world.workers[&holder].dead = true;
    world.run(millis(500));
    world.take_over(None);
    world.run(seconds(1));
    assert_eq!(world.start_count("job.0.0.0"), 1);
    world.add_worker("again", &machine);
    world.list_workers();
    assert!(world.run_until(seconds(1), |world| world.start_count("job.0.0.0") == 2));
}

#[test]
fn a_worker_that_was_only_cut_off_does_not_run_the_task_twice() {
    let mut world = lasting_world(2);
    let holder = world.starts[0][0].0.clone();
    world.workers[&holder].silent = true;
    for _ in 0..4 {
        world.run(millis(1300));
        world.hand_over();
    }
    world.run(seconds(10));
    world.workers[&holder].silent = false;
    world.run(seconds(3));
    assert_eq!(world.running("job.0.0.0"), 1);
}

/// A worker that is cut off ends one run, and loses another one with its lease.
#[test]
fn an_end_before_a_lapsed_lease_does_not_count() {
    let mut world = World::new(1);
    world.submit("job", Some("ane"), vec![step(1)]);
    world.submit("lasting", None, vec![lasting(1)]);
    let names = ["job.0.0.0", "lasting.0.0.0"];
    assert!(world.run_until(seconds(1), |world| {
        names.iter().all(|n| world.running(n) == 1)
    }));
    world.workers[0].silent = true;
    world.run(seconds(8));
    world.workers[0].silent = false;
    assert!(world.run_until(seconds(5), |world| world.status("job") == COMPLETED));
    assert!(
        world.start_count(names[0]) >= 2,
        "an end that was not taken note of in time counted"
    );
}

/// An owner without processor time hears of an end when the lease is long over, but nothing else ran
/// there that could lapse.
#[test]
fn an_end_counts_although_the_lease_is_over_where_nothing_lapsed() {
    let mut world = World::new(1);
    world.submit("job", Some("ane"), vec![step(1)]);
    assert!(world.run_until(seconds(1), |world| world.running("job.0.0.0") == 1));
    let now = world.now;
    let worker = &mut world.workers[0];
    worker.end(&"job.0.0.0".parse().expect("a task's name"), RunEnd::Done);
    let mut report = worker.report(now);
    report.clock += 60_000;
    let order = PollOrder {
        worker: worker.entry.id.clone(),
        address: worker.entry.address,
        life: Some(report.life),
        epoch: 1,
        acknowledged: 0,
        lease_until: None,
        wait: millis(0),
        sent_at: now,
    };
    let result = Ok(report);
    world.tell(ShardEvent::Polled { order, result });
    assert!(world.run_until(seconds(5), |world| world.status("job") == COMPLETED));
    assert_eq!(world.start_count("job.0.0.0"), 1);
}

#[test]
fn a_worker_reborn_under_its_name_gets_lost_tasks_back() {
    let mut world = World::new(1);
    world.submit("job", None, vec![lasting(2)]);
    world.workers[0].entry.capacity = size(8000, 16_384);
    assert!(world.run_until(seconds(1), |world| world.running("job.0.0.0") == 1));
    world.workers.clear();
    world.run(millis(100));
    world.add_worker("w0", "m0");
    assert!(world.run_until(seconds(2), |world| world.running("job.0.0.0") == 1));
    assert_eq!(world.start_count("job.0.0.0"), 2);
}

/// A worker is gone and another one has its address while the list still names the first.
#[test]
fn a_worker_at_another_ones_address_is_not_asked_without_pause() {
    let mut world = World::new(2);
    world.run(millis(500));
    world.workers[0].other_at_address = true;
    world.submit("job", Some("ane"), vec![step(4)]);
    let before = world.looks;
    world.run(seconds(3));
    assert_eq!(world.status("job"), COMPLETED);
    assert!(
        world.looks - before < 60,
        "{} looks in 3 s",
        world.looks - before
    );
}

/// All workers of a pool refuse the orders of an owner that was cut off.
#[test]
fn refusals_for_a_later_owner_are_checked_once() {
    let mut world = World::new(20);
    world.submit("job", None, vec![lasting(20)]);
    assert!(world.run_until(seconds(2), |world| world.running("job.0.0.19") == 1));
    for worker in world.workers.values_mut() {
        worker.fence = 9;
    }
    world.run(seconds(3));
    assert!(
        (1..=4).contains(&world.contested),
        "{} checks",
        world.contested
    );
}
