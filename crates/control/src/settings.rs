//! Settings of a shard's controller.

use std::time::Duration;

/// Settings of a [`ShardController`](crate::shard::ShardController).
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// Lease that workers are asked for; the platform bounds it. It outlasts the loss of an owner: a
    /// look's wait, the time until the next owner is named and its first look make 5.5 s. Longer
    /// leases let the tasks of a worker that is cut off wait longer.
    pub lease: Duration,
    /// How much slower than the owner's a worker's clock may run, as a part of 1; the platform's
    /// bound.
    pub clock_drift: f64,
    /// How long an owner goes on to renew leases after its last proof of ownership.
    pub ownership_validity: Duration,
    /// Longest wait of a worker's answer for an end; the platform's bound.
    pub poll_wait: Duration,
    /// Shortest time from a worker's answer to the next question. Ends that come within it share
    /// one question.
    pub poll_gap: Duration,
    /// First pause after a question without an answer; doubled up to `poll_retry_max`.
    pub poll_retry: Duration,
    /// Longest pause after a question without an answer.
    pub poll_retry_max: Duration,
    /// Shortest time between two appends of images. Changes that come within it share one append.
    pub store_gap: Duration,
    /// Shortest time between two passes over the waiting tasks. What changes within it shares one pass:
    /// under load each pass costs as much as hundreds of answers of workers.
    pub place_gap: Duration,
    /// Pause of a worker that refused a start for want of room.
    pub capacity_backoff: Duration,
    /// Pause of a worker that said that it is unhealthy; doubled with each further one.
    pub unhealthy_backoff: Duration,
    /// Longest pause of an unhealthy worker.
    pub unhealthy_backoff_max: Duration,
    /// Starts of one run that go unanswered before the run is stopped instead.
    pub max_start_attempts: u32,
    /// Longest time that a worker takes to stop a run; the platform's bound.
    pub stop_time: Duration,
    /// Pause between two attempts to stop a run.
    pub stop_retry: Duration,
    /// How long after its end a job's state can be read.
    pub retention: Duration,
    /// How far before its time, on this node's time of day, an occurrence starts; negative clock
    /// errors of other nodes are within the platform's bound.
    pub due_margin: Duration,
    /// Time in which a pace takes effect and its result can be seen.
    pub pace_settle: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            clock_drift: 0.02,
            ownership_validity: Duration::from_secs(6),
            poll_wait: Duration::from_secs(2),
            poll_gap: Duration::from_millis(140),
            poll_retry: Duration::from_millis(150),
            poll_retry_max: Duration::from_secs(1),
            store_gap: Duration::from_millis(35),
            place_gap: Duration::from_millis(20),
            capacity_backoff: Duration::from_millis(200),
            unhealthy_backoff: Duration::from_millis(500),
            unhealthy_backoff_max: Duration::from_secs(4),
            max_start_attempts: 3,
            stop_time: Duration::from_secs(1),
            stop_retry: Duration::from_millis(250),
            retention: Duration::from_secs(150),
            due_margin: Duration::from_millis(50),
            pace_settle: Duration::from_millis(1000),
        }
    }
}
