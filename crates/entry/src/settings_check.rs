//! Validation of a settings file that reports every finding, not only the first.

use std::time::Duration;

use pw_base::prelude::*;
use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, Deserializer};

use crate::settings::EntrySettings;

/// Code of a TOML syntax error.
const SYNTAX_CODE: &str = "S001";
/// Code of an unknown key or of a value that can't be parsed.
const VALUE_CODE: &str = "S002";
/// Code of a value out of bounds.
const BOUND_CODE: &str = "S003";

/// Bounds of one setting.
pub struct SettingRule {
    /// Key in the settings file.
    pub key: &'static str,
    /// Bounds as shown in `docs/SETTINGS.md`.
    pub bound: &'static str,
    /// Returns whether the settings are within the bounds.
    pub holds: fn(&EntrySettings) -> bool,
}

macro_rules! setting_rules {
    ($($key:ident $(. $inner:ident)?: $bound:literal, $holds:expr;)*) => {
        /// Rules of all settings that have bounds.
        pub const SETTING_RULES: &[SettingRule] = &[
            $(SettingRule {
                key: concat!(stringify!($key) $(, ".", stringify!($inner))?),
                bound: $bound,
                holds: |settings| ($holds)(&settings.$key $(.$inner)?),
            },)*
        ];
    };
}

setting_rules! {
    entry: "1 to 64 bytes", |name: &EntryId| (1..=64).contains(&name.len());
    instance_poll: "10ms to 1m", |time: &Duration| within(*time, 10, 60_000);
    ring_capacity: "1 to 65536", |count: &usize| (1..=65_536).contains(count);
    max_payload: "1 to 67108864", |bytes: &usize| (1..=64 << 20).contains(bytes);
    max_payload_total: "1 to 1073741824", |bytes: &usize| (1..=1 << 30).contains(bytes);
    max_connections: "1 to 65536", |count: &usize| (1..=65_536).contains(count);
    max_connections_per_address: "1 to 65536", |count: &usize| (1..=65_536).contains(count);
    head_timeout: "100ms to 10m", |time: &Duration| within(*time, 100, 600_000);
    payload_timeout: "100ms to 10m", |time: &Duration| within(*time, 100, 600_000);
    idle_timeout: "100ms to 1h", |time: &Duration| within(*time, 100, 3_600_000);
    send_timeout: "100ms to 10m", |time: &Duration| within(*time, 100, 600_000);
    max_answer: "1 to 67108864", |bytes: &usize| (1..=64 << 20).contains(bytes);
    worker_connections: "1 to 1024", |count: &usize| (1..=1_024).contains(count);
    worker_idle_connections: "0 to 1024", |count: &usize| *count <= 1_024;
    idempotency_keep: "0s to 1day", |time: &Duration| within(*time, 0, 86_400_000);
    idempotency_requests: "0 to 1000000", |count: &usize| *count <= 1_000_000;
    idempotency_bytes: "0 to 1073741824", |bytes: &usize| *bytes <= 1 << 30;
    balancer_lag: "0s to 10m", |time: &Duration| within(*time, 0, 600_000);
    shutdown_timeout: "1s to 1h", |time: &Duration| within(*time, 1_000, 3_600_000);
    planner.tick: "10ms to 1h", |time: &Duration| within(*time, 10, 3_600_000);
    planner.takeover_timeout: "1s to 1h", |time: &Duration| within(*time, 1_000, 3_600_000);
    planner.takeover_spread: "0s to 1h", |time: &Duration| within(*time, 0, 3_600_000);
    planner.heartbeat_interval: "100ms to 1h", |time: &Duration| within(*time, 100, 3_600_000);
    planner.reading_validity: "1s to 1h", |time: &Duration| within(*time, 1_000, 3_600_000);
    planner.step_timeout: "100ms to 1h", |time: &Duration| within(*time, 100, 3_600_000);
    planner.order_timeout: "100ms to 1h", |time: &Duration| within(*time, 100, 3_600_000);
    planner.max_steps: "1 to 4096", |count: &usize| (1..=4_096).contains(count);
    planner.max_maintenance_percent: "1 to 100", |percent: &usize| (1..=100).contains(percent);
    planner.admit_percent: "1 to 100", |percent: &usize| (1..=100).contains(percent);
    planner.admit_interval: "0s to 1h", |time: &Duration| within(*time, 0, 3_600_000);
}

/// Parses and validates the settings file `text`; findings refer to it as `file`.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by position.
pub fn check_settings(file: &str, text: &str) -> Result<EntrySettings, Vec<FileFinding>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut collector = FindingCollector {
        lines: LineIndex::new(file, text),
        findings: Vec::new(),
    };
    for error in &errors {
        let offset = error.span().map_or(0, |span| span.start);
        collector.add(offset, SYNTAX_CODE, error.message());
    }
    let mut valid = DeTable::new();
    let span = table.span();
    for (key, value) in table.into_inner() {
        let offset = key.span().start;
        let mut single = DeTable::new();
        single.insert(key.clone(), value.clone());
        match read_table(Spanned::new(span.clone(), single)) {
            Ok(settings) => {
                collector.check_bound(offset, key.get_ref(), &settings);
                valid.insert(key, value);
            }
            Err(error) => collector.add(offset, VALUE_CODE, error.message()),
        }
    }
    collector.finish(Spanned::new(span, valid))
}

struct FindingCollector<'a> {
    lines: LineIndex<'a>,
    findings: Vec<FileFinding>,
}

impl FindingCollector<'_> {
    fn add(&mut self, offset: usize, code: &'static str, message: &str) {
        self.findings.push(FileFinding {
            place: self.lines.place(offset),
            code: code.to_owned(),
            message: message.trim_end().to_owned(),
            hint: "see docs/SETTINGS.md".to_owned(),
        });
    }

    fn check_bound(&mut self, offset: usize, key: &str, settings: &EntrySettings) {
        let applies = |rule: &SettingRule| {
            let inner = rule.key.strip_prefix(key);
            inner.is_some_and(|inner| inner.is_empty() || inner.starts_with('.'))
        };
        let violated = |rule: &&SettingRule| applies(rule) && !(rule.holds)(settings);
        for rule in SETTING_RULES.iter().filter(violated) {
            let message = format!("{} is outside {}", rule.key, rule.bound);
            self.add(offset, BOUND_CODE, &message);
        }
    }

    fn finish(mut self, table: Spanned<DeTable<'_>>) -> Result<EntrySettings, Vec<FileFinding>> {
        let settings = read_table(table);
        if let (true, Err(error)) = (self.findings.is_empty(), &settings) {
            self.add(0, VALUE_CODE, error.message());
        }
        self.findings.sort();
        match settings {
            Ok(settings) if self.findings.is_empty() => Ok(settings),
            _ => Err(self.findings),
        }
    }
}

fn read_table(table: Spanned<DeTable<'_>>) -> Result<EntrySettings, toml::de::Error> {
    EntrySettings::deserialize(Deserializer::from(table))
}

fn within(time: Duration, least_ms: u64, most_ms: u64) -> bool {
    (Duration::from_millis(least_ms)..=Duration::from_millis(most_ms)).contains(&time)
}
