//! Entries of the platform's instance list.

use std::net::SocketAddr;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Entry of the platform's instance list for one backend server instance; may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Worker on which the backend server runs.
    pub worker: WorkerId,
    /// Address at which it accepts tasks.
    pub address: SocketAddr,
    /// Whether it accepts new tasks.
    pub state: InstanceState,
}

/// Whether an instance accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// It accepts new tasks.
    Live,
    /// It is shutting down and must not get new tasks.
    Leaving,
}
