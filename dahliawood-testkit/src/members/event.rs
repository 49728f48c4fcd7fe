//! The event queue of the simulation, ordered by time.

use dahliawood_membership::message::MemberMessage;
use dahliawood_model::stamp::TimeStamp;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An event of one VM.
#[derive(Clone, Debug)]
pub(super) enum FleetEvent {
    /// The VM's table ticks, if that incarnation still runs.
    Tick { vm: usize, incarnation: u64 },
    /// The VM reads the live list, if that incarnation still runs.
    ReadList { vm: usize, incarnation: u64 },
    /// A message from another VM arrives.
    Deliver {
        vm: usize,
        from: usize,
        message: Arc<MemberMessage>,
    },
}

impl FleetEvent {
    /// The VM that handles the event.
    pub(super) fn vm(&self) -> usize {
        match self {
            Self::Tick { vm, .. } | Self::ReadList { vm, .. } | Self::Deliver { vm, .. } => *vm,
        }
    }
}

/// Pending events, earliest first; events with the same time keep the order in which they were
/// added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BTreeMap<Reverse<(TimeStamp, u64)>, FleetEvent>,
    added: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn add(&mut self, at: TimeStamp, event: FleetEvent) {
        self.added += 1;
        self.events.insert(Reverse((at, self.added)), event);
    }

    /// Removes and returns the next event with its time, if that time is not later than `until`.
    pub(super) fn pop_until(&mut self, until: TimeStamp) -> Option<(TimeStamp, FleetEvent)> {
        let (Reverse((at, _)), _) = self.events.last_key_value()?;
        if *at > until {
            return None;
        }
        let (Reverse((at, _)), event) = self.events.pop_last()?;
        Some((at, event))
    }
}
