//! Settings of a node.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use pw_control::prelude::*;

use crate::timeout::AppendTimeout;

/// Settings of a [`JobNode`](crate::node::JobNode).
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the node in logs, and as the holder of machine orders.
    pub name: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for other nodes; part of the node's name in the group.
    pub peers: SocketAddr,
    /// Processor time of the node in hundredths of a core; nodes with more of it own more shards.
    pub weight: u32,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Number of shards in the fleet; the same on all nodes.
    pub shards: u32,
    /// Settings of the shard controllers.
    pub control: ControlSettings,
    /// Settings of the machine controller.
    pub machines: MachineSettings,
    /// Age of the last confirmation of the role above which the machine controller sends no orders.
    pub machine_role_timeout: Duration,
    /// Interval between renewals of the group membership.
    pub join_interval: Duration,
    /// Timeout of a join; short enough that a lost answer leaves time for another join.
    pub join_timeout: Duration,
    /// Time without a join after which the store removes the node from the group.
    pub member_ttl: Duration,
    /// Long-poll timeout of configuration reads. The configuration's age grows during a read.
    pub config_timeout: Duration,
    /// Age of the configuration above which no request is admitted or refused by it: the platform's
    /// limit until a change is in force everywhere, or until a revoked key is rejected.
    pub max_config_age: Duration,
    /// Shortest interval between reads of the worker list.
    pub worker_interval: Duration,
    /// Long-poll timeout of reads of the worker list. Its age grows during a read.
    pub worker_timeout: Duration,
    /// Long-poll timeout of reads of claims, each of which confirms the ownership of a shard. A
    /// confirmation is up to twice as old when the next one arrives, which shortens leases.
    pub confirm_timeout: Duration,
    /// Long-poll timeout of reads of allocations.
    pub follow_timeout: Duration,
    /// Long-poll timeout of reads of submissions. Their age grows during a read.
    pub submission_timeout: Duration,
    /// Maximum size of a record of the store, with its key.
    pub max_record_bytes: usize,
    /// Maximum size of the records of one append.
    pub max_append_bytes: usize,
    /// Delay after a failed call of the store.
    pub store_retry_delay: Duration,
    /// Shortest timeout of an append; the store usually answers within a few milliseconds.
    pub append_timeout_min: Duration,
    /// Longest timeout of an append; a slow store takes about half a second.
    pub append_timeout_max: Duration,
    /// Timeout for storing a submission, repeated appends included.
    pub submit_timeout: Duration,
    /// Delay after which a rejected caller may retry.
    pub retry_after: Duration,
    /// Time from the stop signal until new connections are refused; covers the failed readiness
    /// checks after which the load balancer removes the node.
    pub linger: Duration,
    /// Longest time from the stop signal to the end of the process.
    pub grace: Duration,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "node".to_owned(),
            callers: any,
            readiness: any,
            peers: any,
            weight: 100,
            metrics: any,
            shards: 24,
            control: ControlSettings::default(),
            machines: MachineSettings::default(),
            machine_role_timeout: Duration::from_millis(4500),
            join_interval: Duration::from_millis(350),
            join_timeout: Duration::from_millis(700),
            member_ttl: Duration::from_millis(1500),
            config_timeout: Duration::from_millis(500),
            max_config_age: Duration::from_millis(4300),
            worker_interval: Duration::from_millis(250),
            worker_timeout: Duration::from_millis(500),
            confirm_timeout: Duration::from_secs(1),
            follow_timeout: Duration::from_secs(2),
            submission_timeout: Duration::from_secs(1),
            max_record_bytes: 256 * 1024,
            max_append_bytes: 2 * 1024 * 1024,
            store_retry_delay: Duration::from_millis(200),
            append_timeout_min: Duration::from_millis(150),
            append_timeout_max: Duration::from_millis(1500),
            submit_timeout: Duration::from_millis(2000),
            retry_after: Duration::from_secs(1),
            linger: Duration::from_millis(2500),
            grace: Duration::from_millis(5500),
        }
    }
}

impl NodeSettings {
    /// Creates a timeout for appends without recorded answers.
    pub fn append_timeout(&self) -> AppendTimeout {
        AppendTimeout::new(self.append_timeout_min, self.append_timeout_max)
    }
}
