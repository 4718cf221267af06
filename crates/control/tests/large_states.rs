//! Jobs whose states come close to the largest record of the store.

mod support;

use pw_job::prelude::*;
use support::{COMPLETED, TestCluster, millis, seconds, size, step};

fn small_step(count: u32) -> StepSpec {
    StepSpec {
        size: size(10, 4),
        ..step(count)
    }
}

/// Guards against a shard that stores nothing any more, as the store refuses the state of a large job.
#[test]
fn jobs_beside_one_with_thousands_of_runs_complete() {
    let mut cluster = TestCluster::new(0);
    for number in 0..20 {
        cluster.add_worker(&format!("i-{number:010}"), &format!("m-{number:010}"));
    }
    cluster.list_workers();
    cluster.run_time = seconds(6);
    let large = JobSpec {
        payload: "work".into(),
        steps: vec![small_step(1_000)],
        occurrences: 8,
        period: millis(100),
        ..Default::default()
    };
    cluster.submit_spec("large", None, large);
    cluster.run(seconds(4));
    cluster.run_time = millis(500);
    cluster.submit("small", None, vec![small_step(4)]);
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("small") == COMPLETED));
    assert!(cluster.run_until(seconds(20), |cluster| cluster.status("large") == COMPLETED));
}

/// Guards against starts of runs whose placement is not stored, since it leaves the state of their job
/// too large. The cluster checks that each placement is stored before its start.
#[test]
fn a_job_runs_as_many_tasks_as_its_state_has_room_for() {
    let mut cluster = TestCluster::new(40);
    cluster.settings.max_image_bytes = 600;
    cluster.max_record_bytes = 700;
    cluster.hand_over();
    let apart = StepSpec {
        max_per_worker: 1,
        ..small_step(100)
    };
    cluster.submit("large", None, vec![apart]);
    cluster.submit("small", None, vec![small_step(4)]);
    assert!(cluster.run_until(seconds(3), |cluster| cluster.status("small") == COMPLETED));
    assert!(cluster.run_until(seconds(30), |cluster| cluster.status("large") == COMPLETED));
}
