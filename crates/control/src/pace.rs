//! Throttling of best-effort tasks, so that the serving tasks beside them meet their target
//! latency.

use std::time::Duration;

/// Fraction of the target latency above which best-effort tasks slow down. Tail latencies lag by
/// half a second, and a task may exceed its target for a few seconds only, so the reaction starts
/// below the target.
const SLOW_DOWN_FRACTION: f64 = 0.9;
/// Fraction of the target latency below which best-effort tasks speed up.
const SPEED_UP_FRACTION: f64 = 0.6;
/// Increment by which best-effort tasks speed up, in percent of full speed.
const SPEED_UP_STEP: u8 = 25;
/// Pace of a run at full speed, in percent.
pub const FULL_PACE: u8 = 100;

/// Returns the next pace of the best-effort tasks on a worker, in percent, given the tail latency
/// `tail` and the target latency `target` of the serving task with the highest ratio of the two.
pub fn next_pace(pace: u8, tail: Duration, target: Duration) -> u8 {
    if tail > target.mul_f64(SLOW_DOWN_FRACTION) {
        if tail > target { 0 } else { pace / 2 }
    } else if tail < target.mul_f64(SPEED_UP_FRACTION) {
        pace.saturating_add(SPEED_UP_STEP).min(FULL_PACE)
    } else {
        pace
    }
}
