//! Tests of workers whose capacity shrinks and grows while they run, and of workers that start
//! whatever they are told to.

mod support;

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use support::network::OrderFate;
use support::worker::{FakeRun, SHRINK_GRACE};
use support::{COMPLETED, TestCluster, millis, seconds, size, step};

/// Creates a cluster with workers that don't guard their capacity of 8 cores and 16 GiB.
fn unguarded_cluster(workers: usize) -> TestCluster {
    let mut cluster = TestCluster::new(workers);
    for worker in cluster.workers.values_mut() {
        worker.guards_capacity = false;
        worker.stop_time = millis(400);
    }
    cluster.run_time = seconds(60);
    cluster.run(millis(100));
    cluster
}

fn first_worker(cluster: &TestCluster) -> WorkerId {
    cluster.workers[0].entry.id.clone()
}

/// Changes the capacity of a worker and tells the owner.
fn resize(cluster: &mut TestCluster, worker: &WorkerId, capacity: ResourceSize) {
    cluster.resize(worker, capacity);
    cluster.list_workers();
}

#[test]
fn a_worker_that_shrank_below_its_runs_gets_no_start_until_it_has_grown() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.submit("first", None, vec![step(4)]);
    cluster.run(millis(200));
    assert_eq!(cluster.runs_on(&worker), 4);
    resize(&mut cluster, &worker, size(2000, 4096));
    cluster.submit("second", None, vec![step(4)]);
    cluster.run(SHRINK_GRACE + seconds(1));
    assert_eq!(cluster.runs_on(&worker), 4);
    resize(&mut cluster, &worker, size(6000, 8192));
    cluster.run(millis(300));
    assert_eq!(cluster.runs_on(&worker), 6);
    resize(&mut cluster, &worker, size(8000, 16_384));
    cluster.run(millis(300));
    assert_eq!(cluster.runs_on(&worker), 8);
}

#[test]
fn a_worker_without_capacity_gets_no_start_until_it_has_some() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    resize(&mut cluster, &worker, size(0, 0));
    cluster.submit("job", None, vec![step(2)]);
    cluster.run(SHRINK_GRACE + seconds(1));
    assert_eq!(cluster.runs_on(&worker), 0);
    cluster.run_time = millis(200);
    resize(&mut cluster, &worker, size(1000, 1024));
    assert!(cluster.run_until(seconds(2), |cluster| cluster.status("job") == COMPLETED));
}

#[test]
fn runs_that_are_being_stopped_count_against_a_shrunken_capacity() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.submit("first", None, vec![step(4)]);
    cluster.run(millis(200));
    resize(&mut cluster, &worker, size(4000, 8192));
    cluster.run(SHRINK_GRACE);
    cluster.cancel("first");
    cluster.submit("second", None, vec![step(4)]);
    cluster.run(millis(300));
    assert_eq!(cluster.start_count("second.0.0.0"), 0);
    cluster.run(millis(500));
    assert_eq!(cluster.runs_on(&worker), 4);
    assert_eq!(cluster.start_count("second.0.0.3"), 1);
}

#[test]
fn runs_of_a_former_owner_count_against_a_shrunken_capacity() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.submit("first", None, vec![step(4)]);
    cluster.run(millis(200));
    resize(&mut cluster, &worker, size(4000, 8192));
    cluster.run(SHRINK_GRACE);
    cluster.take_over(None);
    cluster.submit("second", None, vec![step(2)]);
    cluster.run(seconds(2));
    assert_eq!(cluster.runs_on(&worker), 4);
}

/// A task that fills reserves no cores, so it fits into the remaining room of 0 cores.
#[test]
fn a_best_effort_task_does_not_start_on_a_worker_that_exceeds_its_capacity() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.submit("first", None, vec![step(4)]);
    cluster.run(millis(200));
    resize(&mut cluster, &worker, size(2000, 16_384));
    cluster.run(SHRINK_GRACE);
    let filler = StepSpec {
        best_effort: true,
        ..step(2)
    };
    cluster.submit("second", None, vec![filler]);
    cluster.run(seconds(1));
    assert_eq!(cluster.runs_on(&worker), 4);
    resize(&mut cluster, &worker, size(4000, 16_384));
    cluster.run(millis(300));
    assert_eq!(cluster.runs_on(&worker), 6);
}

#[test]
fn a_placement_that_waits_for_the_store_does_not_start_on_a_worker_that_has_shrunk() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.append_time = millis(500);
    cluster.submit("job", None, vec![step(4)]);
    cluster.run(millis(100));
    resize(&mut cluster, &worker, size(1000, 1024));
    cluster.run(seconds(2));
    assert_eq!(cluster.runs_on(&worker), 1);
}

/// Returns a cluster of two workers with a start that went unanswered and did not reach its worker,
/// and that worker.
fn lost_start_cluster() -> (TestCluster, WorkerId) {
    let mut cluster = unguarded_cluster(2);
    let mut lost = false;
    cluster.order_fate = Box::new(move |command| match command {
        ShardCommand::Start(_) if !lost => {
            lost = true;
            OrderFate::Lost
        }
        _ => OrderFate::Delivered,
    });
    cluster.submit("job", None, vec![step(1)]);
    cluster.run(millis(200));
    let worker = cluster.placed_on("job.0.0.0");
    (cluster, worker)
}

fn assert_started_elsewhere(cluster: &mut TestCluster, worker: &WorkerId) {
    cluster.run(SHRINK_GRACE + seconds(1));
    assert_eq!(cluster.runs_on(worker), 0);
    assert_eq!(cluster.running("job.0.0.0"), 1);
}

#[test]
fn an_unanswered_start_is_not_repeated_on_a_worker_that_has_shrunk() {
    let (mut cluster, worker) = lost_start_cluster();
    resize(&mut cluster, &worker, size(0, 0));
    assert_started_elsewhere(&mut cluster, &worker);
}

#[test]
fn an_unanswered_start_is_not_repeated_on_a_worker_that_drains() {
    let (mut cluster, worker) = lost_start_cluster();
    cluster.workers[&worker].entry.phase = WorkerPhase::Draining;
    cluster.list_workers();
    assert_started_elsewhere(&mut cluster, &worker);
}

#[test]
fn an_unanswered_start_is_not_repeated_in_an_evacuated_availability_zone() {
    let (mut cluster, worker) = lost_start_cluster();
    cluster.workers[&worker].entry.zone = "dark".into();
    cluster.list_workers();
    cluster.set_config(|config| {
        config.evacuated.insert("dark".into());
    });
    assert_started_elsewhere(&mut cluster, &worker);
}

/// Lets a run that no placement matches take most of a worker, and submits a job once the owner
/// stops that run.
fn start_beside_stray_run(is_known: bool) {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.workers[0].stop_time = seconds(1);
    cluster.submit("first", None, vec![step(1)]);
    let wide = StepSpec {
        size: size(6000, 1024),
        ..step(1)
    };
    if is_known {
        cluster.submit("stray", None, vec![wide]);
        cluster.cancel("stray");
    } else {
        let mut record = (*cluster.submissions["first"]).clone();
        record.spec.steps = vec![wide];
        cluster.submissions.insert("stray".into(), record.into());
    }
    cluster.run(millis(200));
    let stray: TaskName = "stray.0.0.0".parse().expect("a task");
    let now = cluster.now;
    let runs = &mut cluster.workers[0].running;
    let run = FakeRun {
        size: size(6000, 1024),
        ..runs[0].clone()
    };
    runs.insert(stray.clone(), run);
    assert!(cluster.run_until(seconds(3), |cluster| {
        cluster.workers[0].running[&stray].stops_at.is_some()
    }));
    cluster.submit("second", None, vec![step(4)]);
    assert!(cluster.run_until(seconds(3), |cluster| {
        cluster.running("second.0.0.3") == 1
    }));
    assert!(cluster.now >= now + seconds(1));
    assert_eq!(cluster.runs_on(&worker), 5);
}

#[test]
fn a_stray_run_counts_against_the_capacity() {
    start_beside_stray_run(true);
}

#[test]
fn a_stray_run_of_an_unknown_job_may_take_the_whole_worker() {
    start_beside_stray_run(false);
}

fn room_refusals(cluster: &TestCluster) -> usize {
    let workers = cluster.workers.values();
    workers.map(|worker| worker.room_refusals).sum()
}

/// Creates a cluster of two workers that guard their capacity and have lost it, which is not listed
/// yet, and a job that needs all of it.
fn refusing_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = seconds(60);
    cluster.run(millis(100));
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    for worker in workers {
        cluster.resize(&worker, size(2000, 2048));
    }
    cluster.submit("job", None, vec![step(16)]);
    cluster
}

/// A worker that guards its capacity refuses starts until its owner knows that it has shrunk.
#[test]
fn starts_that_were_refused_for_lack_of_room_are_not_repeated_at_each_pass() {
    let mut cluster = refusing_cluster();
    let ttl = cluster.settings.room_refusal_ttl;
    cluster.run(millis(100));
    assert_eq!(room_refusals(&cluster), 12);
    cluster.run(ttl - millis(150));
    assert_eq!(room_refusals(&cluster), 12);
    cluster.list_workers();
    cluster.run(seconds(5));
    assert_eq!(room_refusals(&cluster), 12);
}

#[test]
fn a_refused_start_is_repeated_once_room_may_be_free() {
    let mut cluster = refusing_cluster();
    let worker = first_worker(&cluster);
    cluster.run(millis(300));
    let task = cluster.workers[0].running.keys().next().cloned();
    let now = cluster.now;
    cluster.workers[0].end(&task.expect("a run"), RunEnd::Done, now);
    assert_eq!(cluster.runs_on(&worker), 1);
    cluster.run(millis(300));
    assert_eq!(cluster.runs_on(&worker), 2);
}

#[test]
fn a_smaller_task_starts_on_a_worker_that_refused_a_larger_one() {
    let mut cluster = TestCluster::new(1);
    cluster.run(millis(100));
    let worker = first_worker(&cluster);
    cluster.resize(&worker, size(2000, 16_384));
    let wide = StepSpec {
        size: size(6000, 1024),
        ..step(1)
    };
    cluster.submit("wide", None, vec![wide]);
    cluster.run(millis(100));
    assert_eq!(room_refusals(&cluster), 1);
    cluster.submit("narrow", None, vec![step(1)]);
    cluster.run(millis(300));
    assert_eq!(cluster.start_count("narrow.0.0.0"), 1);
    cluster.resize(&worker, size(8000, 16_384));
    assert!(cluster.run_until(seconds(2), |cluster| cluster.start_count("wide.0.0.0") == 1));
}

fn pool_load(cluster: &TestCluster) -> PoolLoad {
    let report = cluster.controller().survey_report(cluster.now);
    report.pools.into_iter().next().expect("a pool")
}

#[test]
fn a_survey_reports_the_capacity_that_workers_have_lost() {
    let mut cluster = unguarded_cluster(2);
    let worker = first_worker(&cluster);
    resize(&mut cluster, &worker, size(2000, 4096));
    let load = pool_load(&cluster);
    assert_eq!(load.capacity, size(10_000, 20_480));
    assert_eq!(load.full_capacity, size(16_000, 32_768));
    resize(&mut cluster, &worker, size(4000, 4096));
    assert_eq!(pool_load(&cluster).full_capacity, size(16_000, 32_768));
}

#[test]
fn a_later_life_has_lost_no_capacity() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.workers[0].entry.capacity = size(2000, 4096);
    cluster.restart_worker(&worker);
    cluster.list_workers();
    cluster.run(seconds(2));
    assert_eq!(pool_load(&cluster).full_capacity, size(2000, 4096));
}

#[test]
fn a_worker_that_has_lost_capacity_is_the_first_to_leave_its_pool() {
    let mut cluster = unguarded_cluster(3);
    let last = cluster.workers[2].entry.id.clone();
    assert_ne!(pool_load(&cluster).movable[0], last);
    resize(&mut cluster, &last, size(0, 0));
    assert_eq!(pool_load(&cluster).movable[0], last);
}

#[test]
fn a_pool_asks_for_a_machine_when_a_task_fits_only_the_former_capacity_of_its_workers() {
    let mut cluster = unguarded_cluster(2);
    let workers: Vec<WorkerId> = cluster.workers.keys().cloned().collect();
    for worker in &workers {
        resize(&mut cluster, worker, size(3000, 16_384));
    }
    let too_large = StepSpec {
        size: size(9000, 1024),
        ..step(1)
    };
    cluster.submit("never", None, vec![too_large]);
    cluster.run(seconds(1));
    assert_eq!(pool_load(&cluster).blocked, 0);
    let wide = StepSpec {
        size: size(4000, 1024),
        ..step(1)
    };
    cluster.submit("wide", None, vec![wide]);
    cluster.run(seconds(1));
    assert_eq!(pool_load(&cluster).blocked, 1);
    resize(&mut cluster, &workers[0], size(4000, 16_384));
    cluster.run(millis(300));
    assert_eq!(cluster.running("wide.0.0.0"), 1);
    assert_eq!(pool_load(&cluster).blocked, 0);
}

/// A later life of a worker answers before its entry is listed.
#[test]
fn a_worker_gets_no_start_by_the_capacity_of_its_former_life() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    cluster.submit("first", None, vec![step(1)]);
    cluster.run(millis(200));
    cluster.workers[0].entry.capacity = size(2000, 16_384);
    cluster.restart_worker(&worker);
    cluster.workers[0].guards_capacity = false;
    cluster.submit("second", None, vec![step(4)]);
    cluster.run(seconds(2));
    cluster.list_workers();
    cluster.run(seconds(1));
    assert_eq!(cluster.runs_on(&worker), 2);
}

#[test]
fn a_worker_gets_no_start_by_the_labels_of_its_former_life() {
    let mut cluster = unguarded_cluster(1);
    let worker = first_worker(&cluster);
    let labelled = StepSpec {
        required_label: Some("kind".into()),
        ..step(1)
    };
    cluster.submit("first", None, vec![step(1)]);
    cluster.run(millis(200));
    cluster.workers[0].entry.labels = vec!["other".into(), "rack".into()];
    cluster.restart_worker(&worker);
    cluster.submit("second", None, vec![labelled]);
    cluster.run(seconds(1));
    cluster.list_workers();
    cluster.run(seconds(1));
    assert_eq!(cluster.start_count("second.0.0.0"), 0);
    assert_eq!(cluster.running("first.0.0.0"), 1);
}
