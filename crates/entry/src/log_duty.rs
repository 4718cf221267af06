//! The duty that follows the platform's log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_log::prelude::*;
use pw_ring::prelude::*;

use crate::member_duty::MemberMessage;
use crate::message::DispatchMessage;
use crate::planner_duty::PlannerMessage;

/// Maximum time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Delay before the next read after a failed one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Rings to the duties that apply the log.
#[derive(Debug, Clone)]
pub struct LogSubscribers {
    /// Ring to the dispatch duty.
    pub dispatch: RingSender<DispatchMessage>,
    /// Ring to the members duty.
    pub members: RingSender<MemberMessage>,
    /// Ring to the planner duty, if it runs.
    pub planner: Option<RingSender<PlannerMessage>>,
}

struct LogDuty {
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    subscribers: LogSubscribers,
    next_offset: LogOffset,
    /// Searches for a snapshot after the next record has expired from the log.
    seeker: Option<SnapshotSeeker>,
    /// Time at which the last read that reached the end of the log was requested.
    fresh_at: Instant,
}

/// Reads the log and sends each reading, with the time of its request, to the subscribers.
pub async fn run(
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    subscribers: LogSubscribers,
) {
    let mut duty = LogDuty {
        fresh_at: clock.now(),
        store,
        clock,
        subscribers,
        next_offset: 0,
        seeker: None,
    };
    while duty.poll().await.is_ok() {
        let age = duty.clock.now().duration_since(duty.fresh_at);
        metrics::gauge!("pw_log_reading_age_seconds").set(age.as_secs_f64());
    }
}

impl LogDuty {
    /// Reads once and sends the reading to the subscribers; fails if the node is stopping.
    async fn poll(&mut self) -> Result<(), RingClosed> {
        let requested_at = self.clock.now();
        match self.store.read(self.next_offset, READ_WAIT).await {
            Ok(batch) => {
                let reading = decode_batch(requested_at, self.next_offset, &batch);
                self.next_offset = reading.next_offset;
                match &mut self.seeker {
                    None => self.forward(reading).await,
                    Some(seeker) => match find_image(seeker, &reading) {
                        Some(image) => self.restart(image).await,
                        None => Ok(()),
                    },
                }
            }
            Err(LogError::Expired { first }) => {
                let event = EventCode::LogExpired;
                let next_offset = self.next_offset;
                tracing::warn!(
                    event = event.number(),
                    next_offset,
                    first,
                    "next record expired, searching for a snapshot"
                );
                self.next_offset = first;
                self.seeker = Some(SnapshotSeeker::default());
                Timer::after(RETRY_PAUSE).await;
                Ok(())
            }
            Err(error) => {
                let event = EventCode::LogUnreachable;
                tracing::warn!(event = event.number(), %error, "log unreachable");
                Timer::after(RETRY_PAUSE).await;
                Ok(())
            }
        }
    }

    /// Restarts all subscribers from `image` and continues with the records after it.
    async fn restart(&mut self, image: Arc<FoldImage>) -> Result<(), RingClosed> {
        let event = EventCode::SnapshotTaken;
        let next_offset = image.next_offset();
        tracing::info!(
            event = event.number(),
            next_offset,
            "starting from a snapshot"
        );
        self.seeker = None;
        self.next_offset = next_offset;
        self.forward(LogReading::from_image(image)).await
    }

    async fn forward(&mut self, reading: LogReading) -> Result<(), RingClosed> {
        self.fresh_at = reading.fresh_at().unwrap_or(self.fresh_at);
        self.subscribers.send(reading).await
    }
}

fn find_image(seeker: &mut SnapshotSeeker, reading: &LogReading) -> Option<Arc<FoldImage>> {
    let items = reading.items.iter();
    // The latest image leaves the fewest records to read.
    items
        .filter_map(|(offset, item)| seeker.observe(*offset, item))
        .last()
}

impl LogSubscribers {
    async fn send(&self, reading: LogReading) -> Result<(), RingClosed> {
        if let Some(planner) = &self.planner {
            planner
                .send(PlannerMessage::LogRead(reading.clone()))
                .await?;
        }
        let event = DispatchEvent::LogRead(reading.clone());
        self.dispatch.send(DispatchMessage::Event(event)).await?;
        self.members.send(MemberMessage::LogRead(reading)).await
    }
}

fn decode_batch(requested_at: Instant, from: LogOffset, batch: &LogBatch) -> LogReading {
    let (reading, malformed) = LogReading::decode(Some(requested_at), from, batch);
    for MalformedRecord { offset, error } in malformed {
        let event = EventCode::RecordMalformed;
        tracing::warn!(event = event.number(), offset, %error, "malformed record skipped");
    }
    for (offset, item) in &reading.items {
        if let LogItem::Unsupported { version } = item {
            let event = EventCode::RecordUnread;
            tracing::warn!(
                event = event.number(),
                offset,
                version,
                "record has an unsupported version"
            );
        }
    }
    reading
}
