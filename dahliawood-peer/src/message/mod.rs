//! Heartbeats, configuration files and event pages as plain structs, with the conversion of
//! heartbeats to and from the schema.

use crate::generated::peer_capnp;

/// A heartbeat: the state of the sender, and the VMs that it hears.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmBeat {
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation: higher for each start of a VM of that name.
    pub incarnation: u64,
    /// The highest revision in force at the sender, 0 for none.
    pub revision: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The sender's hybrid logical clock, microseconds since the Unix epoch.
    pub clock: u64,
    /// The VMs from which the sender receives heartbeats.
    pub heard: Vec<HeardVm>,
}

/// A VM that the sender of a heartbeat hears, and when it last did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeardVm {
    /// The name of the VM.
    pub name: String,
    /// The incarnation of the VM that was heard.
    pub incarnation: u64,
    /// Milliseconds since the sender last heard the VM.
    pub age_millis: u32,
}

/// An accepted configuration file and its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigText {
    /// The revision number.
    pub revision: u64,
    /// The content hash, hexadecimal.
    pub hash: String,
    /// Id of the write that submitted the file.
    pub write_id: String,
    /// The content of the file.
    pub text: String,
}

/// A page of a VM's events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Events as JSON, oldest first.
    pub events: Vec<String>,
    /// The position at which the next page starts.
    pub next: u64,
    /// Number of events after the requested position that the ring buffer no longer holds.
    pub lost: u64,
}

/// Encodes a heartbeat.
///
/// # Errors
/// Fails if a list has too many entries for a message.
pub(crate) fn write_beat(
    beat: &VmBeat,
    mut builder: peer_capnp::vm_beat::Builder<'_>,
) -> capnp::Result<()> {
    builder.set_name(&beat.name);
    builder.set_incarnation(beat.incarnation);
    builder.set_revision(beat.revision);
    builder.set_leaving(beat.leaving);
    builder.set_clock(beat.clock);
    let count = u32::try_from(beat.heard.len())
        .map_err(|_| capnp::Error::failed("too many VMs in one heartbeat".to_owned()))?;
    let mut list = builder.init_heard(count);
    for (index, heard) in (0..count).zip(&beat.heard) {
        let mut entry = list.reborrow().get(index);
        entry.set_name(&heard.name);
        entry.set_incarnation(heard.incarnation);
        entry.set_age_millis(heard.age_millis);
    }
    Ok(())
}

/// Decodes a heartbeat.
///
/// # Errors
/// Fails if the message is malformed.
pub(crate) fn read_beat(reader: peer_capnp::vm_beat::Reader<'_>) -> capnp::Result<VmBeat> {
    let mut heard = Vec::new();
    for entry in reader.get_heard()? {
        heard.push(HeardVm {
            name: entry.get_name()?.to_string()?,
            incarnation: entry.get_incarnation(),
            age_millis: entry.get_age_millis(),
        });
    }
    Ok(VmBeat {
        name: reader.get_name()?.to_string()?,
        incarnation: reader.get_incarnation(),
        revision: reader.get_revision(),
        leaving: reader.get_leaving(),
        clock: reader.get_clock(),
        heard,
    })
}
