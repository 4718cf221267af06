//! Tests of stored images.

use pw_job::prelude::*;

/// Image of [`state`] in version 1.
const VERSION_1: [u8; 45] = [
    1, 72, 117, 239, 91, 0, 0, 1, 1, 1, 0, 2, 2, 1, 2, 119, 49, 253, 0, 104, 229, 207, 139, 1, 0,
    0, 1, 2, 109, 49, 2, 1, 1, 2, 99, 49, 2, 1, 0, 0, 1, 0, 0, 0, 0,
];

/// Returns the state of a job of two steps: a task is placed, one is done, one waits.
fn state() -> JobState {
    let step = |count| StepSpec {
        count,
        ..Default::default()
    };
    let spec = JobSpec {
        steps: vec![step(2), step(1)],
        occurrences: 3,
        ..Default::default()
    };
    let placement = TaskPlacement {
        worker: "w1".into(),
        life: 1_700_000_000_000,
        machine: Some("m1".into()),
    };
    let mut state = JobState::default();
    state.open_next(&spec);
    state.started = true;
    state.place((0, 0, 0), placement.clone());
    state.end_run(&spec, (0, 0, 0), 1, RunEnd::Failed, Some(3));
    state.place((0, 0, 0), placement.clone());
    state.place((0, 0, 1), placement);
    state.end_run(&spec, (0, 0, 1), 1, RunEnd::Done, Some(3));
    let task = state.task_mut(0, 0, 0).expect("a task");
    task.checkpoint = Some("c1".into());
    state
}

#[test]
fn a_state_stored_without_crashes_still_decodes() {
    assert_eq!(decode_state(&VERSION_1).expect("decodable"), state());
}

/// Nodes of the build before may take the shard over during a rolling update.
#[test]
fn a_state_without_crashes_is_written_in_the_former_version() {
    assert_eq!(encode_state(&state()).expect("encodable"), VERSION_1);
}

#[test]
fn the_crashes_under_a_task_are_stored() {
    let mut state = state();
    assert!(state.record_crash((0, 0, 0), 1, false).is_some());
    assert!(state.record_crash((0, 0, 0), 1, false).is_none());
    assert!(state.record_crash((0, 0, 0), 2, true).is_some());
    assert!(state.record_crash((0, 0, 0), 3, false).is_some());
    let bytes = encode_state(&state).expect("encodable");
    let decoded = decode_state(&bytes).expect("decodable");
    let tally = CrashTally {
        count: 2,
        excused: 1,
        last_run: 3,
    };
    assert_eq!(decoded.crashes[&(0, 0, 0)], tally);
    assert_eq!(decoded, state);
}

#[test]
fn a_state_of_an_unknown_version_is_refused() {
    let mut bytes = encode_state(&state()).expect("encodable");
    bytes[0] = 3;
    assert!(matches!(
        decode_state(&bytes),
        Err(ImageError::UnknownVersion(3))
    ));
}
