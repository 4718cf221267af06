//! Prints the rows of a scenario.

use serde_json::{Map, Value};

/// One row: a variant of a scenario with its figures.
#[derive(Debug)]
pub struct ReportRow {
    /// Scenario that was run.
    pub scenario: &'static str,
    /// What was varied.
    pub variant: String,
    /// Figures with their names and units.
    pub figures: Vec<(&'static str, f64)>,
}

/// Prints a row for people and as a line of JSON.
pub fn print(row: &ReportRow) {
    let figures: Vec<String> = row
        .figures
        .iter()
        .map(|(name, value)| format!("{name} {value:.2}"))
        .collect();
    println!("{:<34} {}", row.variant, figures.join(", "));
    let mut line = Map::new();
    line.insert("scenario".to_owned(), row.scenario.into());
    line.insert("variant".to_owned(), row.variant.as_str().into());
    for (name, value) in &row.figures {
        line.insert((*name).to_owned(), Value::from(*value));
    }
    println!("{}", Value::Object(line));
}
