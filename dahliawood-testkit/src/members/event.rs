//! What happens, in the order of its time.

use dahliawood_membership::message::MemberMessage;
use dahliawood_model::stamp::TimeStamp;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One thing that happens to a VM.
#[derive(Clone, Debug)]
pub(super) enum FleetEvent {
    /// It ticks, if that life still runs.
    Tick { vm: usize, life: u64 },
    /// It reads the live list, if that life still runs.
    Read { vm: usize, life: u64 },
    /// A message arrives.
    Deliver {
        vm: usize,
        from: usize,
        message: Arc<MemberMessage>,
    },
}

impl FleetEvent {
    /// To which VM it happens.
    pub(super) fn vm(&self) -> usize {
        match self {
            Self::Tick { vm, .. } | Self::Read { vm, .. } | Self::Deliver { vm, .. } => *vm,
        }
    }
}

/// All that is to happen; what has the same time happens in the order of its adding.
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

    /// Takes the next event, if it is not later than `until`.
    pub(super) fn next_until(&mut self, until: TimeStamp) -> Option<(TimeStamp, FleetEvent)> {
        let (Reverse((at, _)), _) = self.events.last_key_value()?;
        if *at > until {
            return None;
        }
        let (Reverse((at, _)), event) = self.events.pop_last()?;
        Some((at, event))
    }
}
