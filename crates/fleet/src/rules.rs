//! Rules that hold between the parts of a fleet file.

use std::collections::{HashMap, HashSet};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

use crate::check::FindingCode;
use crate::document::{FleetDocument, ItemPlaces, SectionItem};
use crate::spec::FleetSpec;

/// Longest name in characters.
const MAX_NAME_CHARS: usize = 64;
/// Top-level fields of a fleet file.
const SECTIONS: [&str; 6] = ["fleet", "zones", "workers", "pools", "accounts", "queues"];

/// The sections of a fleet file with the places of their elements.
pub(crate) struct FleetSections {
    fleet: FleetId,
    zones: Vec<SectionItem<ZoneSpec>>,
    workers: Vec<SectionItem<WorkerSpec>>,
    pools: Vec<SectionItem<PoolSpec>>,
    accounts: Vec<SectionItem<AccountSpec>>,
    queues: Vec<SectionItem<QueueSpec>>,
}

impl FleetSections {
    /// Reads the sections; malformed elements become findings and are left out.
    pub(crate) fn read(document: &mut FleetDocument<'_>) -> Self {
        let fleet = document.take_text("fleet").map(|(name, offset)| {
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
        document.reject_rest(&SECTIONS);
        sections
    }

    /// Returns the fleet without the places.
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

/// Checks every rule and adds what breaks it to the document's findings.
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
    check_membership(sections, document);
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
        document.find(offset, FindingCode::Name, message, &hint);
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
        let offset = item.places.field("id");
        check_name(document, kind, id, offset);
        if !seen.insert(id) {
            let message = format!("{kind} \"{id}\" is declared twice");
            document.find(
                offset,
                FindingCode::Duplicate,
                message,
                "remove or rename one of them",
            );
        }
    }
}

fn check_known(
    document: &mut FleetDocument<'_>,
    known: &HashSet<&str>,
    kind: &str,
    name: &str,
    offset: usize,
) {
    if !known.contains(name) && !document.is_unread(name) {
        let message = format!("{kind} \"{name}\" does not exist");
        document.find(
            offset,
            FindingCode::Dangling,
            message,
            "declare it or correct the name",
        );
    }
}

fn check_above_zero(
    document: &mut FleetDocument<'_>,
    places: &ItemPlaces,
    field: &str,
    is_zero: bool,
) {
    if is_zero {
        let message = format!("field \"{field}\" must be above 0");
        document.find(places.field(field), FindingCode::Zero, message, "");
    }
}

fn check_workers(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let zones = sections.zones.iter().map(|item| &*item.spec.id).collect();
    for SectionItem { spec, places } in &sections.workers {
        check_known(document, &zones, "zone", &spec.zone, places.field("zone"));
        check_name(document, "rack", &spec.rack, places.field("rack"));
        check_above_zero(document, places, "slots", spec.slots == 0);
        check_above_zero(document, places, "connections", spec.connections == 0);
        check_above_zero(document, places, "cores", spec.cores == 0);
        check_above_zero(document, places, "memory_gib", spec.memory_gib == 0);
    }
}

fn check_racks(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let mut zones: HashMap<&str, &str> = HashMap::new();
    for SectionItem { spec, places } in &sections.workers {
        let zone = *zones.entry(&spec.rack).or_insert(&spec.zone);
        if zone != &*spec.zone {
            let message = format!(
                "rack \"{}\" stands in zones \"{zone}\" and \"{}\"",
                spec.rack, spec.zone
            );
            let hint = "give the racks of each zone names of their own";
            document.find(places.field("rack"), FindingCode::RackSplit, message, hint);
        }
    }
}

fn check_membership(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let known = sections.workers.iter().map(|item| &*item.spec.id).collect();
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for SectionItem { spec, places } in &sections.pools {
        for (index, id) in spec.workers.iter().enumerate() {
            let offset = places.element("workers", index);
            check_known(document, &known, "worker", id, offset);
            if let Some(owner) = owners.insert(id, &spec.id) {
                let message = format!(
                    "worker \"{id}\" is claimed by pools \"{owner}\" and \"{}\"",
                    spec.id
                );
                let hint = "list it in exactly one pool";
                document.find(offset, FindingCode::ClaimedTwice, message, hint);
            }
        }
    }
    for SectionItem { spec, places } in &sections.workers {
        if !owners.contains_key(&*spec.id) {
            let message = format!("worker \"{}\" is in no pool", spec.id);
            let hint = "list it in the workers of one pool";
            document.find(places.field("id"), FindingCode::Unclaimed, message, hint);
        }
    }
}

fn check_budgets(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    for SectionItem { spec, places } in &sections.pools {
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
            document.find(
                places.field("max_unavailable"),
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
    for SectionItem { spec, places } in &sections.accounts {
        for (index, key) in spec.keys.iter().enumerate() {
            let offset = places.element("keys", index);
            check_name(document, "key", &key.id, offset);
            if !ids.insert(&*key.id) {
                let message = format!("key \"{}\" is declared twice", key.id);
                document.find(
                    offset,
                    FindingCode::Duplicate,
                    message,
                    "rename one of them",
                );
            }
            if let Some(other) = digests.insert(key.sha256, &key.id) {
                let message = format!("keys \"{other}\" and \"{}\" have the same digest", key.id);
                document.find(
                    offset,
                    FindingCode::KeyTwice,
                    message,
                    "give each its own secret",
                );
            }
        }
    }
}

/// Checks that each limit lets its account reach its share when all workers outside spare pools are full.
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
    for SectionItem { spec, places } in &sections.accounts {
        check_above_zero(document, places, "share", spec.share == 0);
        check_above_zero(document, places, "limit", spec.limit == 0);
        let entitled = (u64::from(spec.share) * slots)
            .checked_div(shares)
            .unwrap_or_default();
        if spec.limit > 0 && u64::from(spec.limit) < entitled {
            let message = format!(
                "limit {} is under the share of {entitled} slots",
                spec.limit
            );
            let hint = "raise the limit or lower the share";
            document.find(
                places.field("limit"),
                FindingCode::LimitUnderShare,
                message,
                hint,
            );
        }
    }
}

fn check_queues(sections: &FleetSections, document: &mut FleetDocument<'_>) {
    let pools = sections.pools.iter().map(|item| &*item.spec.id).collect();
    for SectionItem { spec, places } in &sections.queues {
        check_known(document, &pools, "pool", &spec.pool, places.field("pool"));
        check_above_zero(document, places, "run_timeout", spec.run_timeout.is_zero());
        check_above_zero(document, places, "deadline", spec.deadline.is_zero());
        if spec.deadline < spec.run_timeout {
            let message = "the deadline is shorter than the run timeout".to_owned();
            let hint = "leave time for the longest run";
            document.find(
                places.field("deadline"),
                FindingCode::Deadline,
                message,
                hint,
            );
        }
    }
}
