//! Declared pools and queues.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Declaration of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub id: PoolId,
    /// Workers that the pool starts with; loans move them temporarily.
    pub workers: Vec<WorkerId>,
    /// Availability budget: maximum number of its workers that may be unavailable at once.
    pub max_unavailable: u32,
    /// Whether other pools may borrow workers from it.
    #[serde(default)]
    pub spare: bool,
    /// Minimum number of available workers that loans leave in a spare pool.
    #[serde(default)]
    pub min_workers: u32,
}

/// Declaration of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Name of the queue.
    pub id: QueueId,
    /// Pool that serves the queue.
    pub pool: PoolId,
    /// Scheduling class of its tasks.
    #[serde(default)]
    pub kind: QueueKind,
    /// Whether tasks are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether a task may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Maximum run time of a task.
    #[serde(with = "humantime_serde")]
    pub run_timeout: Duration,
    /// Maximum time from accepting a task to answering its caller.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// Scheduling class of a queue's tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum QueueKind {
    /// Tasks start as soon as their account's share allows.
    #[default]
    Interactive,
    /// Tasks yield to interactive ones until their slack is used; their callers also wait.
    Deferred,
}
