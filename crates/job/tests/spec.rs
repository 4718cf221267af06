//! Limits of submitted jobs.

use pw_job::prelude::*;

fn job(occurrences: u32, step: StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step],
        occurrences,
        ..Default::default()
    }
}

/// Guards against accepted long-running tasks that never start, as no occurrence before them ends.
#[test]
fn a_long_running_job_has_all_its_occurrences_open() {
    let step = StepSpec {
        count: 1_000,
        long_running: true,
        ..Default::default()
    };
    assert_eq!(job(10, step.clone()).validate(), Ok(()));
    let refusal = job(11, step).validate();
    assert_eq!(refusal, Err(SpecError::TooManyLongRunningTasks));
}

#[test]
fn occurrences_open_up_to_the_limit_of_tasks() {
    let step = StepSpec {
        count: 3_000,
        ..Default::default()
    };
    let spec = job(u32::MAX, step);
    assert_eq!(spec.validate(), Ok(()));
    let mut state = JobState::default();
    while state.may_open_next(&spec) {
        state.open_next(&spec);
    }
    assert_eq!(state.occurrences.len(), 3);
}

#[test]
fn a_single_occurrence_opens_whatever_its_tasks() {
    let step = StepSpec {
        count: u32::MAX,
        ..Default::default()
    };
    assert!(JobState::default().may_open_next(&job(1, step)));
}
