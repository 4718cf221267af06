//! Checks that `docs/FLEET.md` documents every field of a fleet file and every finding.

use pw_fleet::prelude::*;
use serde_json::Value;
use strum::{EnumMessage, IntoEnumIterator};

const PAGE: &str = include_str!("../../../docs/FLEET.md");
const SHIPPED_FILE: &str = include_str!("../../../examples/guild.toml");

#[test]
fn every_finding_is_documented() {
    for code in FindingCode::iter() {
        let message = code.get_message().expect("finding code has a message");
        let row = format!("| {} | {message} |", code.as_ref());
        assert!(PAGE.contains(&row), "docs/FLEET.md has no row {row:?}");
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| F0")).count();
    assert_eq!(rows, FindingCode::iter().count());
}

#[test]
fn every_field_is_documented_in_its_section() {
    let spec = check_fleet("guild.toml", SHIPPED_FILE).expect("shipped file is valid");
    let Value::Object(sections) = serde_json::to_value(spec).expect("fleet serializes to JSON")
    else {
        panic!("the fleet does not serialize to an object");
    };
    for (section, items) in sections.iter().filter(|(_, items)| items.is_array()) {
        let heading = format!("### `[[{section}]]`");
        let (_, text) = PAGE
            .split_once(&heading)
            .unwrap_or_else(|| panic!("docs/FLEET.md has no heading {heading}"));
        let text = text.split("###").next().unwrap_or(text);
        let fields = items[0].as_object().expect("element is an object");
        for field in fields.keys() {
            assert!(
                text.contains(&format!("| `{field}` |")),
                "section {section} does not document field {field}"
            );
        }
        let rows = text.lines().filter(|line| line.starts_with("| `")).count();
        assert_eq!(
            rows,
            fields.len(),
            "section {section} documents unknown fields"
        );
    }
}
