//! The duty that follows the platform's log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_log::prelude::*;
use pw_ring::prelude::*;

use crate::member_duty::MemberMessage;
use crate::message::DeskMessage;

/// Longest wait of one read while the log has nothing new.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Passes what the log says on to the desks, with the time at which each read was sent.
pub async fn run(
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    desk: RingSender<DeskMessage>,
    members: RingSender<MemberMessage>,
) {
    let mut next_offset = 0;
    let mut fresh = clock.now();
    loop {
        let asked = clock.now();
        let age = metrics::gauge!("pw_log_reading_age_seconds");
        match store.read(next_offset, READ_WAIT).await {
            Ok(batch) => {
                let reading = decode_batch(asked, next_offset, &batch);
                next_offset = reading.next_offset;
                fresh = reading.proves_fresh().unwrap_or(fresh);
                let event = DispatchEvent::LogRead(reading.clone());
                let is_stopping = desk.send(DeskMessage::Event(event)).await.is_err();
                let message = MemberMessage::LogRead(reading);
                if is_stopping || members.send(message).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                let event = match error {
                    LogError::Expired { .. } => EventCode::LogExpired,
                    _ => EventCode::LogUnreachable,
                };
                tracing::warn!(event = event.number(), %error, "log can't be read");
                Timer::after(RETRY_PAUSE).await;
            }
        }
        age.set(clock.now().duration_since(fresh).as_secs_f64());
    }
}

fn decode_batch(asked: Instant, from: LogOffset, batch: &LogBatch) -> LogReading {
    let (reading, malformed) = LogReading::decode(Some(asked), from, batch);
    for MalformedRecord { offset, error } in malformed {
        let event = EventCode::RecordMalformed;
        tracing::warn!(event = event.number(), offset, %error, "record skipped");
    }
    reading
}
