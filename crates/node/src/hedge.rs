//! Hedged appends: an append is sent again while earlier attempts are still in flight.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use pw_base::prelude::*;

use crate::links::StoreFault;
use crate::timeout::AppendTimeout;

/// Attempts of one append that may be in flight at the same time.
const MAX_IN_FLIGHT: usize = 4;

/// Result of one append.
pub type AppendResult = Result<LogOffset, StoreFault>;

/// Outcome of an append and its repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HedgeOutcome {
    /// The first success or, without one, the last fault.
    pub result: AppendResult,
    /// An attempt got no answer, so the append may have been executed despite a fault.
    pub in_doubt: bool,
}

struct PendingAttempt {
    sent_at: Instant,
    future: BoxedLocal<AppendResult>,
}

/// Sends an append, and again after each timeout without an answer; the first success counts.
///
/// The append must be idempotent. A lost answer costs one timeout, and a slow answer is still
/// accepted after a repeat was sent.
pub async fn append_hedged(
    attempt: impl Fn() -> BoxedLocal<AppendResult>,
    timeout: &AppendTimeout,
    clock: &Arc<dyn ClockSource>,
) -> HedgeOutcome {
    let start_attempt = || PendingAttempt {
        sent_at: clock.now(),
        future: attempt(),
    };
    let mut in_flight = vec![start_attempt()];
    let mut in_doubt = false;
    loop {
        let timed_out = async {
            Timer::after(timeout.wait()).await;
            None
        };
        let answered = async { Some(next_answer(&mut in_flight).await) };
        let Some((sent_at, result)) = future::or(answered, timed_out).await else {
            timeout.record_timeout();
            if in_flight.len() < MAX_IN_FLIGHT {
                in_flight.push(start_attempt());
            }
            continue;
        };
        match result {
            Ok(offset) => {
                let time = clock.now().saturating_duration_since(sent_at);
                timeout.record_answer(time);
                metrics::histogram!("pw_store_append_seconds").record(time);
                let result = Ok(offset);
                return HedgeOutcome { result, in_doubt };
            }
            Err(fault) => {
                metrics::counter!("pw_store_append_faults_total").increment(1);
                in_doubt |= fault == StoreFault::Unanswered;
                if in_flight.is_empty() {
                    let result = Err(fault);
                    return HedgeOutcome { result, in_doubt };
                }
            }
        }
    }
}

/// Waits for the next answer to any attempt and removes that attempt.
async fn next_answer(in_flight: &mut Vec<PendingAttempt>) -> (Instant, AppendResult) {
    poll_fn(|context| {
        for index in 0..in_flight.len() {
            if let Poll::Ready(result) = in_flight[index].future.poll(context) {
                let attempt = in_flight.swap_remove(index);
                return Poll::Ready((attempt.sent_at, result));
            }
        }
        Poll::Pending
    })
    .await
}
