//! Jobs of a queue that has moved to a pool of another shard.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use pw_control::prelude::*;
use pw_job::prelude::*;

use self::support::*;

/// The intake shard of a queue that has moved, in virtual time.
struct IntakeShard {
    controller: ShardController,
    now: Instant,
    wall: SystemTime,
    /// Records that the controller has stored, the oldest first.
    stored: Vec<StoreRecord>,
}

fn submitted() -> ShardEvent {
    ShardEvent::Submitted("job".into(), submission("pool"))
}

fn rerouted() -> ShardEvent {
    ShardEvent::Rerouted("job".into(), submission("other"))
}

impl IntakeShard {
    fn open(image: ShardImage) -> Self {
        let (now, wall) = (Instant::now(), SystemTime::UNIX_EPOCH);
        let config = Arc::new(TestCluster::new(1).config.clone());
        let settings = ControlSettings::default();
        let controller = ShardController::open((0, 1), image, config, settings, now, wall);
        let mut shard = Self {
            controller,
            now,
            wall,
            stored: Vec::new(),
        };
        shard.run(millis(100));
        shard
    }

    fn handle(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.controller.handle(self.now, self.wall, event) {
                if let ShardCommand::Store { sequence, records } = command {
                    self.stored.extend(records);
                    events.push(ShardEvent::Stored(sequence));
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        self.now += time;
        self.handle(ShardEvent::OwnershipConfirmed(self.now));
        self.handle(ShardEvent::InputRead(ShardInput::Submissions, self.now));
        self.handle(ShardEvent::Tick);
    }

    fn status(&self) -> JobAnswer {
        let controller = &self.controller;
        controller.job_status("job", QueryScope::Public, self.now)
    }

    /// Returns whether the cancellation was stored as well, for each time that the job was forwarded.
    fn forwards(&self) -> Vec<bool> {
        let forwards = self.stored.iter().filter_map(|record| match record {
            StoreRecord::Forward { cancelled, .. } => Some(*cancelled),
            _ => None,
        });
        forwards.collect()
    }
}

/// Guards against a job that runs in two pools after its queue has moved: of two submissions, the
/// first counts.
#[test]
fn a_repetition_after_its_queue_has_moved_is_the_same_job() {
    let mut shard = IntakeShard::open(ShardImage::default());
    shard.handle(submitted());
    shard.handle(rerouted());
    shard.run(millis(100));
    assert_eq!(shard.status(), JobAnswer::Known(JobStatus::Queued));
    assert!(shard.forwards().is_empty());
}

/// Guards against the same where the repetition is accepted by a node with an older configuration, or
/// after the queue has moved back.
#[test]
fn a_repetition_by_an_older_configuration_is_the_same_job() {
    let mut shard = IntakeShard::open(ShardImage::default());
    shard.handle(rerouted());
    shard.handle(submitted());
    shard.run(millis(100));
    assert_eq!(shard.status(), JobAnswer::Moved("other".into()));
    assert_eq!(shard.forwards(), [false]);
    assert_eq!(shard.controller.active_job_count(), 0);
    let other = QueryScope::Account("ane");
    let answer = shard.controller.job_status("job", other, shard.now);
    assert_eq!(answer, JobAnswer::Hidden, "another account sees the job");
}

/// Guards against a new owner, which does not know the order of two submissions, that decides otherwise
/// than its predecessor may have.
#[test]
fn a_new_owner_decides_like_its_predecessor() {
    let image = || ShardImage {
        submissions: vec![("job".into(), submission("pool"))],
        rerouted: vec![("job".into(), submission("other"))],
        ..Default::default()
    };
    let undecided = IntakeShard::open(image());
    assert_eq!(undecided.forwards(), [false]);
    assert_eq!(undecided.controller.active_job_count(), 0);
    let started = IntakeShard::open(ShardImage {
        states: vec![("job".into(), JobState::default())],
        ..image()
    });
    assert!(started.forwards().is_empty());
    assert_eq!(started.controller.active_job_count(), 1);
}

/// Guards against a cancellation that is acknowledged and has no effect since its job has moved.
#[test]
fn the_cancellation_of_a_forwarded_job_is_forwarded() {
    let mut shard = IntakeShard::open(ShardImage::default());
    shard.handle(rerouted());
    shard.run(millis(100));
    shard.handle(ShardEvent::Cancelled("job".into()));
    shard.run(millis(100));
    assert_eq!(shard.forwards(), [false, true]);
    let taken_over = IntakeShard::open(ShardImage {
        rerouted: vec![("job".into(), submission("other"))],
        cancelled: vec!["job".into()],
        ..Default::default()
    });
    assert_eq!(taken_over.forwards(), [true]);
}

/// Guards against a cancellation that is forgotten since its job is forwarded after it.
#[test]
fn a_job_that_was_cancelled_before_its_submission_is_forwarded_as_cancelled() {
    let cancelled = ShardImage {
        cancelled: vec!["job".into()],
        ..Default::default()
    };
    for image in [ShardImage::default(), cancelled] {
        let mut shard = IntakeShard::open(image);
        shard.handle(ShardEvent::Cancelled("job".into()));
        shard.handle(rerouted());
        shard.run(millis(100));
        assert_eq!(shard.forwards(), [true]);
    }
}

/// Guards against a job that is reported as unknown before the other shard has its submission.
#[test]
fn a_job_counts_as_moved_once_its_submission_is_stored() {
    let mut shard = IntakeShard::open(ShardImage::default());
    let events = shard.controller.handle(shard.now, shard.wall, rerouted());
    assert_eq!(shard.status(), JobAnswer::Uncertain);
    assert_eq!(shard.controller.pending("queue"), 1);
    for command in events {
        if let ShardCommand::Store { sequence, .. } = command {
            shard.handle(ShardEvent::Stored(sequence));
        }
    }
    assert_eq!(shard.status(), JobAnswer::Moved("other".into()));
    assert_eq!(shard.controller.pending("queue"), 0);
}

#[test]
fn a_forwarded_job_is_forgotten_while_the_other_shard_still_has_it() {
    let settings = ControlSettings::default();
    assert!(settings.forward_retention < settings.retention);
    let mut shard = IntakeShard::open(ShardImage::default());
    shard.handle(rerouted());
    shard.run(settings.forward_retention / 2);
    assert_eq!(shard.status(), JobAnswer::Moved("other".into()));
    shard.run(settings.forward_retention);
    shard.run(millis(100));
    assert_eq!(shard.status(), JobAnswer::Unknown);
    assert!(shard.stored.contains(&StoreRecord::Remove("job".into())));
}
