//! A parsed fleet file that remembers where everything stands.

use std::collections::HashSet;
use std::ops::Range;

use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue, Error, ValueDeserializer};

use crate::check::FindingCode;

/// Text of a fleet file, its parsed tables, and the findings so far.
pub(crate) struct FleetDocument<'a> {
    lines: LineIndex<'a>,
    table: DeTable<'a>,
    findings: Vec<FileFinding>,
    unread: HashSet<String>,
}

/// One element of a section with the places of its fields.
#[derive(Debug, Clone)]
pub(crate) struct SectionItem<T> {
    pub(crate) spec: T,
    pub(crate) places: ItemPlaces,
}

/// Byte ranges of an element and of its fields' values.
#[derive(Debug, Clone)]
pub(crate) struct ItemPlaces {
    whole: Range<usize>,
    fields: IndexMap<String, Vec<Range<usize>>>,
}

impl ItemPlaces {
    /// Returns the place of a field's value, or of the element where the field is absent.
    pub(crate) fn field(&self, name: &str) -> usize {
        self.element(name, 0)
    }

    /// Returns the place of an array's element.
    pub(crate) fn element(&self, name: &str, index: usize) -> usize {
        let ranges = self.fields.get(name);
        ranges
            .and_then(|ranges| ranges.get(index))
            .unwrap_or(&self.whole)
            .start
    }
}

impl<'a> FleetDocument<'a> {
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Self {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            lines: LineIndex::new(file, text),
            table: table.into_inner(),
            findings: Vec::new(),
            unread: HashSet::new(),
        };
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            document.find(offset, FindingCode::Syntax, error.message().to_owned(), "");
        }
        document
    }

    /// Adds a finding at a byte offset.
    pub(crate) fn find(&mut self, offset: usize, code: FindingCode, message: String, hint: &str) {
        self.findings.push(FileFinding {
            place: self.lines.place(offset),
            code: code.as_ref().to_owned(),
            message,
            hint: hint.to_owned(),
        });
    }

    /// Returns the findings in the order of their places.
    pub(crate) fn into_findings(mut self) -> Vec<FileFinding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }

    /// Takes the top-level text field `name`.
    pub(crate) fn take_text(&mut self, name: &str) -> Option<(String, usize)> {
        let Some(value) = self.table.remove(name) else {
            let message = format!("field \"{name}\" is missing");
            self.find(
                0,
                FindingCode::Missing,
                message,
                "name the fleet at the top of the file",
            );
            return None;
        };
        let offset = value.span().start;
        match value.get_ref().as_str() {
            Some(text) => Some((text.to_owned(), offset)),
            None => {
                let message = format!("field \"{name}\" must be a string");
                self.find(offset, FindingCode::Field, message, "");
                None
            }
        }
    }

    /// Takes the elements of the section `name`; malformed ones become findings.
    pub(crate) fn take_section<T: DeserializeOwned>(
        &mut self,
        name: &str,
        required: &[&str],
    ) -> Vec<SectionItem<T>> {
        let Some(section) = self.table.remove(name) else {
            return Vec::new();
        };
        let offset = section.span().start;
        let DeValue::Array(items) = section.into_inner() else {
            let message = format!("\"{name}\" must be an array of tables");
            let hint = format!("write [[{name}]]");
            self.find(offset, FindingCode::Field, message, &hint);
            return Vec::new();
        };
        let mut read = Vec::new();
        for item in items {
            let id = id_of(&item);
            match self.read_item(name, item, required) {
                Some(item) => read.push(item),
                None => self.unread.extend(id),
            }
        }
        read
    }

    /// Returns whether the text could not be parsed; what was recovered from it is unreliable.
    pub(crate) fn is_malformed(&self) -> bool {
        !self.findings.is_empty()
    }

    /// Returns whether an element of this name was declared but could not be read.
    pub(crate) fn is_unread(&self, id: &str) -> bool {
        self.unread.contains(id)
    }

    /// Reports every top-level field that no section has taken.
    pub(crate) fn reject_rest(&mut self, known: &[&str]) {
        let rest: Vec<(usize, String)> = self
            .table
            .iter()
            .map(|(key, _)| (key.span().start, key.get_ref().to_string()))
            .collect();
        for (offset, key) in rest {
            let message = format!("unknown field \"{key}\"");
            let hint = format!("expected one of {}", known.join(", "));
            self.find(offset, FindingCode::Field, message, &hint);
        }
    }

    fn read_item<T: DeserializeOwned>(
        &mut self,
        section: &str,
        mut item: Spanned<DeValue<'a>>,
        required: &[&str],
    ) -> Option<SectionItem<T>> {
        let places = places_of(&item);
        let mut absent = self.find_missing(section, &item, required);
        loop {
            match T::deserialize(ValueDeserializer::from(item.clone())) {
                Ok(spec) => return Some(SectionItem { spec, places }),
                Err(error) => {
                    let span = error.span().unwrap_or_else(|| item.span());
                    if !is_repeated(&error, &absent, span.start) {
                        self.find_malformed(section, &error, span.start);
                    }
                    absent.insert(innermost_field(&item, &span)?);
                    item = prune(item, &span)?;
                }
            }
        }
    }

    fn find_missing(
        &mut self,
        section: &str,
        item: &Spanned<DeValue<'a>>,
        required: &[&str],
    ) -> HashSet<AbsentField> {
        let DeValue::Table(table) = item.get_ref() else {
            return HashSet::new();
        };
        let start = item.span().start;
        let missing: Vec<&str> = required
            .iter()
            .copied()
            .filter(|name| !table.contains_key(*name))
            .collect();
        for name in &missing {
            let message = format!("field \"{name}\" is missing in [[{section}]]");
            self.find(start, FindingCode::Missing, message, "");
        }
        let absent = |name: &str| AbsentField {
            name: name.to_owned(),
            table: start,
        };
        missing.into_iter().map(absent).collect()
    }

    fn find_malformed(&mut self, section: &str, error: &Error, offset: usize) {
        let message = format!("in [[{section}]]: {}", error.message());
        self.find(offset, FindingCode::Field, message, "");
    }
}

/// A field whose absence is known, with the start of the table that lacks it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AbsentField {
    name: String,
    table: usize,
}

/// Returns whether the error only says that a field is absent which was reported before.
fn is_repeated(error: &Error, absent: &HashSet<AbsentField>, table: usize) -> bool {
    let mut known = absent.iter().filter(|field| field.table == table);
    known.any(|field| error.message() == format!("missing field `{}`", field.name))
}

/// Returns the innermost field whose name or value stands at `span`.
fn innermost_field(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> Option<AbsentField> {
    match value.get_ref() {
        DeValue::Table(table) => {
            let name = field_at(table, span)?;
            let inner = innermost_field(table.get(name.as_str())?, span);
            Some(inner.unwrap_or(AbsentField {
                name,
                table: value.span().start,
            }))
        }
        DeValue::Array(items) => {
            let item = items.iter().find(|item| encloses(&item.span(), span))?;
            innermost_field(item, span)
        }
        _ => None,
    }
}

/// Removes the innermost field or element at `span`; `None` where nothing of the value is left.
fn prune<'a>(value: Spanned<DeValue<'a>>, span: &Range<usize>) -> Option<Spanned<DeValue<'a>>> {
    let whole = value.span();
    if whole == *span {
        return None;
    }
    let kept = match value.into_inner() {
        DeValue::Table(table) => DeValue::Table(prune_table(table, span)),
        DeValue::Array(items) => DeValue::Array(prune_array(items, span)),
        _ => return None,
    };
    Some(Spanned::new(whole, kept))
}

fn prune_table<'a>(mut table: DeTable<'a>, span: &Range<usize>) -> DeTable<'a> {
    let Some(key) = field_at(&table, span) else {
        return table;
    };
    if let Some((name, value)) = table.remove_entry(key.as_str())
        && name.span() != *span
        && let Some(value) = prune(value, span)
    {
        table.insert(name, value);
    }
    table
}

fn prune_array<'a>(items: DeArray<'a>, span: &Range<usize>) -> DeArray<'a> {
    let mut kept = DeArray::new();
    for item in items {
        if !encloses(&item.span(), span) {
            kept.push(item);
        } else if let Some(item) = prune(item, span) {
            kept.push(item);
        }
    }
    kept
}

/// Returns the field of the table whose name or value stands at `span`.
fn field_at(table: &DeTable<'_>, span: &Range<usize>) -> Option<String> {
    table.iter().find_map(|(key, value)| {
        let hit = key.span() == *span || encloses(&value.span(), span);
        hit.then(|| key.get_ref().to_string())
    })
}

fn encloses(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}

fn id_of(item: &Spanned<DeValue<'_>>) -> Option<String> {
    item.get_ref()
        .get("id")?
        .get_ref()
        .as_str()
        .map(str::to_owned)
}

fn places_of(item: &Spanned<DeValue<'_>>) -> ItemPlaces {
    let mut fields = IndexMap::new();
    if let DeValue::Table(table) = item.get_ref() {
        for (key, value) in table.iter() {
            let ranges = match value.get_ref() {
                DeValue::Array(items) if !items.is_empty() => {
                    items.iter().map(Spanned::span).collect()
                }
                _ => vec![value.span()],
            };
            fields.insert(key.get_ref().to_string(), ranges);
        }
    }
    ItemPlaces {
        whole: item.span(),
        fields,
    }
}
