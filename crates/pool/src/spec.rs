//! Pools and queues as operators declare them.

use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Declared pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub id: PoolId,
    /// Workers that the pool starts with.
    pub workers: Vec<WorkerId>,
    /// Availability budget: how many of its workers may be unavailable at once.
    pub max_unavailable: u32,
    /// Whether other pools borrow workers from it.
    #[serde(default)]
    pub spare: bool,
    /// Fewest workers that lending leaves in a spare pool.
    #[serde(default)]
    pub min_workers: u32,
}

/// Declared queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Name of the queue.
    pub id: QueueId,
    /// Pool that serves the queue.
    pub pool: PoolId,
    /// How urgent its tasks are.
    #[serde(default)]
    pub kind: QueueKind,
    /// Whether tasks need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a task may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest time that a task may run.
    #[serde(with = "humantime_serde")]
    pub run_timeout: Duration,
    /// Longest time from acceptance to the answer.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// How urgent the tasks of a queue are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum QueueKind {
    /// Its tasks start as soon as their account's share allows.
    #[default]
    Interactive,
    /// Its tasks go after interactive ones until their slack is used; their callers wait as well.
    Deferred,
}
