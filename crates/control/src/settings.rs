//! Settings of a shard controller.

use std::time::Duration;

/// Settings of a [`ShardController`](crate::shard::ShardController).
#[derive(Debug, Clone, PartialEq)]
pub struct ControlSettings {
    /// Lease duration requested from workers; the platform limits it. It has to outlast a change of
    /// owner: the wait of a poll, the time until a new owner is assigned and its first poll add up
    /// to 5.5 s. Longer leases delay the tasks of a worker that is cut off.
    pub lease: Duration,
    /// Longest lease that the platform grants; an order that a later life of its worker executes may
    /// get it, as the lease end that it asks for is one on the clock of the former life.
    pub longest_lease: Duration,
    /// Fraction by which a worker's clock may run slower than the owner's; bounded by the platform.
    pub clock_drift: f64,
    /// How long after its last confirmation of ownership an owner continues to renew leases and to
    /// start tasks.
    pub ownership_validity: Duration,
    /// Longest time from a confirmation of ownership to the end of a lease that is granted under it.
    /// The next owner waits this long for a worker that it does not reach: with the time to notice
    /// that an owner is lost, a poll of the worker and a start, it has to stay below the 10 s after
    /// which the platform counts a task that does not run as lost. It bounds how long an outage of
    /// the store tasks survive, and has to exceed `lease` by the age of a confirmation, up to 2 s.
    pub lease_horizon: Duration,
    /// Age of the last read of the configuration above which no task is started: the platform's limit
    /// until a change of it or an evacuation is in force, minus the time of a start.
    pub max_config_age: Duration,
    /// The same for the list of workers: the limit until a drain is in force.
    pub max_worker_age: Duration,
    /// The same for the submissions: the limit until a cancellation is in force. Nor is a job reported
    /// as unknown beyond it.
    pub max_submission_age: Duration,
    /// Time since the last answer of a worker within which run ends are acknowledged to it. A worker
    /// that starts again under its id takes longer than this until its first run ends.
    pub max_acknowledgement_age: Duration,
    /// Longest time that a worker holds a poll open until a run ends; the platform's limit.
    pub poll_wait: Duration,
    /// Shortest time from a worker's answer to the next poll. Runs that end within it are reported
    /// by one poll.
    pub poll_gap: Duration,
    /// First delay after an unanswered poll; doubled up to `poll_retry_max`.
    pub poll_retry: Duration,
    /// Longest delay after an unanswered poll.
    pub poll_retry_max: Duration,
    /// Shortest interval between appends of images. Changes within it share one append.
    pub store_interval: Duration,
    /// Maximum size of the stored state of a job: the largest record of the store, without its key.
    pub max_image_bytes: usize,
    /// Shortest interval between placement passes over the waiting tasks. Changes within it share
    /// one pass: under load a pass costs as much as handling hundreds of workers' answers.
    pub placement_interval: Duration,
    /// Maximum number of starts per shard that are not answered yet. An owner that lacks processor
    /// time handles them in the order in which they were placed; the tasks beyond wait in the
    /// order of their urgency and reserve no room. Usually a start takes 50 ms with its append.
    pub max_unanswered_starts: usize,
    /// Time without starts on a worker that refused one for lack of capacity.
    pub capacity_backoff: Duration,
    /// How long a worker gets no start as large as one that it refused for lack of capacity, unless one
    /// of its runs ends or its listed capacity changes: an unexplained refusal means that it has less
    /// room than its entry says.
    pub room_refusal_ttl: Duration,
    /// Time without starts on a worker that reported itself unhealthy; doubled with each report.
    pub unhealthy_backoff: Duration,
    /// Longest time without starts on an unhealthy worker.
    pub unhealthy_backoff_max: Duration,
    /// Unanswered starts of a run after which it is stopped instead.
    pub max_start_attempts: u32,
    /// How long a worker may take to execute a start that went unanswered: the longest delay that the
    /// platform's operators report.
    pub late_order_time: Duration,
    /// Longest time that a worker takes to stop a run; the platform's limit.
    pub stop_time: Duration,
    /// Delay between attempts to stop a run.
    pub stop_retry: Duration,
    /// How long the state of a job stays readable after its end, and how long a cancellation counts
    /// whose submission is not stored yet.
    pub retention: Duration,
    /// How long a shard remembers a job that it has forwarded to another one. A repetition within this
    /// time is recognized without a question to that shard; it has to be shorter than `retention`.
    pub forward_retention: Duration,
    /// How long before its due time by this node's wall clock an occurrence starts; negative clock
    /// errors of other nodes are within the platform's limit.
    pub due_margin: Duration,
    /// Time until a change of pace has taken effect and is measurable.
    pub pace_settle: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            longest_lease: Duration::from_secs(10),
            clock_drift: 0.02,
            ownership_validity: Duration::from_secs(6),
            lease_horizon: Duration::from_secs(8),
            max_config_age: Duration::from_millis(1700),
            max_worker_age: Duration::from_millis(1700),
            max_submission_age: Duration::from_millis(2700),
            max_acknowledgement_age: Duration::from_secs(2),
            poll_wait: Duration::from_secs(2),
            poll_gap: Duration::from_millis(140),
            poll_retry: Duration::from_millis(150),
            poll_retry_max: Duration::from_secs(1),
            store_interval: Duration::from_millis(35),
            max_image_bytes: 255 * 1024,
            placement_interval: Duration::from_millis(20),
            max_unanswered_starts: 128,
            capacity_backoff: Duration::from_millis(200),
            room_refusal_ttl: Duration::from_secs(1),
            unhealthy_backoff: Duration::from_millis(500),
            unhealthy_backoff_max: Duration::from_secs(4),
            max_start_attempts: 3,
            late_order_time: Duration::from_secs(12),
            stop_time: Duration::from_secs(1),
            stop_retry: Duration::from_millis(250),
            retention: Duration::from_secs(150),
            forward_retention: Duration::from_secs(75),
            due_margin: Duration::from_millis(50),
            pace_settle: Duration::from_millis(1000),
        }
    }
}
