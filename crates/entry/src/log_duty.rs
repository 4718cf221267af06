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

/// Longest wait of one read while the log has nothing new.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Rings to the duties that fold the log.
#[derive(Debug, Clone)]
pub struct LogSubscribers {
    /// Ring to the dispatch duty.
    pub dispatch: RingSender<DispatchMessage>,
    /// Ring to the member duty.
    pub members: RingSender<MemberMessage>,
    /// Ring to the planner duty, where there is one.
    pub planner: Option<RingSender<PlannerMessage>>,
}

struct LogShell {
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    readers: LogSubscribers,
    next_offset: LogOffset,
    /// Looks for a snapshot, after the log has forgotten the next record.
    seeker: Option<SnapshotSeeker>,
    /// When the last read that reached the end of the log was sent.
    fresh: Instant,
}

/// Passes what the log says on to the schedulers, with the time at which each read was sent.
pub async fn run(
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    readers: LogSubscribers,
) {
    let mut shell = LogShell {
        fresh: clock.now(),
        store,
        clock,
        readers,
        next_offset: 0,
        seeker: None,
    };
    while shell.read().await.is_ok() {
        let age = shell.clock.now().duration_since(shell.fresh);
        metrics::gauge!("pw_log_reading_age_seconds").set(age.as_secs_f64());
    }
}

impl LogShell {
    /// Reads once and passes the reading on; fails when the node is stopping.
    async fn read(&mut self) -> Result<(), RingClosed> {
        let asked = self.clock.now();
        match self.store.read(self.next_offset, READ_WAIT).await {
            Ok(batch) => {
                let reading = decode_batch(asked, self.next_offset, &batch);
                self.next_offset = reading.next_offset;
                match &mut self.seeker {
                    None => self.pass(reading).await,
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
                    "seeking a snapshot"
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

    /// Starts every fold from `image` and goes on with the records after it.
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
        self.pass(LogReading::restart(image)).await
    }

    async fn pass(&mut self, reading: LogReading) -> Result<(), RingClosed> {
        self.fresh = reading.proves_fresh().unwrap_or(self.fresh);
        self.readers.send(reading).await
    }
}

fn find_image(seeker: &mut SnapshotSeeker, reading: &LogReading) -> Option<Arc<FoldImage>> {
    let items = reading.items.iter();
    // The newest image leaves the least to read.
    items
        .filter_map(|(offset, item)| seeker.look(*offset, item))
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

fn decode_batch(asked: Instant, from: LogOffset, batch: &LogBatch) -> LogReading {
    let (reading, malformed) = LogReading::decode(Some(asked), from, batch);
    for MalformedRecord { offset, error } in malformed {
        let event = EventCode::RecordMalformed;
        tracing::warn!(event = event.number(), offset, %error, "record skipped");
    }
    for (offset, item) in &reading.items {
        if let LogItem::Unread { version } = item {
            let event = EventCode::RecordUnread;
            tracing::warn!(event = event.number(), offset, version, "record not read");
        }
    }
    reading
}
