//! Stored records that a build can't read, such as those of a later one.

mod support;

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_control::prelude::*;
use pw_job::prelude::*;

use self::support::*;

/// Opens a shard in which a record of `job` can't be read; returns its controller and the records that
/// it stores within a second.
fn open_shard(image: ShardImage) -> (ShardController, Vec<StoreRecord>) {
    let cluster = TestCluster::new(1);
    let (now, wall) = (Instant::now(), SystemTime::now());
    let config = Arc::new(cluster.config.clone());
    let settings = ControlSettings::default();
    let mut controller = ShardController::open((0, 1), image, config, settings, now, wall);
    let mut stored = Vec::new();
    for ms in [0, 500, 1000] {
        let now = now + millis(ms);
        let input = ShardEvent::InputRead(ShardInput::Submissions, now);
        for event in [input, ShardEvent::Tick] {
            for command in controller.handle(now, wall, event) {
                if let ShardCommand::Store { records, .. } = command {
                    stored.extend(records);
                }
            }
        }
    }
    (controller, stored)
}

fn assert_left_alone(image: ShardImage) {
    let (controller, stored) = open_shard(image);
    assert_eq!(stored, []);
    assert_eq!(controller.active_job_count(), 0);
    let status = controller.job_status("job", QueryScope::Public, Instant::now());
    assert_eq!(status, JobAnswer::Uncertain);
}

/// Guards against an accepted job that is deleted since its submission can't be read.
#[test]
fn a_job_with_an_unreadable_submission_is_not_deleted() {
    assert_left_alone(ShardImage {
        states: vec![("job".into(), JobState::default())],
        unreadable: ["job".into()].into(),
        ..Default::default()
    });
}

/// Guards against a job that starts anew since its state can't be read.
#[test]
fn a_job_with_an_unreadable_state_does_not_start_anew() {
    assert_left_alone(ShardImage {
        submissions: vec![("job".into(), submission("pool"))],
        unreadable: ["job".into()].into(),
        ..Default::default()
    });
}

/// Guards against an accepted job that is reported as unknown.
#[test]
fn a_job_whose_submission_arrives_unreadable_is_not_reported_as_unknown() {
    let (mut controller, _) = open_shard(ShardImage::default());
    let now = Instant::now();
    let event = ShardEvent::Unreadable("job".into());
    controller.handle(now, SystemTime::now(), event);
    let status = controller.job_status("job", QueryScope::Public, now);
    assert_eq!(status, JobAnswer::Uncertain);
}

/// Guards against a build that can read a job again and runs it, though its caller has cancelled it.
#[test]
fn the_cancellation_of_an_unreadable_job_is_not_deleted() {
    for known_at_open in [true, false] {
        let unreadable = known_at_open.then(|| "job".into()).into_iter();
        let (mut controller, _) = open_shard(ShardImage {
            cancelled: vec!["job".into()],
            unreadable: unreadable.collect(),
            ..Default::default()
        });
        let (now, wall) = (Instant::now(), SystemTime::now());
        if !known_at_open {
            controller.handle(now, wall, ShardEvent::Unreadable("job".into()));
        }
        let expired = now + ControlSettings::default().retention + seconds(2);
        assert_eq!(controller.handle(expired, wall, ShardEvent::Tick), []);
    }
}
