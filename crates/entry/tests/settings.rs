//! Findings in settings files, and consistency of the settings and events pages with the code.

use pw_base::prelude::*;
use pw_entry::prelude::*;
use pw_entry::settings_check::SETTING_RULES;
use strum::{EnumMessage, IntoEnumIterator};

const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Returns the cells of each table row, without the header row.
fn rows(page: &'static str) -> Vec<Vec<&'static str>> {
    let lines = page.lines().filter(|line| line.starts_with("| "));
    let cells = |line: &'static str| line.trim_matches('|').split('|').map(str::trim).collect();
    lines.map(cells).skip(1).collect()
}

#[test]
fn all_findings_are_reported_with_their_positions() {
    let text = "entry = \"\"\nzone = 7\nunknown = 1\nmax_payload = 0\nidle_timeout = \"soon\"\n";
    let findings = check_settings("entry.toml", text).expect_err("findings");
    let found: Vec<_> = findings
        .iter()
        .map(|finding| (finding.place.line, finding.place.column, &*finding.code))
        .collect();
    let expected = [
        (1, 1, "S003"),
        (2, 1, "S002"),
        (3, 1, "S002"),
        (4, 1, "S003"),
        (5, 1, "S002"),
    ];
    assert_eq!(found, expected, "{findings:?}");
    let broken = check_settings("entry.toml", "entry = \nzone = [").expect_err("findings");
    assert!(broken.iter().any(|finding| finding.code == "S001"));
}

#[test]
fn defaults_are_accepted() {
    let text = toml::to_string(&EntrySettings::default()).expect("settings");
    assert_eq!(check_settings("", &text), Ok(EntrySettings::default()));
    assert_eq!(check_settings("", ""), Ok(EntrySettings::default()));
}

/// Returns each key with its default; keys in a table are prefixed with its name and a dot.
fn flat_defaults() -> Vec<(String, String)> {
    let defaults = toml::Table::try_from(EntrySettings::default()).expect("settings");
    let lines = defaults.into_iter().flat_map(|(key, value)| match value {
        toml::Value::Table(table) => table
            .into_iter()
            .map(|(inner, value)| (format!("{key}.{inner}"), value.to_string()))
            .collect(),
        value => vec![(key, value.to_string())],
    });
    lines
        .chain([("machines".to_owned(), String::new())])
        .collect()
}

#[test]
fn settings_page_matches_the_code() {
    let defaults = flat_defaults();
    let rows = rows(SETTINGS_PAGE);
    for (key, value) in &defaults {
        let cells = rows.iter().find(|cells| cells[0] == format!("`{key}`"));
        let cells = cells.unwrap_or_else(|| panic!("{key} is missing"));
        assert_eq!(cells[2].replace('`', ""), *value, "default of {key}");
        let rule = SETTING_RULES.iter().find(|rule| rule.key == key);
        assert_eq!(
            cells[3],
            rule.map_or("", |rule| rule.bound),
            "bound of {key}"
        );
    }
    assert_eq!(
        rows.len(),
        defaults.len(),
        "the page lists a key that does not exist"
    );
}

#[test]
fn events_page_matches_the_code() {
    let expected = EventCode::iter().map(|code| {
        let message = code.get_message().expect("message").to_owned();
        vec![
            code.number().to_string(),
            format!("`{}`", code.as_ref()),
            message,
        ]
    });
    let rows: Vec<Vec<&str>> = rows(EVENTS_PAGE);
    assert_eq!(rows, expected.collect::<Vec<_>>());
}

#[test]
fn planner_bounds_are_checked() {
    let text = "[planner]\ntick = \"0s\"\nmax_steps = 0\n";
    let findings = check_settings("entry.toml", text).expect_err("findings");
    let messages: Vec<_> = findings.iter().map(|finding| &*finding.message).collect();
    let expected = [
        "planner.max_steps is outside 1 to 4096",
        "planner.tick is outside 10ms to 1h",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn example_settings_are_valid() {
    let text = include_str!("../../../examples/settings/entry.toml");
    let settings = check_settings("entry.toml", text).expect("valid settings");
    assert_eq!(&*settings.fleet, "telar-norte");
}
