//! A maintenance wave as the log tells it.

use std::time::{Duration, Instant};

use pw_log::prelude::*;
use pw_pool::prelude::*;

use super::fleet::DemoFleet;

/// Longest wait for the wave.
const WAVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_millis(200);

/// What was seen of a maintenance wave.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WaveReport {
    /// Whether every instance has been through it and is in service.
    pub(super) finished: bool,
    /// Records that were folded.
    pub(super) records: usize,
    /// Records after which an availability budget did not hold.
    pub(super) broken: usize,
}

/// Follows the log from its beginning until the first wave has finished or took too long.
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
                report.broken += usize::from(!budgets_hold(fold.pools()));
            }
        }
        fold.skip_to(reading.next_offset);
        report.finished = is_finished(fold.pools());
    }
    Ok(report)
}

/// Returns whether every budget holds; a fleet that was never seen whole has none to break.
fn budgets_hold(pools: &PoolLedger) -> bool {
    let seen = pools.instances().all(|instance| instance.boot.is_some());
    !seen || pools.pools().all(|pool| pools.budget(pool).is_met())
}

fn is_finished(pools: &PoolLedger) -> bool {
    let in_service = |instance: &PoolInstance| instance.phase == InstancePhase::InService;
    pools.wave().number == 1 && pools.wave_finished() && pools.instances().all(in_service)
}
