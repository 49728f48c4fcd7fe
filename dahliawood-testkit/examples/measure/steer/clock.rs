//! Events in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events to come, the earliest first and those of one time in order of insertion.
pub struct EventClock<E> {
    heap: BinaryHeap<Reverse<(u64, u64, E)>>,
    inserted: u64,
}

impl<E: Ord> EventClock<E> {
    /// No events.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted: 0,
        }
    }

    /// Adds an event at a time in microseconds.
    pub fn at(&mut self, time_us: u64, event: E) {
        self.inserted += 1;
        self.heap.push(Reverse((time_us, self.inserted, event)));
    }

    /// The next event with its time.
    pub fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((time_us, _, event)) = self.heap.pop()?;
        Some((time_us, event))
    }
}
