//! Micro-benchmarks of the decision objects at the size to design for.
#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use pw_capacity::prelude::*;
use pw_fleet::prelude::*;

/// Samples of a benchmark that takes a second or more for each.
const FEW_SAMPLES: usize = 10;

fn fleet_file(c: &mut Criterion) {
    let text = fleet_text(&FleetSize::default());
    let before = generate_fleet(&FleetSize::default());
    let mut after = before.clone();
    after.workers[4_000].slots += 1;
    after.teams[100].limit += 1;
    let mut group = c.benchmark_group("fleet-file");
    group.sample_size(FEW_SAMPLES);
    group.bench_function("check", |b| {
        b.iter(|| check_fleet("full.toml", black_box(&text)));
    });
    group.bench_function("diff", |b| {
        b.iter(|| FleetDiff::between(black_box(&before), black_box(&after)));
    });
    group.finish();
}

criterion_group!(benches, fleet_file);
criterion_main!(benches);
