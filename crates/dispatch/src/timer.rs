//! Things that fall due in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Entries below which a heap is not compacted.
const MIN_COMPACTED_LEN: usize = 64;

/// Heap of things by the time at which they fall due.
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
    /// Adds a item that falls due at `at`.
    pub fn push(&mut self, at: Instant, item: T) {
        self.heap.push(Reverse((at, item)));
    }

    /// Takes the next item that has fallen due by `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, item))| item)
    }

    /// Returns when the next item falls due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Drops the things that are no longer needed once they are more than half of the heap.
    pub fn compact(&mut self, needed: usize, is_needed: impl Fn(&T) -> bool) {
        if self.heap.len() > MIN_COMPACTED_LEN + 2 * needed {
            self.heap.retain(|Reverse((_, item))| is_needed(item));
        }
    }
}
