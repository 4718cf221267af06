//! Rules for names, numbers and references in a fleet file.

use std::collections::{HashMap, HashSet};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

use crate::check::FindingCode;
use crate::document::{FleetDocument, ItemSpans, SectionItem};
use crate::spec::FleetSpec;

/// Maximum length of a name in characters.
const MAX_NAME_CHARS: usize = 64;
/// Top-level fields of a fleet file.
const SECTIONS: [&str; 6] = ["fleet", "zones", "workers", "pools", "accounts", "queues"];

/// Sections of a fleet file with the spans of their elements.
pub(crate) struct FleetSections {
    fleet: FleetId,
    zones: Vec<SectionItem<ZoneSpec>>,
    workers: Vec<SectionItem<WorkerSpec>>,
    pools: Vec<SectionItem<PoolSpec>>,
    accounts: Vec<SectionItem<AccountSpec>>,
    queues: Vec<SectionItem<QueueSpec>>,
}

impl FleetSections {
    /// Reads the sections; malformed elements are reported as findings and left out.
    pub(crate) fn read(document: &mut FleetDocument<'_>) -> Self {
        let fleet = document.take_string("fleet").map(|(name, offset)| {
            check_name(document, "fleet", &name, offset);
            FleetId::from(name)
        });
        let sections = Self {
            fleet: fleet.unwrap_or_else(|| FleetId::from("")),
            zones: document.take_section("zones", &["id"]),
            workers: document.take_section(
                "workers",
                &[
                    "id",
                    "zone",
                    "rack",
                    "cores",
                    "memory_gib",
                    "slots",
                    "connections",
                ],
            ),
            pools: document.take_section("pools", &["id", "workers", "max_unavailable"]),
            accounts: document.take_section("accounts", &["id", "share", "limit"]),
            queues: document.take_section("queues", &["id", "pool", "run_timeout", "deadline"]),
        };
        document.report_unknown_fields(&SECTIONS);
        sections
    }

    /// Returns the fleet without the spans.
    pub(crate) fn into_spec(self) -> FleetSpec {
        FleetSpec {
            fleet: self.fleet,
            zones: specs(self.zones),
            workers: specs(self.workers),
            pools: specs(self.pools),
            accounts: specs(self.accounts),
            queues: specs(self.queues),
        }
    }
}

/// Checks every rule and adds violations to the document's findings.
pub(crate) fn check_rules(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    check_ids(document, "zone", &sections.zones, |zone| &zone.id);
    check_ids(document, "worker", &sections.workers, |worker| &worker.id);
    check_ids(document, "pool", &sections.pools, |pool| &pool.id);
    check_ids(document, "account", &sections.accounts, |account| {
        &account.id
    });
    check_ids(document, "queue", &sections.queues, |queue| &queue.id);
    check_workers(sections, document);
    check_racks(sections, document);
    check_pool_membership(sections, document);
    check_budgets(sections, document);
    check_keys(sections, document);
    check_limits(sections, document);
    check_queues(sections, document);
}

fn specs<T>(items: Vec<SectionItem<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.spec).collect()
}

fn check_name(document: &mut FleetDocument<'_>, kind: &str, name: &str, offset: usize) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let length = name.chars().count();
    if !name.chars().all(allowed) || length == 0 || length > MAX_NAME_CHARS {
        let message = format!("{kind} name {name:?} is malformed");
        let hint = format!("use 1 to {MAX_NAME_CHARS} of the characters a-z A-Z 0-9 - _ .");
        document.add_finding(offset, FindingCode::Name, message, &hint);
    }
}

fn check_ids<T>(
    document: &mut FleetDocument<'_>,
    kind: &str,
    items: &[SectionItem<T>],
    id_of: impl Fn(&T) -> &str,
) {
    let mut seen = HashSet::new();
    for item in items {
        let id = id_of(&item.spec);
        let offset = item.spans.field("id");
        check_name(document, kind, id, offset);
        if !seen.insert(id) {
            let message = format!("{kind} \"{id}\" is declared twice");
            document.add_finding(
                offset,
                FindingCode::Duplicate,
                message,
                "remove or rename one of them",
            );
        }
    }
}

fn check_reference(
    document: &mut FleetDocument<'_>,
    declared: &HashSet<&str>,
    kind: &str,
    name: &str,
    offset: usize,
) {
    if !declared.contains(name) && !document.is_malformed_element(name) {
        let message = format!("{kind} \"{name}\" does not exist");
        document.add_finding(
            offset,
            FindingCode::Dangling,
            message,
            "declare it or correct the name",
        );
    }
}

fn check_nonzero(document: &mut FleetDocument<'_>, spans: &ItemSpans, field: &str, is_zero: bool) {
    if is_zero {
        let message = format!("field \"{field}\" must be above 0");
        document.add_finding(spans.field(field), FindingCode::Zero, message, "");
    }
}

fn check_workers(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let zones = sections.zones.iter().map(|item| &*item.spec.id).collect();
    for SectionItem { spec, spans } in &sections.workers {
        check_reference(document, &zones, "zone", &spec.zone, spans.field("zone"));
        check_name(document, "rack", &spec.rack, spans.field("rack"));
        check_nonzero(document, spans, "slots", spec.slots == 0);
        check_nonzero(document, spans, "connections", spec.connections == 0);
        check_nonzero(document, spans, "cores", spec.cores == 0);
        check_nonzero(document, spans, "memory_gib", spec.memory_gib == 0);
    }
}

fn check_racks(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let mut zones: HashMap<&str, &str> = HashMap::new();
    for SectionItem { spec, spans } in &sections.workers {
        let zone = *zones.entry(&spec.rack).or_insert(&spec.zone);
        if zone != &*spec.zone {
            let message = format!(
                "rack \"{}\" stands in zones \"{zone}\" and \"{}\"",
                spec.rack, spec.zone
            );
            let hint = "give the racks of each zone names of their own";
            document.add_finding(spans.field("rack"), FindingCode::RackSplit, message, hint);
        }
    }
}

fn check_pool_membership(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let declared = sections.workers.iter().map(|item| &*item.spec.id).collect();
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for SectionItem { spec, spans } in &sections.pools {
        for (index, id) in spec.workers.iter().enumerate() {
            let offset = spans.element("workers", index);
            check_reference(document, &declared, "worker", id, offset);
            if let Some(owner) = owners.insert(id, &spec.id) {
                let message = format!(
                    "worker \"{id}\" is claimed by pools \"{owner}\" and \"{}\"",
                    spec.id
                );
                let hint = "list it in exactly one pool";
                document.add_finding(offset, FindingCode::ClaimedTwice, message, hint);
            }
        }
    }
    for SectionItem { spec, spans } in &sections.workers {
        if !owners.contains_key(&*spec.id) {
            let message = format!("worker \"{}\" is in no pool", spec.id);
            let hint = "list it in the workers of one pool";
            document.add_finding(spans.field("id"), FindingCode::Unclaimed, message, hint);
        }
    }
}

fn check_budgets(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    for SectionItem { spec, spans } in &sections.pools {
        let workers = spec.workers.len();
        let out = spec.max_unavailable as usize;
        let problem = if out == 0 {
            Some("allows no maintenance")
        } else if out >= workers {
            Some("leaves no worker available")
        } else {
            None
        };
        if let Some(problem) = problem {
            let message = format!("max_unavailable {out} of {workers} workers {problem}");
            let hint = "choose a number above 0 and below the number of workers";
            document.add_finding(
                spans.field("max_unavailable"),
                FindingCode::Budget,
                message,
                hint,
            );
        }
    }
}

fn check_keys(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let mut digests = HashMap::new();
    let mut ids = HashSet::new();
    for SectionItem { spec, spans } in &sections.accounts {
        for (index, key) in spec.keys.iter().enumerate() {
            let offset = spans.element("keys", index);
            check_name(document, "key", &key.id, offset);
            if !ids.insert(&*key.id) {
                let message = format!("key \"{}\" is declared twice", key.id);
                document.add_finding(
                    offset,
                    FindingCode::Duplicate,
                    message,
                    "rename one of them",
                );
            }
            if let Some(other) = digests.insert(key.sha256, &key.id) {
                let message = format!("keys \"{other}\" and \"{}\" have the same digest", key.id);
                document.add_finding(
                    offset,
                    FindingCode::KeyTwice,
                    message,
                    "give each its own secret",
                );
            }
        }
    }
}

/// Checks that each limit allows the account its share of the slots outside spare pools.
fn check_limits(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let slots_of: HashMap<&str, u64> = sections
        .workers
        .iter()
        .map(|item| (&*item.spec.id, u64::from(item.spec.slots)))
        .collect();
    let slots: u64 = sections
        .pools
        .iter()
        .filter(|item| !item.spec.spare)
        .flat_map(|item| &item.spec.workers)
        .filter_map(|id| slots_of.get(&**id))
        .sum();
    let shares: u64 = sections
        .accounts
        .iter()
        .map(|item| u64::from(item.spec.share))
        .sum();
    for SectionItem { spec, spans } in &sections.accounts {
        check_nonzero(document, spans, "share", spec.share == 0);
        check_nonzero(document, spans, "limit", spec.limit == 0);
        let entitled = (u64::from(spec.share) * slots)
            .checked_div(shares)
            .unwrap_or_default();
        if spec.limit > 0 && u64::from(spec.limit) < entitled {
            let message = format!(
                "limit {} is under the share of {entitled} slots",
                spec.limit
            );
            let hint = "raise the limit or lower the share";
            document.add_finding(
                spans.field("limit"),
                FindingCode::LimitUnderShare,
                message,
                hint,
            );
        }
    }
}

fn check_queues(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let pools = sections.pools.iter().map(|item| &*item.spec.id).collect();
    for SectionItem { spec, spans } in &sections.queues {
        check_reference(document, &pools, "pool", &spec.pool, spans.field("pool"));
        check_nonzero(document, spans, "run_timeout", spec.run_timeout.is_zero());
        check_nonzero(document, spans, "deadline", spec.deadline.is_zero());
        if spec.deadline < spec.run_timeout {
            let message = "the deadline is shorter than the run timeout".to_owned();
            let hint = "leave time for the longest run";
            document.add_finding(
                spans.field("deadline"),
                FindingCode::Deadline,
                message,
                hint,
            );
        }
    }
}
