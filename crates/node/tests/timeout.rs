//! Append timeouts for a store that is fast, is slow, or loses answers.

use std::time::Duration;

use pw_node::timeout::AppendTimeout;

const SHORTEST: Duration = Duration::from_millis(150);
const LONGEST: Duration = Duration::from_millis(1500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_timeout_is_short_for_a_fast_store() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    for _ in 0..30 {
        timeout.record_answer(millis(6));
    }
    assert_eq!(timeout.wait(), SHORTEST);
}

/// Half of the answers are lost: each append needs two attempts, and each loss costs the timeout.
#[test]
fn lost_answers_of_a_fast_store_cost_the_shortest_timeout() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    let mut waited = Duration::ZERO;
    for _ in 0..10 {
        waited += timeout.wait();
        timeout.record_timeout();
        timeout.record_answer(millis(6));
    }
    assert!(waited <= 10 * SHORTEST, "{waited:?} for ten appends");
}

/// Answers take 400 ms: only the first appends may be repeated.
#[test]
fn the_timeout_grows_for_a_slow_store() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    let answer = millis(400);
    let mut repeated = 0;
    for _ in 0..20 {
        while timeout.wait() < answer {
            timeout.record_timeout();
            repeated += 1;
        }
        timeout.record_answer(answer);
    }
    assert!(repeated <= 3, "{repeated} appends were repeated in vain");
}

#[test]
fn the_timeout_is_longest_for_an_unreachable_store() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    for _ in 0..100 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.wait(), LONGEST);
}
