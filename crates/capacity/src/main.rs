//! Measures the capacity and writes `docs/CAPACITY.md`.

use std::alloc::System;
use std::path::PathBuf;

use argh::FromArgs;
use pw_capacity::jobs::{measure_shards, write_section};
use pw_capacity::measure::{MemoryProbe, measure_size};
use pw_capacity::page::render;
use pw_capacity::prelude::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Fleet sizes that are measured, in workers.
const FLEET_SIZES: [usize; 5] = [500, 1_000, 2_000, 4_000, 8_500];

/// Measures the cost of each role as a function of the fleet size.
#[derive(FromArgs)]
struct CapacityArgs {
    /// file to write the page to; standard output by default
    #[argh(option)]
    write: Option<PathBuf>,
}

struct AllocatorProbe;

impl MemoryProbe for AllocatorProbe {
    fn bytes_in_use(&self) -> usize {
        let stats = ALLOCATOR.stats();
        stats
            .bytes_allocated
            .saturating_sub(stats.bytes_deallocated)
    }
}

fn main() -> std::io::Result<()> {
    let args: CapacityArgs = argh::from_env();
    let sizes = FLEET_SIZES.map(|workers| FleetSize::default().scaled_to(workers));
    let costs = sizes.map(|size| measure_size(&size, &AllocatorProbe));
    let mut page = render(&costs);
    write_section(&mut page, &measure_shards(&AllocatorProbe))
        .expect("writing to a string succeeds");
    match args.write {
        Some(path) => std::fs::write(path, page),
        None => {
            print!("{page}");
            Ok(())
        }
    }
}
