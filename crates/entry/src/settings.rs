//! Settings of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_plan::prelude::*;
use serde::{Deserialize, Serialize};

use crate::shutdown::ShutdownSettings;

/// Settings of an entry instance, written in TOML.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Name of the entry instance.
    pub entry: EntryId,
    /// Availability zone that the entry instance runs in.
    pub zone: ZoneId,
    /// Format of the log on standard error.
    pub log_format: LogFormat,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for health checks and metrics.
    pub admin: SocketAddr,
    /// Listen address for other entry instances.
    pub peers: SocketAddr,
    /// Name of the fleet; messages from entry instances of another fleet are rejected.
    pub fleet: FleetId,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// Address of the platform's machine control; without it this instance runs no planner.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machines: Option<SocketAddr>,
    /// Time between reads of the instance list.
    #[serde(with = "humantime_serde")]
    pub instance_poll: Duration,
    /// Capacity of each ring in messages.
    pub ring_capacity: usize,
    /// Maximum size of a payload in bytes.
    pub max_payload: usize,
    /// Maximum total size of payloads being received or processed in bytes.
    pub max_payload_total: usize,
    /// Maximum number of open caller connections.
    pub max_connections: usize,
    /// Maximum number of open caller connections from one address.
    pub max_connections_per_address: usize,
    /// Timeout for receiving the head of a request.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Timeout for receiving the payload of a request.
    #[serde(with = "humantime_serde")]
    pub payload_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(with = "humantime_serde")]
    pub idle_timeout: Duration,
    /// Timeout for sending a response.
    #[serde(with = "humantime_serde")]
    pub send_timeout: Duration,
    /// Maximum size of a backend server's answer in bytes.
    pub max_answer: usize,
    /// Maximum number of requests in flight to one worker.
    pub worker_connections: usize,
    /// Maximum number of idle connections kept open to one worker.
    pub worker_idle_connections: usize,
    /// Retention time of the answer to a request with an idempotency key.
    #[serde(with = "humantime_serde")]
    pub idempotency_keep: Duration,
    /// Maximum number of retained requests with an idempotency key.
    pub idempotency_requests: usize,
    /// Maximum total size of retained answers to requests with an idempotency key in bytes.
    pub idempotency_bytes: usize,
    /// How long the load balancer may keep sending requests to an instance that is not ready.
    #[serde(with = "humantime_serde")]
    pub balancer_lag: Duration,
    /// Maximum time from a stop signal to the end of the process.
    #[serde(with = "humantime_serde")]
    pub shutdown_timeout: Duration,
    /// Settings of the planner; its name and seed are replaced by those of this instance.
    pub planner: PlanSettings,
}

/// Format of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            entry: EntryId::from("entry"),
            zone: ZoneId::from(""),
            log_format: LogFormat::default(),
            callers: loopback(0),
            admin: loopback(0),
            peers: loopback(0),
            fleet: FleetId::from(""),
            log: loopback(7000),
            instances: loopback(7001),
            machines: None,
            instance_poll: Duration::from_secs(2),
            ring_capacity: 1024,
            max_payload: 1024 * 1024,
            planner: PlanSettings::default(),
            max_payload_total: 32 * 1024 * 1024,
            max_connections: 1024,
            max_connections_per_address: 512,
            head_timeout: Duration::from_secs(10),
            payload_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            send_timeout: Duration::from_secs(10),
            max_answer: 4 * 1024 * 1024,
            worker_connections: 12,
            worker_idle_connections: 4,
            idempotency_keep: Duration::from_secs(600),
            idempotency_requests: 10_000,
            idempotency_bytes: 8 * 1024 * 1024,
            balancer_lag: Duration::from_secs(3),
            shutdown_timeout: Duration::from_secs(60),
        }
    }
}

impl EntrySettings {
    /// Returns the limits of the HTTP server for callers.
    pub fn server_bounds(&self) -> ServerBounds {
        ServerBounds {
            max_connections: self.max_connections,
            max_per_address: self.max_connections_per_address,
            head_timeout: self.head_timeout,
            max_body: self.max_payload,
            max_body_total: self.max_payload_total,
            body_timeout: self.payload_timeout,
            idle_timeout: self.idle_timeout,
            send_timeout: self.send_timeout,
        }
    }

    /// Returns the limits of the connections to backend servers.
    pub fn pool_bounds(&self) -> PoolBounds {
        PoolBounds {
            max_busy: self.worker_connections,
            max_idle: self.worker_idle_connections,
            max_body: self.max_answer,
            ..PoolBounds::default()
        }
    }

    /// Returns the retention settings of requests with an idempotency key.
    pub fn idempotency(&self) -> IdempotencySettings {
        IdempotencySettings {
            retention: self.idempotency_keep,
            max_requests: self.idempotency_requests,
            max_answer_bytes: self.idempotency_bytes,
        }
    }

    /// Returns the time limits of the shutdown.
    pub fn shutdown(&self) -> ShutdownSettings {
        ShutdownSettings {
            balancer_lag: self.balancer_lag,
            timeout: self.shutdown_timeout,
        }
    }
}
