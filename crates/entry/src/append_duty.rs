//! The duty that appends this member's proposals to the platform's log.

use std::sync::Arc;

use async_io::Timer;
use pw_base::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;

/// Input of the append duty.
#[derive(Debug)]
pub enum AppendMessage {
    /// Append a proposal; it is applied at most once.
    Propose(ControlProposal),
    /// Act as this member from now on.
    ActAs(MemberKey),
    /// Number of members of the fleet, which share the append budget.
    MembersCounted(usize),
}

impl From<AppendMessage> for AppendEvent {
    fn from(message: AppendMessage) -> Self {
        match message {
            AppendMessage::Propose(proposal) => Self::Propose(proposal),
            AppendMessage::ActAs(author) => Self::ActAs(author),
            AppendMessage::MembersCounted(members) => Self::MembersCounted(members),
        }
    }
}

struct AppendDuty {
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    batcher: AppendBatcher,
}

/// Appends the received proposals until all senders are dropped.
///
/// While the batcher is full, no message is received from the ring, so that a full ring rejects
/// further proposals: a rejected proposal is never appended.
pub async fn run(
    store: Box<dyn LogStore + Send>,
    clock: Arc<dyn ClockSource>,
    batcher: AppendBatcher,
    messages: RingReceiver<AppendMessage>,
) {
    let mut duty = AppendDuty {
        store,
        clock,
        batcher,
    };
    while let Some(event) = duty.next_event(&messages).await {
        duty.handle_event(event).await;
    }
}

impl AppendDuty {
    async fn next_event(&self, messages: &RingReceiver<AppendMessage>) -> Option<AppendEvent> {
        let deadline = self.batcher.next_deadline();
        if let (true, Some(deadline)) = (self.batcher.is_full(), deadline) {
            Timer::at(deadline).await;
            return Some(AppendEvent::TimePassed);
        }
        let message = messages.recv_until(deadline).await.ok()?;
        Some(message.map_or(AppendEvent::TimePassed, AppendEvent::from))
    }

    async fn handle_event(&mut self, event: AppendEvent) {
        let mut commands = self.batcher.handle(self.clock.now(), event);
        while let Some(command) = commands.pop() {
            match command {
                AppendCommand::Append(batch) => {
                    let answer = self.append(batch).await;
                    commands.extend(self.batcher.handle(self.clock.now(), answer));
                }
                AppendCommand::Dropped(count) => {
                    let event = EventCode::ProposalsDropped;
                    tracing::warn!(event = event.number(), count, "proposals dropped");
                }
            }
        }
    }

    async fn append(&self, batch: ControlBatch) -> AppendEvent {
        let record = LogRecord {
            id: record_id(&batch),
            author: batch.author.to_string(),
            written: self.clock.wall(),
            body: RecordBody::Control(batch),
        };
        let bytes = match encode_record(&record) {
            Ok(bytes) => bytes,
            Err(error) => {
                // A retry would fail again, so the batch counts as appended.
                let event = EventCode::AppendFailed;
                tracing::error!(event = event.number(), %error, "failed to encode a record");
                return AppendEvent::Appended;
            }
        };
        metrics::counter!("pw_log_appends_total").increment(1);
        match self.store.append(bytes).await {
            Ok(_) => AppendEvent::Appended,
            Err(error) => {
                let event = EventCode::AppendFailed;
                tracing::warn!(event = event.number(), %error, "append failed");
                AppendEvent::Failed(error)
            }
        }
    }
}

/// Returns the id of the batch's record; a retry has the same id.
fn record_id(batch: &ControlBatch) -> RecordId {
    let number = u128::from(batch.author.incarnation) << u64::BITS | u128::from(batch.sequence);
    batch.author.process ^ number
}
