//! A bounded ring buffer of events. Positions tell a reader how many events it has missed.

use crate::{clock, kind};
use std::collections::VecDeque;

/// One event of one VM.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{stamp} {vm} {kind}")]
pub struct TimedEvent {
    /// Hybrid logical time of the event.
    pub stamp: clock::HybridStamp,
    /// Name of the VM that recorded the event.
    pub vm: String,
    /// Position in the log of that VM, counted from 1.
    pub position: u64,
    /// What happened.
    #[serde(flatten)]
    pub kind: kind::EventKind,
}

/// The most recent events of one process.
#[derive(Debug)]
pub struct EventRing {
    vm: String,
    capacity: usize,
    events: VecDeque<TimedEvent>,
    recorded: u64,
}

/// One page of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingPage {
    /// Events, oldest first.
    pub events: Vec<TimedEvent>,
    /// The position to pass as `after` in the next call.
    pub next: u64,
    /// Number of events after the requested position that the ring has already dropped.
    pub lost: u64,
}

impl EventRing {
    /// An empty ring for the events of `vm`, with room for `capacity` events.
    pub fn new(vm: impl Into<String>, capacity: usize) -> Self {
        Self {
            vm: vm.into(),
            capacity,
            events: VecDeque::new(),
            recorded: 0,
        }
    }

    /// Records an event. If the ring is full, the oldest event is dropped.
    pub fn record(&mut self, stamp: clock::HybridStamp, kind: kind::EventKind) -> &TimedEvent {
        if self.events.len() >= self.capacity.max(1) {
            self.events.pop_front();
        }
        self.recorded += 1;
        let event = TimedEvent {
            stamp,
            vm: self.vm.clone(),
            position: self.recorded,
            kind,
        };
        self.events.push_back(event);
        &self.events[self.events.len() - 1]
    }

    /// Returns at most `limit` events after position `after`, oldest first.
    ///
    /// A position beyond the last recorded one belongs to an earlier incarnation of the VM; the
    /// page then starts with the oldest event in the ring.
    pub fn page(&self, after: u64, limit: usize) -> RingPage {
        let after = if after > self.recorded { 0 } else { after };
        let first = self.recorded - self.events.len() as u64;
        let skip = after.saturating_sub(first) as usize;
        let events: Vec<_> = self.events.iter().skip(skip).take(limit).cloned().collect();
        let next = events
            .last()
            .map_or(after.max(first), |event| event.position);
        RingPage {
            events,
            next,
            lost: first.saturating_sub(after),
        }
    }
}
