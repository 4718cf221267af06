//! Priority queue of deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Heap length below which no compaction takes place.
const MIN_COMPACTED_LEN: usize = 64;

/// Min-heap of items by the time at which they are due.
#[derive(Debug)]
pub struct TimerHeap<T> {
    heap: BinaryHeap<Reverse<(Instant, T)>>,
}

impl<T: Ord> Default for TimerHeap<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
        }
    }
}

impl<T: Ord> TimerHeap<T> {
    /// Adds an item that is due at `at`.
    pub fn push(&mut self, at: Instant, item: T) {
        self.heap.push(Reverse((at, item)));
    }

    /// Removes and returns the earliest item that is due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, item))| item)
    }

    /// Returns when the next item is due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Drops the items that are no longer needed once they are more than half of the heap.
    pub fn compact(&mut self, needed: usize, is_needed: impl Fn(&T) -> bool) {
        if self.heap.len() > MIN_COMPACTED_LEN + 2 * needed {
            self.heap.retain(|Reverse((_, item))| is_needed(item));
        }
    }
}
