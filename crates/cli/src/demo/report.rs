//! Report of the demonstration.

use serde::Serialize;

/// Result of the demonstration.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// Checks of all scenarios, in the order in which they ran.
    pub checks: Vec<GuaranteeCheck>,
}

/// Check of a guarantee in a scenario.
#[derive(Debug, Clone, Serialize)]
pub struct GuaranteeCheck {
    /// Name of the scenario; empty until the scenario has ended.
    #[serde(rename = "scene")]
    pub scenario: &'static str,
    /// The guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Whether the guarantee held.
    #[serde(rename = "held")]
    pub holds: bool,
    /// Observations with their figures.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl DemoReport {
    /// Returns whether there is at least one check and every guarantee held.
    pub fn all_hold(&self) -> bool {
        !self.checks.is_empty() && self.checks.iter().all(|check| check.holds)
    }
}

impl GuaranteeCheck {
    /// Creates a check that names no scenario yet.
    pub fn new(guarantee: &'static str, holds: bool, observed: String) -> Self {
        Self {
            scenario: "",
            guarantee,
            holds,
            observed,
        }
    }

    /// Returns the check as a row of a table.
    pub fn row(&self) -> Vec<String> {
        let holds = if self.holds { "yes" } else { "NO" };
        vec![
            self.scenario.to_owned(),
            self.guarantee.to_owned(),
            holds.to_owned(),
            self.observed.clone(),
        ]
    }
}
