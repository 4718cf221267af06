//! Prints the results of a scenario.

use serde_json::{Map, Value};

/// Figures of one variant of a scenario.
#[derive(Debug)]
pub struct ReportRow {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Description of the variant.
    pub variant: String,
    /// Figures by name; the name ends with the unit, if there is one.
    pub figures: Vec<(&'static str, f64)>,
}

/// Prints a row as text and as a line of JSON.
pub fn print_row(row: &ReportRow) {
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
