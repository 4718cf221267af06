//! Waits for answers of a store that is quick, slow, or loses answers.

use std::time::Duration;

use pw_node::timeout::AppendTimeout;

const SHORTEST: Duration = Duration::from_millis(150);
const LONGEST: Duration = Duration::from_millis(1500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_quick_store_is_not_waited_for_long() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    for _ in 0..30 {
        timeout.record_answer(millis(6));
    }
    assert_eq!(timeout.wait(), SHORTEST);
}

/// Half of the answers are lost; each append needs two tries, and each lost try costs the wait.
#[test]
fn lost_answers_of_a_quick_store_hold_up_little() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    let mut waited = Duration::ZERO;
    for _ in 0..10 {
        waited += timeout.wait();
        timeout.record_timeout();
        timeout.record_answer(millis(6));
    }
    assert!(waited <= 10 * SHORTEST, "{waited:?} for ten appends");
}

/// Answers take 400 ms; after the first appends none is repeated any more.
#[test]
fn a_slow_store_is_waited_for() {
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
fn a_silent_store_is_asked_at_the_longest_wait() {
    let timeout = AppendTimeout::new(SHORTEST, LONGEST);
    for _ in 0..100 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.wait(), LONGEST);
}
