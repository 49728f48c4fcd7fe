//! The VM's own time line: records an event in the ring and writes its line to the log.

use crate::clock;
use dahliawood_events::{clock as hybrid, kind, ring};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Events that a VM keeps; at a few hundred bytes each this stays well under a megabyte.
const RING_EVENTS: usize = 2_048;

/// The ring and the clock that orders it, behind one lock.
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
    /// An empty log of `vm`.
    pub fn new(vm: &str) -> Self {
        let ring = ring::EventRing::new(vm, RING_EVENTS);
        Self {
            inner: Mutex::new(LogState {
                ring,
                clock: hybrid::HybridClock::default(),
            }),
        }
    }

    /// Records an event now.
    pub fn record(&self, kind: kind::EventKind) {
        let mut state = self.lock();
        let stamp = state.clock.tick(clock::wall_micros());
        let event = state.ring.record(stamp, kind);
        log::info!("{event}");
    }

    /// Follows a clock reading that another VM sent.
    pub fn follow(&self, stamp: hybrid::HybridStamp) {
        self.lock().clock.observe(stamp, clock::wall_micros());
    }

    /// A reading to send to another VM.
    pub fn stamp(&self) -> hybrid::HybridStamp {
        self.lock().clock.tick(clock::wall_micros())
    }

    /// At most `most` events after position `after`.
    pub fn page(&self, after: u64, most: usize) -> ring::RingPage {
        self.lock().ring.page(after, most)
    }

    /// The state; a thread that panicked while it held the lock left it whole.
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
