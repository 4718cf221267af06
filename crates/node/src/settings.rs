//! Settings of a node.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use pw_control::prelude::*;

use crate::timeout::AppendTimeout;

/// Settings of a [`JobNode`](crate::node::JobNode).
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the node in logs.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness: SocketAddr,
    /// Where other nodes connect; also a part of the node's name in the group.
    pub peers: SocketAddr,
    /// Processor time of the node in hundredths of a core; nodes with more own more shards.
    pub weight: u32,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Number of shards of the fleet; all nodes have the same.
    pub shards: u32,
    /// Settings of the shards' controllers.
    pub control: ControlSettings,
    /// Settings of the keeper of machines.
    pub machines: MachineSettings,
    /// Age of the proof of the role from which a node stops to keep the machines.
    pub machine_role_timeout: Duration,
    /// Time between two joins of the group.
    pub join_interval: Duration,
    /// Longest wait for the answer to a join, so that a lost one leaves time for others.
    pub join_timeout: Duration,
    /// Silence after which the store takes the node for gone.
    pub member_ttl: Duration,
    /// Longest wait of a read of the configuration. Its age grows while it waits.
    pub config_timeout: Duration,
    /// Age of the configuration from which keys are no longer taken; the platform's bound for
    /// withdrawn keys less the time of a request.
    pub max_config_age: Duration,
    /// Shortest time between two reads of the workers' list.
    pub worker_interval: Duration,
    /// Longest wait of a read of submissions or claims.
    pub follow_timeout: Duration,
    /// Pause after a call of the store that failed.
    pub store_retry_delay: Duration,
    /// Shortest wait for the answer to an append; the store answers within a few milliseconds.
    pub append_timeout_min: Duration,
    /// Longest wait for the answer to an append. A slow store takes about half a second.
    pub append_timeout_max: Duration,
    /// Longest time for the store to take a submission.
    pub submit_timeout: Duration,
    /// When a caller that was turned away may come back.
    pub retry_after: Duration,
    /// Time from the stop signal until new connections are refused: the balancer's misses.
    pub linger: Duration,
    /// Time from the stop signal until the process ends in any case.
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
            config_timeout: Duration::from_secs(1),
            max_config_age: Duration::from_millis(4300),
            worker_interval: Duration::from_millis(250),
            follow_timeout: Duration::from_secs(2),
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
    /// Returns a timeout for answers to appends that knows nothing yet.
    pub fn append_timeout(&self) -> AppendTimeout {
        AppendTimeout::new(self.append_timeout_min, self.append_timeout_max)
    }
}
