//! Settings of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use pw_base::prelude::*;
use pw_plan::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of an entry instance, written in TOML.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Name of the entry instance.
    pub entry: EntryId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for health checks and metrics.
    pub admin: SocketAddr,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// Address of the platform's control of machines; without it this instance plans nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machines: Option<SocketAddr>,
    /// Time between two reads of the instance list.
    #[serde(with = "humantime_serde")]
    pub instance_poll: Duration,
    /// Messages that each ring holds.
    pub ring_capacity: usize,
    /// Largest payload in bytes.
    pub max_payload: usize,
    /// Settings of the planner; its name and seed are this instance's own.
    pub planner: PlanSettings,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            entry: EntryId::from("entry"),
            zone: ZoneId::from(""),
            callers: loopback(0),
            admin: loopback(0),
            log: loopback(7000),
            instances: loopback(7001),
            machines: None,
            instance_poll: Duration::from_millis(500),
            ring_capacity: 1024,
            max_payload: 1024 * 1024,
            planner: PlanSettings::default(),
        }
    }
}
