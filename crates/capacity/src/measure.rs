//! Measures the costs at one fleet size with the production objects.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use pw_fleet::prelude::*;
use pw_log::prelude::*;

use crate::fleet::{FleetSize, fleet_text, generate_fleet};
use crate::traffic::instance_list_bytes;

/// Number of small changes that are folded for one measurement.
const CHANGE_ROUNDS: u64 = 50;

/// Provides the number of bytes that the process has allocated and not freed.
pub trait MemoryProbe {
    /// Returns the number of allocated bytes.
    fn bytes_in_use(&self) -> usize;
}

/// Costs at one fleet size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizeCost {
    /// Number of workers of the fleet.
    pub workers: usize,
    /// Bytes of a record that contains the complete fleet.
    pub whole_bytes: f64,
    /// Milliseconds to decode and fold such a record.
    pub whole_fold_ms: f64,
    /// Bytes of a record that changes one worker.
    pub change_bytes: f64,
    /// Milliseconds to decode and fold such a record.
    pub change_fold_ms: f64,
    /// Mebibytes used by one fold.
    pub fold_mib: f64,
    /// Bytes of the platform's instance list.
    pub list_bytes: f64,
    /// Milliseconds to validate a fleet file.
    pub check_ms: f64,
    /// Milliseconds to compare two fleets.
    pub diff_ms: f64,
}

/// Measures the costs at one size.
///
/// # Panics
///
/// Panics when [`generate_fleet`] does not support the size.
pub fn measure_size(size: &FleetSize, memory: &dyn MemoryProbe) -> SizeCost {
    let text = fleet_text(size);
    let (check_ms, _) = measure_time(|| check_fleet("generated.toml", &text));
    let fleet = Arc::new(generate_fleet(size));
    let changed = with_slots(&fleet, 9);
    let (diff_ms, _) = measure_time(|| FleetDiff::between(&fleet, &changed));
    let whole = encode(0, FleetProposal::whole(0, Arc::clone(&fleet)));
    let before = memory.bytes_in_use();
    let mut fold = FleetFold::default();
    let (whole_fold_ms, _) = measure_time(|| fold_record(&mut fold, 0, &whole));
    let held_bytes = memory.bytes_in_use().saturating_sub(before);
    let (change_bytes, change_fold_ms) = measure_changes(&mut fold, &fleet);
    SizeCost {
        workers: size.workers,
        whole_bytes: whole.len() as f64,
        whole_fold_ms,
        change_bytes,
        change_fold_ms,
        fold_mib: held_bytes as f64 / 1_048_576.0,
        list_bytes: instance_list_bytes(&fleet),
        check_ms,
        diff_ms,
    }
}

/// Returns the mean size of a small change and the mean time to decode and fold it.
fn measure_changes(fold: &mut FleetFold, fleet: &Arc<FleetSpec>) -> (f64, f64) {
    let mut last = Arc::clone(fleet);
    let mut records = Vec::new();
    for round in 1..=CHANGE_ROUNDS {
        let next = Arc::new(with_slots(&last, 1 + round as u32 % 8));
        let proposal = FleetProposal::between(round, &last, Arc::clone(&next));
        records.push(encode(round, proposal));
        last = next;
    }
    let bytes: usize = records.iter().map(Vec::len).sum();
    let (total_ms, ()) = measure_time(|| {
        for (index, record) in records.iter().enumerate() {
            fold_record(fold, 1 + index as u64, record);
        }
    });
    let rounds = CHANGE_ROUNDS as f64;
    (bytes as f64 / rounds, total_ms / rounds)
}

fn with_slots(fleet: &FleetSpec, slots: u32) -> FleetSpec {
    let mut fleet = fleet.clone();
    fleet.workers[0].slots = slots;
    fleet
}

fn encode(id: u64, proposal: FleetProposal) -> Vec<u8> {
    let record = LogRecord {
        id: u128::from(id),
        author: "operator".to_owned(),
        written: SystemTime::UNIX_EPOCH,
        body: RecordBody::Fleet(proposal),
    };
    encode_record(&record).expect("record is within the size limit")
}

fn fold_record(fold: &mut FleetFold, offset: u64, bytes: &[u8]) {
    let record = decode_record(bytes).expect("encoded record is valid");
    let outcome = fold.advance(offset, &record);
    assert_eq!(
        outcome,
        FoldOutcome::Accepted,
        "record at offset {offset} was not accepted"
    );
}

fn measure_time<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let started = Instant::now();
    let result = black_box(work());
    (started.elapsed().as_secs_f64() * 1_000.0, result)
}
