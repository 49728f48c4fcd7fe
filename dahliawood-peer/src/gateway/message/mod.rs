//! The messages between gateways as plain structs, with their conversion to and from the schema.

use crate::generated::peer_capnp::{
    SightingKind, answer_span, customer_need, customer_share, sighting, space_change, space_key,
};
use capnp::struct_list;
use std::time::Duration;

/// What one customer uses and needs at one VM; all shares are fractions of the customer's limit,
/// 0 to 1, beyond the even fraction that each VM has without an allocation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerNeed {
    /// The customer's name.
    pub customer: String,
    /// Requests per second that arrive at the VM.
    pub demand: f32,
    /// The share that is allocated to the VM now.
    pub share: f32,
    /// The share that the VM used up in the current window.
    pub used: f32,
    /// The share that the VM requests.
    pub wanted: f32,
    /// The share that one request consumes.
    pub per_request: f32,
    /// The sum of all VMs' shares, as a coordinator last reported it.
    pub total: f32,
    /// How long that sum stays valid, milliseconds.
    pub total_left: u32,
    /// The incarnation of that coordinator.
    pub total_coordinator: u64,
    /// How long ago the VM asked for that sum, milliseconds; `None` from VMs that only tell `total_left`.
    pub total_age: Option<u32>,
}

/// The share of a customer's limit that is allocated to a VM, beyond its even fraction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerShare {
    /// The customer's name.
    pub customer: String,
    /// The share, 0 to 1.
    pub share: f32,
    /// The sum of all VMs' shares.
    pub total: f32,
}

/// A VM's report on its customers, sent to the coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own in the message"
)]
pub struct ShareReport {
    /// The VM's name.
    pub from: String,
    /// The incarnation of the VM: different for each start of its process.
    pub incarnation: u64,
    /// How long the VM's process has run.
    pub age: Duration,
    /// Whether the VM has stopped accepting requests.
    pub is_leaving: bool,
    /// The customers that are active at the VM, and those of an earlier coordinator's table.
    pub entries: Vec<CustomerNeed>,
    /// Whether the VM keeps a copy of the coordinator's table.
    pub wants_table: bool,
    /// Whether the VM has a copy of the latest table of an earlier coordinator; the sums in it that still
    /// count are among the entries.
    pub has_table: bool,
    /// Whether VMs are off the VM's list that may be cut off.
    pub has_absent: bool,
}

/// The coordinator's response to a report: the shares that the reporting VM may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareResponse {
    /// Whether the callee is the coordinator, which allocates the shares; the entries of any other
    /// VM are empty.
    pub is_coordinator: bool,
    /// The incarnation of the callee: different for each start of its process.
    pub incarnation: u64,
    /// One share for each customer.
    pub entries: Vec<CustomerShare>,
    /// The sums over all VMs of all customers that have one, if they were asked for and are known.
    pub table: Option<Vec<CustomerShare>>,
}

/// A key of the key space.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspaceEntry {
    /// The key.
    pub key: String,
    /// Revision of the key's last write.
    pub revision: u64,
    /// The value, `None` if the caller already knows this revision, or if it is left out.
    pub value: Option<Vec<u8>>,
    /// Bytes of a value that is left out, to be fetched in parts; zero if none is.
    pub left_out: u32,
}

/// A VM's copy of the key space.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspaceSnapshot {
    /// The revision up to which the callee knows all writes.
    pub revision: u64,
    /// Whether the store has been answering the callee for a while.
    pub is_settled: bool,
    /// All keys that the callee knows.
    pub keys: Vec<KeyspaceEntry>,
    /// When the callee's copy was last known to be current; `None` if others can't rely on it.
    pub date: Option<CopyDate>,
    /// When the store is known to have answered; `None` if nothing is known, and from VMs of earlier
    /// versions.
    pub answers: Option<ToldAnswers>,
}

/// The latest span in which the store is known to have answered anybody without a pause in which leases
/// could end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ToldAnswers {
    /// Milliseconds from the first answer to this response.
    pub since_millis: u32,
    /// Milliseconds from the arrival of the call to the last answer, negative if that was before it.
    pub until_offset_millis: i32,
    /// Whether there was a pause before the span in which leases could end.
    pub is_after_outage: bool,
}

/// When a VM's copy of the key space was last known to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyDate {
    /// Milliseconds from the arrival of the call, negative if before it: clocks of VMs do not agree.
    pub offset_millis: i32,
    /// The same by the callee's clock, to compare with another one of the same callee.
    pub stamp: u64,
}

/// Reads what a VM tells of the store's answers.
pub(crate) fn read_answers(reader: answer_span::Reader<'_>) -> Option<ToldAnswers> {
    reader.get_is_known().then(|| ToldAnswers {
        since_millis: reader.get_since_ms(),
        until_offset_millis: reader.get_until_offset_ms(),
        is_after_outage: reader.get_is_after_outage(),
    })
}

/// Writes what this VM tells of the store's answers.
pub(crate) fn write_answers(answers: Option<ToldAnswers>, mut builder: answer_span::Builder<'_>) {
    let Some(answers) = answers else {
        return;
    };
    builder.set_is_known(true);
    builder.set_since_ms(answers.since_millis);
    builder.set_until_offset_ms(answers.until_offset_millis);
    builder.set_is_after_outage(answers.is_after_outage);
}

/// A call for changes of the key space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesRequest {
    /// The revision after which the caller wants changes.
    pub after: u64,
    /// How long the callee waits if there is no news.
    pub wait: Duration,
    /// Stamp of the date that the callee told last; `None` if a later date is no news to the caller.
    pub known_stamp: Option<u64>,
    /// Whether the callee may leave out long values, which the caller fetches in parts.
    pub takes_parts: bool,
}

/// A call for a part of a key's value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRequest {
    /// The key.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
    /// Bytes of the compressed value before the part.
    pub offset: u32,
    /// The most bytes of the part.
    pub most: u32,
}

/// A part of a key's value, compressed as a zlib stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValuePart {
    /// Bytes of the whole compressed value; zero if the callee does not have it any more.
    pub length: u32,
    /// The bytes.
    pub data: Vec<u8>,
}

/// A change of a key of the key space.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspaceChange {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// The value, `None` if the key was removed, or if the value is left out.
    pub value: Option<Vec<u8>>,
    /// Bytes of a value that is left out, to be fetched in parts; zero if none is.
    pub left_out: u32,
}

/// The response of a VM that was asked for changes of the key space.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesResponse {
    /// The callee's copy does not follow the store at this time.
    NotCurrent,
    /// The callee no longer has all changes since the given revision.
    TooOld,
    /// The changes since the given revision.
    Changes(KeyspaceChanges),
}

/// Changes of the key space since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspaceChanges {
    /// The revision up to which the callee knows all changes.
    pub revision: u64,
    /// How much longer removals of leased keys are to be held back.
    pub settles_in: Duration,
    /// The changes, oldest first.
    pub changes: Vec<KeyspaceChange>,
    /// When the callee's copy was last known to be current; `None` from VMs of earlier versions.
    pub date: Option<CopyDate>,
    /// When the store is known to have answered; `None` if nothing is known, and from VMs of earlier
    /// versions.
    pub answers: Option<ToldAnswers>,
}

/// What a VM saw; times are relative, because clocks of VMs do not agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SightingMessage {
    /// A target's process ended while a request was in flight there.
    Crash {
        /// Identity of the request.
        identity: u128,
        /// Hash of the process.
        process: u64,
        /// How long ago the request was sent to the process.
        sent_ago: Duration,
        /// How long ago the end was noticed.
        seen_ago: Duration,
    },
    /// A request completed.
    Completion {
        /// Identity of the request.
        identity: u128,
        /// How long ago.
        seen_ago: Duration,
    },
    /// A target's process is gone.
    ProcessGone {
        /// Hash of the process.
        process: u64,
        /// How long ago this was noticed.
        seen_ago: Duration,
    },
}

/// Converts the length of a list to the schema's type.
pub(crate) fn list_length(count: usize) -> capnp::Result<u32> {
    u32::try_from(count)
        .map_err(|_| capnp::Error::failed("a list has too many entries for a message".to_owned()))
}

pub(super) fn write_needs(
    entries: &[CustomerNeed],
    mut list: struct_list::Builder<'_, customer_need::Owned>,
) {
    for (index, entry) in (0..list.len()).zip(entries) {
        let mut builder = list.reborrow().get(index);
        builder.set_customer(&entry.customer);
        builder.set_demand(entry.demand);
        builder.set_share(entry.share);
        builder.set_used(entry.used);
        builder.set_want(entry.wanted);
        builder.set_one(entry.per_request);
        builder.set_total(entry.total);
        builder.set_total_left(entry.total_left);
        builder.set_total_head(entry.total_coordinator);
        builder.set_total_age(entry.total_age.map_or(0, |age| age.saturating_add(1)));
    }
}

pub(super) fn read_needs(
    list: struct_list::Reader<'_, customer_need::Owned>,
) -> capnp::Result<Vec<CustomerNeed>> {
    let mut entries = Vec::with_capacity(list.len() as usize);
    for entry in list {
        entries.push(CustomerNeed {
            customer: entry.get_customer()?.to_string()?,
            demand: entry.get_demand(),
            share: entry.get_share(),
            used: entry.get_used(),
            wanted: entry.get_want(),
            per_request: entry.get_one(),
            total: entry.get_total(),
            total_left: entry.get_total_left(),
            total_coordinator: entry.get_total_head(),
            total_age: entry.get_total_age().checked_sub(1),
        });
    }
    Ok(entries)
}

pub(super) fn write_shares(
    entries: &[CustomerShare],
    mut list: struct_list::Builder<'_, customer_share::Owned>,
) {
    for (index, entry) in (0..list.len()).zip(entries) {
        let mut builder = list.reborrow().get(index);
        builder.set_customer(&entry.customer);
        builder.set_share(entry.share);
        builder.set_total(entry.total);
    }
}

pub(super) fn read_shares(
    list: struct_list::Reader<'_, customer_share::Owned>,
) -> capnp::Result<Vec<CustomerShare>> {
    let mut entries = Vec::with_capacity(list.len() as usize);
    for entry in list {
        entries.push(CustomerShare {
            customer: entry.get_customer()?.to_string()?,
            share: entry.get_share(),
            total: entry.get_total(),
        });
    }
    Ok(entries)
}

pub(super) fn write_keys(
    keys: &[KeyspaceEntry],
    mut list: struct_list::Builder<'_, space_key::Owned>,
) {
    for (index, key) in (0..list.len()).zip(keys) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(&key.key);
        builder.set_revision(key.revision);
        match &key.value {
            Some(value) => builder.set_value(value),
            None => builder.set_is_known(true),
        }
        builder.set_left_out(key.left_out);
    }
}

pub(super) fn read_keys(
    list: struct_list::Reader<'_, space_key::Owned>,
) -> capnp::Result<Vec<KeyspaceEntry>> {
    let mut keys = Vec::with_capacity(list.len() as usize);
    for key in list {
        let value = match key.get_is_known() {
            true => None,
            false => Some(key.get_value()?.to_vec()),
        };
        keys.push(KeyspaceEntry {
            key: key.get_key()?.to_string()?,
            revision: key.get_revision(),
            value,
            left_out: key.get_left_out(),
        });
    }
    Ok(keys)
}

pub(super) fn write_changes(
    changes: &[KeyspaceChange],
    mut list: struct_list::Builder<'_, space_change::Owned>,
) {
    for (index, change) in (0..list.len()).zip(changes) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(&change.key);
        builder.set_revision(change.revision);
        match &change.value {
            Some(value) => builder.set_value(value),
            None => builder.set_is_gone(change.left_out == 0),
        }
        builder.set_left_out(change.left_out);
    }
}

pub(super) fn read_changes(
    list: struct_list::Reader<'_, space_change::Owned>,
) -> capnp::Result<Vec<KeyspaceChange>> {
    let mut changes = Vec::with_capacity(list.len() as usize);
    for change in list {
        let left_out = change.get_left_out();
        let value = match change.get_is_gone() || left_out > 0 {
            true => None,
            false => Some(change.get_value()?.to_vec()),
        };
        changes.push(KeyspaceChange {
            key: change.get_key()?.to_string()?,
            revision: change.get_revision(),
            value,
            left_out,
        });
    }
    Ok(changes)
}

pub(super) fn write_sightings(
    entries: &[SightingMessage],
    mut list: struct_list::Builder<'_, sighting::Owned>,
) {
    for (index, entry) in (0..list.len()).zip(entries) {
        write_sighting(entry, list.reborrow().get(index));
    }
}

fn write_sighting(entry: &SightingMessage, mut builder: sighting::Builder<'_>) {
    let (kind, identity, process, sent_ago, seen_ago) = match *entry {
        SightingMessage::Crash {
            identity,
            process,
            sent_ago,
            seen_ago,
        } => (SightingKind::Crash, identity, process, sent_ago, seen_ago),
        SightingMessage::Completion { identity, seen_ago } => (
            SightingKind::Completion,
            identity,
            0,
            Duration::ZERO,
            seen_ago,
        ),
        SightingMessage::ProcessGone { process, seen_ago } => (
            SightingKind::ProcessGone,
            0,
            process,
            Duration::ZERO,
            seen_ago,
        ),
    };
    builder.set_kind(kind);
    builder.set_identity_high((identity >> u64::BITS) as u64);
    builder.set_identity_low(identity as u64);
    builder.set_process(process);
    builder.set_sent_ago_ms(millis(sent_ago));
    builder.set_seen_ago_ms(millis(seen_ago));
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn read_sightings(
    list: struct_list::Reader<'_, sighting::Owned>,
) -> capnp::Result<Vec<SightingMessage>> {
    list.iter().map(read_sighting).collect()
}

fn read_sighting(entry: sighting::Reader<'_>) -> capnp::Result<SightingMessage> {
    let high = u128::from(entry.get_identity_high());
    let identity = high << u64::BITS | u128::from(entry.get_identity_low());
    let process = entry.get_process();
    let seen_ago = Duration::from_millis(entry.get_seen_ago_ms().into());
    Ok(match entry.get_kind()? {
        SightingKind::Crash => SightingMessage::Crash {
            identity,
            process,
            sent_ago: Duration::from_millis(entry.get_sent_ago_ms().into()),
            seen_ago,
        },
        SightingKind::Completion => SightingMessage::Completion { identity, seen_ago },
        SightingKind::ProcessGone => SightingMessage::ProcessGone { process, seen_ago },
    })
}
