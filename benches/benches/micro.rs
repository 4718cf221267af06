//! Micro-benchmarks of fleet files, the log fold and permits at the target fleet size.
#![allow(missing_docs)]

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use pw_capacity::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;

/// Number of samples of the slower benchmarks.
const SLOW_BENCH_SAMPLES: usize = 10;

fn fleet_file(c: &mut Criterion) {
    let text = fleet_text(&FleetSize::default());
    let before = generate_fleet(&FleetSize::default());
    let mut after = before.clone();
    after.workers[4_000].slots += 1;
    after.accounts[100].limit += 1;
    let mut group = c.benchmark_group("fleet-file");
    group.sample_size(SLOW_BENCH_SAMPLES);
    group.bench_function("check", |b| {
        b.iter(|| check_fleet("full.toml", black_box(&text)));
    });
    group.bench_function("diff", |b| {
        b.iter(|| FleetDiff::between(black_box(&before), black_box(&after)));
    });
    group.finish();
}

fn log_fold(c: &mut Criterion) {
    let before = Arc::new(generate_fleet(&FleetSize::default()));
    let mut after = FleetSpec::clone(&before);
    after.workers[4_000].slots += 1;
    let whole = record(1, FleetProposal::whole(0, Arc::clone(&before)));
    let change = record(2, FleetProposal::between(1, &before, Arc::new(after)));
    let whole_bytes = encode_record(&whole).expect("record is within the size limit");
    let change_bytes = encode_record(&change).expect("record is within the size limit");
    println!(
        "bytes on the wire: whole fleet {}, change of one worker {}",
        whole_bytes.len(),
        change_bytes.len()
    );
    let mut fold = FleetFold::default();
    fold.advance(0, &whole);
    let mut group = c.benchmark_group("fold");
    group.sample_size(SLOW_BENCH_SAMPLES);
    group.bench_function("whole-fleet", |b| {
        b.iter_batched_ref(
            FleetFold::default,
            |fold| fold.advance(0, &decode_record(&whole_bytes).expect("record is valid")),
            BatchSize::LargeInput,
        );
    });
    group.bench_function("change", |b| {
        b.iter_batched_ref(
            || fold.clone(),
            |fold| fold.advance(1, &decode_record(&change_bytes).expect("record is valid")),
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

fn permit(c: &mut Criterion) {
    let fleet = generate_fleet(&FleetSize::default());
    let (account, zone) = (&fleet.accounts[0].id, &fleet.zones[0].id);
    let now = Instant::now();
    let mut gate = EvenSplit::new(1);
    gate.set_accounts(&fleet.accounts);
    c.bench_function("permit/even-split-take-and-give-back", |b| {
        b.iter(|| {
            let permit = gate
                .acquire(now, black_box(account), zone)
                .expect("a permit is free");
            gate.release(now, permit);
        });
    });
}

fn record(id: u128, proposal: FleetProposal) -> LogRecord {
    LogRecord {
        id,
        author: "operator".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(proposal),
    }
}

criterion_group!(benches, fleet_file, log_fold, permit);
criterion_main!(benches);
