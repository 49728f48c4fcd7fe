//! The VM's event log: records each event in a ring buffer and writes it to the log.

use crate::clock;
use dahliawood_events::{clock as hybrid, kind, ring};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of events that a VM keeps; at a few hundred bytes each, they take well under a megabyte.
const RING_EVENTS: usize = 2_048;

/// The ring buffer of events and the hybrid clock that orders them, behind one lock.
#[derive(Debug)]
pub struct EventLog {
    inner: Mutex<LogState>,
}

#[derive(Debug)]
struct LogState {
    ring: ring::EventRing,
    clock: hybrid::HybridClock,
}

impl EventLog {
    /// Creates the empty event log of `vm`.
    pub fn new(vm: &str) -> Self {
        let ring = ring::EventRing::new(vm, RING_EVENTS);
        Self {
            inner: Mutex::new(LogState {
                ring,
                clock: hybrid::HybridClock::default(),
            }),
        }
    }

    /// Records an event with the current time.
    pub fn record(&self, kind: kind::EventKind) {
        let mut state = self.lock();
        let stamp = state.clock.tick(clock::wall_micros());
        let event = state.ring.record(stamp, kind);
        log::info!("{event}");
    }

    /// Advances the hybrid clock to a reading that another VM sent.
    pub fn follow(&self, stamp: hybrid::HybridStamp) {
        self.lock().clock.observe(stamp, clock::wall_micros());
    }

    /// A reading of the hybrid clock, to be sent to another VM.
    pub fn stamp(&self) -> hybrid::HybridStamp {
        self.lock().clock.tick(clock::wall_micros())
    }

    /// Returns at most `max_events` events after position `after`.
    pub fn page(&self, after: u64, max_events: usize) -> ring::RingPage {
        self.lock().ring.page(after, max_events)
    }

    /// Locks the state. A poisoned lock is used as is, because a panic leaves the state consistent.
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
