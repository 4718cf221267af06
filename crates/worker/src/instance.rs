//! An entry of the platform's instance list.

use std::net::SocketAddr;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// What the platform's instance list says of one backend server instance; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Worker that the backend server runs on.
    pub worker: WorkerId,
    /// Address that it accepts tasks at.
    pub address: SocketAddr,
    /// Whether it may get new tasks.
    pub state: InstanceState,
}

/// Whether an instance may get new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// It accepts new tasks.
    Live,
    /// It is about to stop and gets no new tasks.
    Leaving,
}
