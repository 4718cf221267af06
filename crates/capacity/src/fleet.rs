//! Generated fleets of configurable size.

use std::fmt::Write;

use pw_fleet::prelude::*;

/// Number of workers in each rack.
const WORKERS_PER_RACK: usize = 4;
/// Number of slots of each worker.
const SLOTS_PER_WORKER: usize = 8;
/// Divisor for the part of each pool's workers that may be unavailable.
const BUDGET_DIVISOR: usize = 10;
/// Upper limit of an account as a multiple of its even share of all slots.
const LIMIT_SHARE_FACTOR: usize = 2;

/// Size of a generated fleet; the default is the target size of the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of workers.
    pub workers: usize,
    /// Number of pools; the last one is the spare pool if there are several.
    pub pools: usize,
    /// Number of accounts, each with one key.
    pub accounts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            workers: 8_500,
            pools: 112,
            accounts: 370,
            zones: 6,
            regions: 3,
        }
    }
}

impl FleetSize {
    /// Returns the size scaled to `workers`, with at least 2 workers per pool.
    ///
    /// The numbers of zones and regions do not change.
    pub fn scaled_to(self, workers: usize) -> Self {
        let scale = |count: usize| (count * workers).div_ceil(self.workers);
        Self {
            workers,
            pools: scale(self.pools).min(workers / 2).max(1),
            accounts: scale(self.accounts),
            ..self
        }
    }
}

/// Returns a valid fleet file of the given size.
pub fn fleet_text(size: &FleetSize) -> String {
    let mut text = "fleet = \"generated\"\n".to_owned();
    write_entries(&mut text, size).expect("writing to a string succeeds");
    text
}

/// Returns a validated fleet of the given size.
///
/// # Panics
///
/// Panics when a count is 0 or when a pool has fewer than two workers.
pub fn generate_fleet(size: &FleetSize) -> FleetSpec {
    match check_fleet("generated.toml", &fleet_text(size)) {
        Ok(fleet) => fleet,
        Err(findings) => panic!("{size:?}: {}", findings[0]),
    }
}

fn write_entries(text: &mut String, size: &FleetSize) -> std::fmt::Result {
    for zone in 0..size.zones {
        let region = zone % size.regions;
        writeln!(
            text,
            "\n[[zones]]\nid = \"zone-{zone}\"\nregion = \"region-{region}\""
        )?;
    }
    for worker in 0..size.workers {
        // Consecutive workers are in different zones, so that each pool spans all zones.
        let zone = worker % size.zones;
        let rack = worker / size.zones / WORKERS_PER_RACK;
        writeln!(
            text,
            "\n[[workers]]\nid = \"worker-{worker:05}\"\nzone = \"zone-{zone}\"\n\
             rack = \"rack-{zone}-{rack}\"\ncores = 32\nmemory_gib = 64\n\
             slots = {SLOTS_PER_WORKER}\nconnections = 64"
        )?;
    }
    for pool in 0..size.pools {
        let from = size.workers * pool / size.pools;
        let to = size.workers * (pool + 1) / size.pools;
        let ids: Vec<String> = (from..to)
            .map(|worker| format!("worker-{worker:05}"))
            .collect();
        let budget = ((to - from) / BUDGET_DIVISOR).max(1);
        let spare = size.pools > 1 && pool + 1 == size.pools;
        writeln!(
            text,
            "\n[[pools]]\nid = \"pool-{pool}\"\nworkers = {ids:?}\n\
             max_unavailable = {budget}\nspare = {spare}"
        )?;
        writeln!(
            text,
            "\n[[queues]]\nid = \"queue-{pool}\"\npool = \"pool-{pool}\"\n\
             run_timeout = \"30s\"\ndeadline = \"5m\""
        )?;
    }
    let limit = (LIMIT_SHARE_FACTOR * SLOTS_PER_WORKER * size.workers).div_ceil(size.accounts);
    for account in 0..size.accounts {
        writeln!(
            text,
            "\n[[accounts]]\nid = \"account-{account}\"\nshare = 1\nlimit = {limit}\n\
             keys = [{{ id = \"key-{account}\", sha256 = \"{account:064x}\" }}]"
        )?;
    }
    Ok(())
}
