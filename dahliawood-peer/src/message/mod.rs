//! The messages of the schema as plain structs, and how they are written and read.

use crate::generated::peer_capnp;

/// What one VM says of itself, and whom it heard.
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
    /// The VMs that the sender hears.
    pub heard: Vec<HeardVm>,
}

/// That a VM was heard, and how long ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeardVm {
    /// Its name.
    pub name: String,
    /// The incarnation that was heard.
    pub incarnation: u64,
    /// Milliseconds since.
    pub age_millis: u32,
}

/// An accepted file with its place in the order of revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigText {
    /// Its revision number.
    pub revision: u64,
    /// Its content hash, hexadecimal.
    pub hash: String,
    /// The write that brought it.
    pub write_id: String,
    /// The file itself.
    pub text: String,
}

/// A page of a VM's events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Events as JSON, oldest first.
    pub events: Vec<String>,
    /// Where the next page starts.
    pub next: u64,
    /// Events after the asked position that the ring no longer holds.
    pub lost: u64,
}

/// Writes a beat.
///
/// # Errors
/// Fails where a list is too long for a message.
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
        .map_err(|_| capnp::Error::failed("too many VMs in one beat".to_owned()))?;
    let mut list = builder.init_heard(count);
    for (index, heard) in (0..count).zip(&beat.heard) {
        let mut entry = list.reborrow().get(index);
        entry.set_name(&heard.name);
        entry.set_incarnation(heard.incarnation);
        entry.set_age_millis(heard.age_millis);
    }
    Ok(())
}

/// Reads a beat.
///
/// # Errors
/// Fails where the message is malformed.
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
