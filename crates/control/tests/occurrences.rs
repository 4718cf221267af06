//! Jobs with many occurrences that are due at the same time.

mod support;

use pw_job::prelude::*;
use support::{COMPLETED, TestCluster, millis, seconds, size, step};

/// Returns a job whose occurrences are all due.
fn due_job(occurrences: u32, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps,
        occurrences,
        first_due: None,
        period: seconds(1),
    }
}

fn small_step(count: u32) -> StepSpec {
    StepSpec {
        size: size(100, 64),
        ..step(count)
    }
}

/// Returns the number of tasks in the stored occurrences of a job.
fn open_tasks(cluster: &TestCluster, job: &str) -> usize {
    let occurrences = &cluster.images[job].occurrences;
    occurrences.iter().flat_map(|o| &o.steps).flatten().count()
}

/// Guards against an owner that runs out of memory, since it opens all due occurrences of a job at once.
#[test]
fn a_job_with_millions_of_due_occurrences_has_a_bounded_state() {
    let mut cluster = TestCluster::new(2);
    cluster.submit_spec("endless", None, due_job(10_000_000, vec![small_step(1)]));
    for _ in 0..20 {
        cluster.run(millis(100));
        let open = open_tasks(&cluster, "endless");
        assert!(open <= MAX_OPEN_TASKS, "{open} open tasks");
    }
    assert!(
        cluster.done.len() > 100,
        "{} tasks done",
        cluster.done.len()
    );
}

/// Guards against jobs that are lost beside one whose owner runs out of memory over it.
#[test]
fn jobs_beside_millions_of_due_occurrences_complete() {
    let mut cluster = TestCluster::new(2);
    cluster.submit_spec("endless", None, due_job(10_000_000, vec![step(1)]));
    cluster.run(seconds(1));
    for number in 0..5 {
        let job = format!("job-{number}");
        cluster.submit(&job, None, vec![step(4)]);
        let done = cluster.run_until(seconds(4), |cluster| cluster.status(&job) == COMPLETED);
        assert!(done, "{job} is not completed");
    }
}

/// Occurrences that open late still run once each.
#[test]
fn all_due_occurrences_run_once() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = millis(50);
    let second = StepSpec {
        depends_on: vec![0],
        ..small_step(1)
    };
    cluster.submit_spec("job", None, due_job(700, vec![small_step(2), second]));
    assert!(cluster.run_until(seconds(30), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.starts.len(), 3 * 700);
    assert!(cluster.starts.values().all(|starts| starts.len() == 1));
}

/// Occurrences that wait to be opened are known to the next owner.
#[test]
fn a_new_owner_goes_on_with_the_due_occurrences() {
    let mut cluster = TestCluster::new(2);
    cluster.run_time = millis(50);
    cluster.submit_spec("job", None, due_job(700, vec![small_step(1)]));
    cluster.run(millis(200));
    cluster.hand_over();
    assert!(cluster.run_until(seconds(30), |cluster| cluster.status("job") == COMPLETED));
    assert_eq!(cluster.starts.len(), 700);
}
