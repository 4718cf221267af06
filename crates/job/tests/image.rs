//! Tests of stored images.

use pw_job::prelude::*;

/// Largest record of the platform's store, without a key.
const MAX_BYTES: usize = 262_144 - 256;

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
    assert_eq!(
        encode_state(&state(), MAX_BYTES).expect("encodable"),
        VERSION_1
    );
}

#[test]
fn the_crashes_under_a_task_are_stored() {
    let mut state = state();
    assert!(state.record_crash((0, 0, 0), 1, false).is_some());
    assert!(state.record_crash((0, 0, 0), 1, false).is_none());
    assert!(state.record_crash((0, 0, 0), 2, true).is_some());
    assert!(state.record_crash((0, 0, 0), 3, false).is_some());
    let bytes = encode_state(&state, MAX_BYTES).expect("encodable");
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
    let mut bytes = encode_state(&state(), MAX_BYTES).expect("encodable");
    bytes[0] = 4;
    assert!(matches!(
        decode_state(&bytes),
        Err(ImageError::UnknownVersion(4))
    ));
}

/// Returns the state of a job with as many placed tasks as may be open, each with a checkpoint of
/// `checkpoint_bytes`, on `workers` workers.
fn largest_state(workers: usize, checkpoint_bytes: usize) -> JobState {
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1_000,
            ..Default::default()
        }],
        occurrences: 100,
        ..Default::default()
    };
    let mut state = JobState::default();
    while state.may_open_next(&spec) {
        state.open_next(&spec);
    }
    let tasks = state.occurrences.iter_mut();
    let tasks = tasks.flat_map(|occurrence| occurrence.steps.iter_mut().flatten());
    for (number, task) in tasks.enumerate() {
        let worker = number % workers;
        *task = TaskState {
            phase: TaskPhase::Placed(TaskPlacement {
                worker: format!("i-{worker:010}").into(),
                life: 1_700_000_000_000 + worker as u64,
                machine: Some(format!("m-{worker:010}").into()),
            }),
            last_run: 1 + number as u32 % 3,
            failures: number as u32 % 2,
            checkpoint: Some(format!("{number:0checkpoint_bytes$}").into()),
        };
    }
    state
}

/// Guards against a job whose state the store refuses for good, with all that waits behind it.
#[test]
fn a_state_of_all_open_tasks_fits_into_a_record() {
    let state = largest_state(500, 16);
    let bytes = encode_state(&state, MAX_BYTES).expect("encodable");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode_state(&bytes).expect("decodable"), state);
}

/// Guards against a job whose checkpoints keep its state from being stored.
#[test]
fn a_state_with_long_checkpoints_is_stored_without_them() {
    let mut state = largest_state(500, 200);
    let bytes = encode_state(&state, MAX_BYTES).expect("encodable");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    for step in state.occurrences.iter_mut().flat_map(|o| &mut o.steps) {
        step.iter_mut().for_each(|task| task.checkpoint = None);
    }
    assert_eq!(decode_state(&bytes).expect("decodable"), state);
}

#[test]
fn a_state_beyond_the_limit_is_refused() {
    let refusal = encode_state(&largest_state(500, 16), 1_000);
    assert!(matches!(refusal, Err(ImageError::TooLarge(_))));
}

/// Guards against a panic over an image with a valid checksum and a placement that does not exist.
#[test]
fn a_compact_state_with_a_missing_placement_is_refused() {
    let state = largest_state(1, 16);
    let mut bytes = encode_state(&state, MAX_BYTES).expect("encodable");
    // The first task refers to placement 0: its phase is followed by the index, the run number and
    // the failures.
    let task = [1, 0, 1, 0, 1, 16];
    let position = bytes.windows(task.len()).position(|window| window == task);
    bytes[position.expect("the first task") + 1] = 1;
    let checksum = crc32fast::hash(&bytes[5..]).to_le_bytes();
    bytes[1..5].copy_from_slice(&checksum);
    assert!(matches!(
        decode_state(&bytes),
        Err(ImageError::Malformed(_))
    ));
}
