//! The messages by which gateways share the loads of targets.

use crate::gateway::message;
use crate::generated::peer_capnp::{gateway_peer, load_entry};
use capnp::struct_list;

/// The load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadMessage {
    /// Hash of the target's process.
    pub process: u64,
    /// Requests running.
    pub running: u8,
    /// Maximum number of requests that run.
    pub slots: u8,
    /// Requests queued.
    pub waiting: u16,
    /// Upper bound on the age when it was sent, milliseconds.
    pub age_millis: u16,
    /// How long work takes, in hundredths of the usual time; 0 if the target did not say.
    pub pace: u16,
}

/// A call to a collector.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadsRequest {
    /// Hash of the caller's name.
    pub caller: u64,
    /// Whether the caller collects for another region.
    pub is_collector: bool,
    /// Incarnation of the callee to which `position` and `clock` belong, 0 if there is none.
    pub incarnation: u64,
    /// How far the callee's log was read.
    pub position: u64,
    /// The callee's clock when this was sent, at the least, microseconds.
    pub clock: u64,
    /// What the caller tells.
    pub entries: Vec<LoadMessage>,
}

/// The response to a [`LoadsRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadsResponse {
    /// Whether the callee collects; if not, the rest is empty.
    pub is_serving: bool,
    /// Incarnation of the callee.
    pub incarnation: u64,
    /// How far the callee's log has been read now.
    pub position: u64,
    /// The callee's clock, microseconds.
    pub clock: u64,
    /// What the callee tells.
    pub entries: Vec<LoadMessage>,
}

impl LoadsRequest {
    pub(super) fn write(
        &self,
        mut builder: gateway_peer::loads_params::Builder<'_>,
    ) -> capnp::Result<()> {
        builder.set_caller(self.caller);
        builder.set_is_collector(self.is_collector);
        builder.set_life(self.incarnation);
        builder.set_after(self.position);
        builder.set_clock(self.clock);
        let count = message::list_length(self.entries.len())?;
        write_entries(&self.entries, builder.init_entries(count));
        Ok(())
    }

    pub(super) fn read(reader: gateway_peer::loads_params::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            caller: reader.get_caller(),
            is_collector: reader.get_is_collector(),
            incarnation: reader.get_life(),
            position: reader.get_after(),
            clock: reader.get_clock(),
            entries: read_entries(reader.get_entries()?),
        })
    }
}

impl LoadsResponse {
    pub(super) fn write(
        &self,
        mut builder: gateway_peer::loads_results::Builder<'_>,
    ) -> capnp::Result<()> {
        builder.set_is_serving(self.is_serving);
        builder.set_life(self.incarnation);
        builder.set_next(self.position);
        builder.set_clock(self.clock);
        let count = message::list_length(self.entries.len())?;
        write_entries(&self.entries, builder.init_entries(count));
        Ok(())
    }

    pub(super) fn read(reader: gateway_peer::loads_results::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            is_serving: reader.get_is_serving(),
            incarnation: reader.get_life(),
            position: reader.get_next(),
            clock: reader.get_clock(),
            entries: read_entries(reader.get_entries()?),
        })
    }
}

fn write_entries(entries: &[LoadMessage], mut list: struct_list::Builder<'_, load_entry::Owned>) {
    for (index, entry) in (0..list.len()).zip(entries) {
        let mut builder = list.reborrow().get(index);
        builder.set_process(entry.process);
        builder.set_running(entry.running);
        builder.set_slots(entry.slots);
        builder.set_waiting(entry.waiting);
        builder.set_age_ms(entry.age_millis);
        builder.set_pace(entry.pace);
    }
}

fn read_entries(list: struct_list::Reader<'_, load_entry::Owned>) -> Vec<LoadMessage> {
    let entries = list.iter().map(|entry| LoadMessage {
        process: entry.get_process(),
        running: entry.get_running(),
        slots: entry.get_slots(),
        waiting: entry.get_waiting(),
        age_millis: entry.get_age_ms(),
        pace: entry.get_pace(),
    });
    entries.collect()
}
