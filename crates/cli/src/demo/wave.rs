//! Progress of a maintenance wave, derived from the log.

use std::time::{Duration, Instant};

use pw_log::prelude::*;
use pw_pool::prelude::*;

use super::fleet::DemoFleet;

/// Maximum time until the wave is complete.
const WAVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Observations of a maintenance wave.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WaveReport {
    /// Whether every instance has completed the wave and is in service.
    pub(super) finished: bool,
    /// Number of folded records.
    pub(super) records: usize,
    /// Number of records after which an availability budget was not met.
    pub(super) violations: usize,
}

/// Folds the log from its start until the first wave is complete or `WAVE_TIMEOUT` has elapsed.
pub(super) async fn watch_wave(fleet: &DemoFleet) -> Result<WaveReport, LogError> {
    let log = fleet.log();
    let deadline = Instant::now() + WAVE_TIMEOUT;
    let mut fold = FleetFold::default();
    let mut report = WaveReport::default();
    while !report.finished && Instant::now() < deadline {
        let from = fold.state().next_offset;
        let batch = log.read(from, READ_WAIT).await?;
        let (reading, _) = LogReading::decode(None, from, &batch);
        for (offset, item) in &reading.items {
            if let LogItem::Record(record) = item {
                fold.advance(*offset, record);
                report.records += 1;
                report.violations += usize::from(!budgets_met(fold.pools()));
            }
        }
        fold.skip_to(reading.next_offset);
        report.finished = is_finished(fold.pools());
    }
    Ok(report)
}

/// Returns whether every budget is met.
///
/// Budgets apply only after every instance of the fleet has appeared.
fn budgets_met(pools: &PoolLedger) -> bool {
    let all_appeared = pools.instances().all(|instance| instance.boot.is_some());
    !all_appeared || pools.pools().all(|pool| pools.budget(pool).is_met())
}

fn is_finished(pools: &PoolLedger) -> bool {
    let in_service = |instance: &PoolInstance| instance.phase == InstancePhase::InService;
    pools.wave().number == 1 && pools.wave_finished() && pools.instances().all(in_service)
}
