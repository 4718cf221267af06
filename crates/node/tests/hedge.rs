//! Hedged appends to a store that is fast, is slow, or loses answers.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::{self, BoxedLocal, FutureExt};
use pw_base::prelude::*;
use pw_node::hedge::{AppendResult, append_hedged};
use pw_node::links::StoreFault;
use pw_node::timeout::AppendTimeout;

fn timeout() -> AppendTimeout {
    AppendTimeout::new(Duration::from_millis(20), Duration::from_millis(200))
}

/// Runs an append whose attempt number `n` returns `answer(n)`; returns the result, whether it is
/// in doubt, and the number of attempts.
fn append(answer: impl Fn(usize) -> BoxedLocal<AppendResult>) -> (AppendResult, bool, usize) {
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock);
    let attempts = Rc::new(Cell::new(0));
    let attempt = || {
        let number = attempts.get();
        attempts.set(number + 1);
        answer(number)
    };
    let timeout = timeout();
    let outcome = future::block_on(append_hedged(attempt, &timeout, &clock));
    (outcome.result, outcome.in_doubt, attempts.get())
}

fn after(millis: u64, result: AppendResult) -> BoxedLocal<AppendResult> {
    async move {
        Timer::after(Duration::from_millis(millis)).await;
        result
    }
    .boxed_local()
}

#[test]
fn a_fast_answer_needs_one_attempt() {
    let (result, in_doubt, attempts) = append(|_| after(0, Ok(7)));
    assert_eq!((result, in_doubt, attempts), (Ok(7), false, 1));
}

#[test]
fn a_lost_answer_is_followed_by_another_attempt() {
    let lost = |number| {
        if number == 0 {
            future::pending().boxed_local()
        } else {
            after(0, Ok(7))
        }
    };
    let (result, _, attempts) = append(lost);
    assert_eq!((result, attempts), (Ok(7), 2));
}

/// The first attempt is answered long after the second one was sent.
#[test]
fn a_slow_answer_is_accepted_after_a_repeat() {
    let slow = |number| {
        if number == 0 {
            after(150, Ok(7))
        } else {
            future::pending().boxed_local()
        }
    };
    let (result, _, attempts) = append(slow);
    assert_eq!(result, Ok(7));
    assert!(attempts > 1);
}

#[test]
fn a_rejection_after_an_unanswered_attempt_is_in_doubt() {
    let fault = |number| match number {
        0 => after(60, Err(StoreFault::Unanswered)),
        _ => after(0, Err(StoreFault::Rejected(503))),
    };
    let (result, in_doubt, _) = append(fault);
    assert!(result.is_err());
    assert!(in_doubt, "the first attempt may have been executed");
}

#[test]
fn a_single_rejection_is_not_in_doubt() {
    let (result, in_doubt, attempts) = append(|_| after(0, Err(StoreFault::Rejected(503))));
    assert_eq!(result, Err(StoreFault::Rejected(503)));
    assert!(!in_doubt);
    assert_eq!(attempts, 1);
}
