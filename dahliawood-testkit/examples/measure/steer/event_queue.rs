//! The event queue of a simulation in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending events, the earliest first; events of the same time in order of insertion.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64, E)>>,
    inserted: u64,
}

impl<E: Ord> EventQueue<E> {
    /// A queue without events.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted: 0,
        }
    }

    /// Schedules an event at `time_us`, in microseconds.
    pub fn schedule(&mut self, time_us: u64, event: E) {
        self.inserted += 1;
        self.heap.push(Reverse((time_us, self.inserted, event)));
    }

    /// Removes the next event and returns it with its time in microseconds.
    pub fn next(&mut self) -> Option<(u64, E)> {
        let Reverse((time_us, _, event)) = self.heap.pop()?;
        Some((time_us, event))
    }
}
