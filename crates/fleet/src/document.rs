//! A parsed fleet file with the source spans of its elements and fields.

use std::collections::HashSet;
use std::ops::Range;

use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue, Error, ValueDeserializer};

use crate::check::FindingCode;

/// Parsed tables of a fleet file, and the findings so far.
pub(crate) struct FleetDocument<'a> {
    lines: LineIndex<'a>,
    table: DeTable<'a>,
    findings: Vec<FileFinding>,
    malformed_ids: HashSet<String>,
}

/// One element of a section with the spans of its fields.
#[derive(Debug, Clone)]
pub(crate) struct SectionItem<T> {
    pub(crate) spec: T,
    pub(crate) spans: ItemSpans,
}

/// Byte ranges of an element and of the values of its fields.
#[derive(Debug, Clone)]
pub(crate) struct ItemSpans {
    whole: Range<usize>,
    fields: IndexMap<String, Vec<Range<usize>>>,
}

impl ItemSpans {
    /// Returns the offset of a field's value, or of the whole element if the field is absent.
    pub(crate) fn field(&self, name: &str) -> usize {
        self.element(name, 0)
    }

    /// Returns the offset of an element of an array field, or of the whole element if it is absent.
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
            malformed_ids: HashSet::new(),
        };
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            document.add_finding(offset, FindingCode::Syntax, error.message().to_owned(), "");
        }
        document
    }

    /// Adds a finding at a byte offset.
    pub(crate) fn add_finding(
        &mut self,
        offset: usize,
        code: FindingCode,
        message: String,
        hint: &str,
    ) {
        self.findings.push(FileFinding {
            place: self.lines.place(offset),
            code: code.as_ref().to_owned(),
            message,
            hint: hint.to_owned(),
        });
    }

    /// Returns the findings without duplicates, ordered by place.
    pub(crate) fn into_findings(mut self) -> Vec<FileFinding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }

    /// Removes and returns the top-level string field `name`, with its offset.
    pub(crate) fn take_string(&mut self, name: &str) -> Option<(String, usize)> {
        let Some(value) = self.table.remove(name) else {
            let message = format!("field \"{name}\" is missing");
            self.add_finding(
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
                self.add_finding(offset, FindingCode::Field, message, "");
                None
            }
        }
    }

    /// Removes and returns the elements of the section `name`; malformed ones become findings.
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
            self.add_finding(offset, FindingCode::Field, message, &hint);
            return Vec::new();
        };
        let mut elements = Vec::new();
        for item in items {
            let id = id_of(&item);
            match self.read_item(name, item, required) {
                Some(item) => elements.push(item),
                None => self.malformed_ids.extend(id),
            }
        }
        elements
    }

    /// Returns whether the text has syntax errors, which make the recovered tables unreliable.
    pub(crate) fn has_syntax_errors(&self) -> bool {
        !self.findings.is_empty()
    }

    /// Returns whether an element with this name is declared but malformed.
    pub(crate) fn is_malformed_element(&self, id: &str) -> bool {
        self.malformed_ids.contains(id)
    }

    /// Reports every remaining top-level field as unknown.
    pub(crate) fn report_unknown_fields(&mut self, known: &[&str]) {
        let rest: Vec<(usize, String)> = self
            .table
            .iter()
            .map(|(key, _)| (key.span().start, key.get_ref().to_string()))
            .collect();
        for (offset, key) in rest {
            let message = format!("unknown field \"{key}\"");
            let hint = format!("expected one of {}", known.join(", "));
            self.add_finding(offset, FindingCode::Field, message, &hint);
        }
    }

    fn read_item<T: DeserializeOwned>(
        &mut self,
        section: &str,
        mut item: Spanned<DeValue<'a>>,
        required: &[&str],
    ) -> Option<SectionItem<T>> {
        let spans = spans_of(&item);
        let mut absent = self.report_missing(section, &item, required);
        loop {
            match T::deserialize(ValueDeserializer::from(item.clone())) {
                Ok(spec) => return Some(SectionItem { spec, spans }),
                Err(error) => {
                    let span = error.span().unwrap_or_else(|| item.span());
                    if !is_known_absence(&error, &absent, span.start) {
                        self.report_malformed(section, &error, span.start);
                    }
                    absent.insert(innermost_field(&item, &span)?);
                    item = prune(item, &span)?;
                }
            }
        }
    }

    fn report_missing(
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
            self.add_finding(start, FindingCode::Missing, message, "");
        }
        let absent = |name: &str| AbsentField {
            name: name.to_owned(),
            table: start,
        };
        missing.into_iter().map(absent).collect()
    }

    fn report_malformed(&mut self, section: &str, error: &Error, offset: usize) {
        let message = format!("in [[{section}]]: {}", error.message());
        self.add_finding(offset, FindingCode::Field, message, "");
    }
}

/// Field known to be absent, with the offset of the table that lacks it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AbsentField {
    name: String,
    table: usize,
}

/// Returns whether the error only reports a field that is already known to be absent.
fn is_known_absence(error: &Error, absent: &HashSet<AbsentField>, table: usize) -> bool {
    let mut known = absent.iter().filter(|field| field.table == table);
    known.any(|field| error.message() == format!("missing field `{}`", field.name))
}

/// Returns the innermost field whose name or value is at `span`.
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

/// Removes the innermost field or element at `span`; `None` if nothing of the value is left.
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

/// Returns the field of the table whose name or value is at `span`.
fn field_at(table: &DeTable<'_>, span: &Range<usize>) -> Option<String> {
    table.iter().find_map(|(key, value)| {
        let matches = key.span() == *span || encloses(&value.span(), span);
        matches.then(|| key.get_ref().to_string())
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

fn spans_of(item: &Spanned<DeValue<'_>>) -> ItemSpans {
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
    ItemSpans {
        whole: item.span(),
        fields,
    }
}
