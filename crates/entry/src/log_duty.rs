//! The duty that follows the platform's log.

use std::time::Duration;

use async_io::Timer;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_log::prelude::*;
use pw_ring::prelude::*;

use crate::message::DeskMessage;

/// Longest wait of one read while the log has nothing new.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Folds the log and tells the desk of each accepted configuration.
pub async fn run(store: Box<dyn LogStore + Send>, desk: RingSender<DeskMessage>) {
    let mut fold = FleetFold::default();
    loop {
        match store.read(fold.state().next_offset, READ_WAIT).await {
            Ok(entries) => {
                let before = fold.state().revision;
                entries
                    .into_iter()
                    .for_each(|entry| advance(&mut fold, entry));
                if fold.state().revision > before && announce(&fold, &desk).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                let event = EventCode::LogUnreachable;
                tracing::warn!(event = event.number(), %error, "log unreachable");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn advance(fold: &mut FleetFold, entry: LogEntry) {
    let offset = entry.offset;
    let record = match decode_record(&entry.bytes) {
        Ok(record) => record,
        Err(error) => {
            let event = EventCode::RecordMalformed;
            tracing::warn!(event = event.number(), offset, %error, "record skipped");
            return fold.skip(offset);
        }
    };
    let author = record.author.clone();
    if let FoldOutcome::Rejected(reason) = fold.advance(offset, record) {
        let event = EventCode::RecordRejected;
        tracing::warn!(event = event.number(), offset, author, %reason, "record rejected");
    }
}

async fn announce(fold: &FleetFold, desk: &RingSender<DeskMessage>) -> Result<(), RingClosed> {
    let state = fold.state();
    let Some(spec) = state.spec.clone() else {
        return Ok(());
    };
    let revision = state.revision;
    tracing::info!(
        event = EventCode::FleetAccepted.number(),
        revision,
        "configuration in force"
    );
    let event = DispatchEvent::FleetChanged { revision, spec };
    desk.send(DeskMessage::Event(event)).await
}
