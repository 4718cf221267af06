//! The difference between two fleets, by element and field.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use strum::{AsRefStr, Display};

use crate::spec::FleetSpec;

/// All changes from one fleet to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetDiff {
    /// Changes by section; removed elements come first, the others in the later fleet's order.
    pub changes: Vec<FleetChange>,
}

/// Change to one declared element.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetChange {
    /// Section of the fleet file, such as `pools`.
    pub section: &'static str,
    /// Name of the element.
    pub id: String,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Changed fields; empty if the element was added or removed.
    pub fields: Vec<FieldChange>,
}

/// Kind of a change to a declared element.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the later fleet declares the element.
    Added,
    /// Only the earlier fleet declares the element.
    Removed,
    /// Both fleets declare the element, with different fields.
    Changed,
}

/// Change to one field.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Earlier value; null if it was absent.
    pub before: Value,
    /// Later value; null if it is absent.
    pub after: Value,
}

impl FleetDiff {
    /// Returns the changes that turn `before` into `after`.
    pub fn between(before: &FleetSpec, after: &FleetSpec) -> Self {
        let sections = [
            ("zones", by_id(&before.zones), by_id(&after.zones)),
            ("workers", by_id(&before.workers), by_id(&after.workers)),
            ("pools", by_id(&before.pools), by_id(&after.pools)),
            ("accounts", by_id(&before.accounts), by_id(&after.accounts)),
            ("queues", by_id(&before.queues), by_id(&after.queues)),
        ];
        let changes = sections
            .into_iter()
            .flat_map(|(section, before, after)| compare_section(section, &before, &after))
            .collect();
        Self { changes }
    }
}

type ItemFields = IndexMap<String, Value>;

fn by_id<T: Serialize>(items: &[T]) -> IndexMap<String, ItemFields> {
    items
        .iter()
        .filter_map(|item| match serde_json::to_value(item) {
            Ok(Value::Object(fields)) => Some(fields),
            _ => None,
        })
        .filter_map(|fields| {
            let id = fields.get("id")?.as_str()?.to_owned();
            Some((id, fields.into_iter().collect()))
        })
        .collect()
}

fn compare_section(
    section: &'static str,
    before: &IndexMap<String, ItemFields>,
    after: &IndexMap<String, ItemFields>,
) -> Vec<FleetChange> {
    let change = |id: &String, kind, fields| FleetChange {
        section,
        id: id.clone(),
        kind,
        fields,
    };
    let removed = before
        .keys()
        .filter(|id| !after.contains_key(*id))
        .map(|id| change(id, ChangeKind::Removed, Vec::new()));
    let others = after
        .iter()
        .filter_map(|(id, fields)| match before.get(id) {
            None => Some(change(id, ChangeKind::Added, Vec::new())),
            Some(earlier) if earlier != fields => Some(change(
                id,
                ChangeKind::Changed,
                compare_fields(earlier, fields),
            )),
            Some(_) => None,
        });
    removed.chain(others).collect()
}

fn compare_fields(before: &ItemFields, after: &ItemFields) -> Vec<FieldChange> {
    let value = |fields: &ItemFields, name: &str| fields.get(name).cloned().unwrap_or_default();
    let added = after.keys().filter(|name| !before.contains_key(*name));
    before
        .keys()
        .chain(added)
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            before: value(before, name),
            after: value(after, name),
        })
        .collect()
}
