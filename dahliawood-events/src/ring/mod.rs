//! A bounded ring of events with positions, so that a reader learns of what it missed.

use crate::{clock, kind};
use std::collections::VecDeque;

/// One event of one VM.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{stamp} {vm} {kind}")]
pub struct TimedEvent {
    /// When, by the hybrid logical clock.
    pub stamp: clock::HybridStamp,
    /// Which VM's.
    pub vm: String,
    /// Position in that VM's ring, from 1.
    pub position: u64,
    /// What.
    #[serde(flatten)]
    pub kind: kind::EventKind,
}

/// The last events of one process.
#[derive(Debug)]
pub struct EventRing {
    vm: String,
    capacity: usize,
    events: VecDeque<TimedEvent>,
    recorded: u64,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingPage {
    /// Events in order.
    pub events: Vec<TimedEvent>,
    /// The position to ask after next.
    pub next: u64,
    /// Events after the asked position that the ring no longer holds.
    pub lost: u64,
}

impl EventRing {
    /// A ring of `vm` that holds at most `capacity` events.
    pub fn new(vm: impl Into<String>, capacity: usize) -> Self {
        Self {
            vm: vm.into(),
            capacity,
            events: VecDeque::new(),
            recorded: 0,
        }
    }

    /// Records an event and drops the oldest where the ring is full.
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

    /// At most `most` events after position `after`, oldest first.
    ///
    /// A position that the ring never reached is one of an earlier incarnation: all that the ring
    /// holds is given.
    pub fn page(&self, after: u64, most: usize) -> RingPage {
        let after = if after > self.recorded { 0 } else { after };
        let first = self.recorded - self.events.len() as u64;
        let skip = after.saturating_sub(first) as usize;
        let events: Vec<_> = self.events.iter().skip(skip).take(most).cloned().collect();
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
