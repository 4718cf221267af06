//! An availability zone as operators declare it.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

/// Declared availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Name of the availability zone.
    pub id: ZoneId,
    /// Region that the availability zone lies in.
    #[serde(default)]
    pub region: String,
    /// Whether tasks may start there.
    #[serde(default)]
    pub status: ZoneStatus,
}

/// Whether operators let tasks start in an availability zone.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, AsRefStr, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ZoneStatus {
    /// Tasks may start.
    #[default]
    InService,
    /// No task may start.
    OutOfService,
}
