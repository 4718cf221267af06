//! What the demonstration saw.

use serde::Serialize;

/// Result of the demonstration.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// One check for each promise that was put to the test.
    pub checks: Vec<PromiseCheck>,
}

/// A promise and what was seen of it.
#[derive(Debug, Clone, Serialize)]
pub struct PromiseCheck {
    /// What callers and operators did; empty until the scene has ended.
    pub scene: &'static str,
    /// The promise.
    pub promise: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen, with figures.
    pub seen: String,
}

impl DemoReport {
    /// Returns whether every promise held and at least one was put to the test.
    pub fn all_held(&self) -> bool {
        !self.checks.is_empty() && self.checks.iter().all(|check| check.held)
    }
}

impl PromiseCheck {
    /// Creates a check.
    pub fn new(promise: &'static str, held: bool, seen: String) -> Self {
        Self {
            scene: "",
            promise,
            held,
            seen,
        }
    }

    /// Returns the check as a row of a table.
    pub fn row(&self) -> Vec<String> {
        let held = if self.held { "yes" } else { "NO" };
        vec![
            self.scene.to_owned(),
            self.promise.to_owned(),
            held.to_owned(),
            self.seen.clone(),
        ]
    }
}
