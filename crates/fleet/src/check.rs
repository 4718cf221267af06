//! Checks of a fleet file; every finding is reported, not only the first.

use std::collections::HashSet;

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::spec::FleetSpec;

/// Code of a file that is not TOML or does not have the shape of a fleet.
const SYNTAX_CODE: &str = "F001";
/// Code of an identifier that stands twice.
const DUPLICATE_CODE: &str = "F002";
/// Code of a name that nothing declares.
const DANGLING_CODE: &str = "F003";
/// Code of a worker that more than one pool claims.
const CLAIMED_TWICE_CODE: &str = "F004";

/// Reads and checks the fleet file `text`; `file` names it in the findings.
///
/// # Errors
///
/// Returns all findings, at least one, ordered by place.
pub fn check_fleet(file: &str, text: &str) -> Result<FleetSpec, Vec<FileFinding>> {
    let spec: FleetSpec = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        vec![FileFinding {
            place: FilePlace::at(file, text, offset),
            code: SYNTAX_CODE,
            message: error.message().to_owned(),
            hint: String::new(),
        }]
    })?;
    let mut sheet = FindingSheet {
        file,
        text,
        findings: Vec::new(),
    };
    check_duplicates(&spec, &mut sheet);
    check_names(&spec, &mut sheet);
    check_membership(&spec, &mut sheet);
    sheet.findings.sort();
    if sheet.findings.is_empty() {
        Ok(spec)
    } else {
        Err(sheet.findings)
    }
}

struct FindingSheet<'a> {
    file: &'a str,
    text: &'a str,
    findings: Vec<FileFinding>,
}

impl FindingSheet<'_> {
    /// Adds a finding at the last place where `name` stands in quotes.
    fn add(&mut self, name: &str, code: &'static str, message: String, hint: &str) {
        let offset = self.text.rfind(&format!("\"{name}\"")).unwrap_or(0);
        self.findings.push(FileFinding {
            place: FilePlace::at(self.file, self.text, offset),
            code,
            message,
            hint: hint.to_owned(),
        });
    }
}

fn check_duplicates(spec: &FleetSpec, sheet: &mut FindingSheet<'_>) {
    let lists: [(&str, Vec<&str>); 5] = [
        ("zone", spec.zones.iter().map(|zone| &*zone.id).collect()),
        (
            "worker",
            spec.workers.iter().map(|worker| &*worker.id).collect(),
        ),
        ("pool", spec.pools.iter().map(|pool| &*pool.id).collect()),
        ("team", spec.teams.iter().map(|team| &*team.id).collect()),
        (
            "queue",
            spec.queues.iter().map(|queue| &*queue.id).collect(),
        ),
    ];
    for (kind, ids) in lists {
        let mut seen = HashSet::new();
        for id in ids.into_iter().filter(|id| !seen.insert(*id)) {
            let message = format!("{kind} \"{id}\" is declared twice");
            sheet.add(id, DUPLICATE_CODE, message, "remove or rename one of them");
        }
    }
}

fn check_names(spec: &FleetSpec, sheet: &mut FindingSheet<'_>) {
    let zones: HashSet<&str> = spec.zones.iter().map(|zone| &*zone.id).collect();
    let workers: HashSet<&str> = spec.workers.iter().map(|worker| &*worker.id).collect();
    let pools: HashSet<&str> = spec.pools.iter().map(|pool| &*pool.id).collect();
    let mut dangling = |kind: &str, name: &str| {
        let message = format!("{kind} \"{name}\" does not exist");
        sheet.add(
            name,
            DANGLING_CODE,
            message,
            "declare it or correct the name",
        );
    };
    for worker in spec
        .workers
        .iter()
        .filter(|worker| !zones.contains(&*worker.zone))
    {
        dangling("zone", &worker.zone);
    }
    for id in spec.pools.iter().flat_map(|pool| &pool.workers) {
        if !workers.contains(&**id) {
            dangling("worker", id);
        }
    }
    for queue in spec
        .queues
        .iter()
        .filter(|queue| !pools.contains(&*queue.pool))
    {
        dangling("pool", &queue.pool);
    }
}

fn check_membership(spec: &FleetSpec, sheet: &mut FindingSheet<'_>) {
    let mut owners: IndexMap<&str, &str> = IndexMap::new();
    for pool in &spec.pools {
        for id in &pool.workers {
            if let Some(owner) = owners.insert(id, &pool.id) {
                let message = format!(
                    "worker \"{id}\" is claimed by pools \"{owner}\" and \"{}\"",
                    pool.id
                );
                sheet.add(
                    id,
                    CLAIMED_TWICE_CODE,
                    message,
                    "list it in exactly one pool",
                );
            }
        }
    }
}
