//! Paces what fills beside tasks that serve, so that their response times keep their bound.

use std::time::Duration;

/// Part of the bound above which fillers are stopped. Tails lag by half a second, and a task may be
/// over its bound for a few seconds only.
const SLOW_DOWN_PART: f64 = 0.9;
/// Part of the bound below which fillers get faster.
const SPEED_UP_PART: f64 = 0.6;
/// Step by which fillers get faster, in percent of full speed.
const SPEED_UP_STEP: u8 = 25;
/// Full speed in percent.
pub const FULL_PACE: u8 = 100;

/// Returns the pace of the fillers on a worker, in percent, after the worst of its serving tasks
/// had the tail `tail` under the bound `target`.
pub fn next_pace(pace: u8, tail: Duration, target: Duration) -> u8 {
    if tail > target.mul_f64(SLOW_DOWN_PART) {
        if tail > target { 0 } else { pace / 2 }
    } else if tail < target.mul_f64(SPEED_UP_PART) {
        pace.saturating_add(SPEED_UP_STEP).min(FULL_PACE)
    } else {
        pace
    }
}
