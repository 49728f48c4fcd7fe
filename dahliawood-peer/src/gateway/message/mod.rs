//! The messages of the schema as plain structs, and how they are written and read.

use crate::generated::peer_capnp::{customer_need, customer_share, space_key};
use capnp::struct_list;
use std::time::Duration;

/// A customer at one VM; all parts are of the customer's limit, 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerNeed {
    /// The customer's name.
    pub customer: String,
    /// Requests a second that are asked for there.
    pub demand: f32,
    /// The part that the VM may use now.
    pub share: f32,
    /// What it used up in the window.
    pub used: f32,
    /// What it wants to hold.
    pub want: f32,
    /// The part that one request takes.
    pub one: f32,
    /// What a head last told that all VMs held.
    pub total: f32,
    /// How long that still counts, milliseconds.
    pub total_left: u32,
    /// The life of that head.
    pub total_head: u64,
}

/// The part of a customer's limit that a VM may use from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerShare {
    /// The customer's name.
    pub customer: String,
    /// The part, 0 to 1.
    pub share: f32,
    /// What all VMs together hold.
    pub total: f32,
}

/// What a VM reports of its customers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareReport {
    /// The VM's name.
    pub from: String,
    /// Different for each start of its process.
    pub life: u64,
    /// How long its process has run.
    pub age: Duration,
    /// Whether it has stopped taking requests.
    pub is_leaving: bool,
    /// Its customers.
    pub entries: Vec<CustomerNeed>,
}

/// The shares that a VM may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareAnswer {
    /// Whether the callee gives shares out; where it does not, the entries are empty.
    pub is_head: bool,
    /// Different for each start of the callee's process.
    pub life: u64,
    /// A share for each customer.
    pub entries: Vec<CustomerShare>,
}

/// A key of the key space.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpaceKey {
    /// The key.
    pub key: String,
    /// Revision of its last write.
    pub revision: u64,
    /// Its bytes, `None` where the caller knows this revision.
    pub value: Option<Vec<u8>>,
}

/// What a VM knows of the key space.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SpaceAnswer {
    /// The revision up to which the callee knows everything.
    pub revision: u64,
    /// Whether the store answers the callee, and has for a while.
    pub is_settled: bool,
    /// All keys that the callee knows.
    pub keys: Vec<SpaceKey>,
}

/// The length of a list as the schema counts it.
pub(super) fn length(count: usize) -> capnp::Result<u32> {
    u32::try_from(count).map_err(|_| capnp::Error::failed("a list is too long".to_owned()))
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
        builder.set_want(entry.want);
        builder.set_one(entry.one);
        builder.set_total(entry.total);
        builder.set_total_left(entry.total_left);
        builder.set_total_head(entry.total_head);
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
            want: entry.get_want(),
            one: entry.get_one(),
            total: entry.get_total(),
            total_left: entry.get_total_left(),
            total_head: entry.get_total_head(),
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

pub(super) fn write_keys(keys: &[SpaceKey], mut list: struct_list::Builder<'_, space_key::Owned>) {
    for (index, key) in (0..list.len()).zip(keys) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(&key.key);
        builder.set_revision(key.revision);
        match &key.value {
            Some(value) => builder.set_value(value),
            None => builder.set_is_known(true),
        }
    }
}

pub(super) fn read_keys(
    list: struct_list::Reader<'_, space_key::Owned>,
) -> capnp::Result<Vec<SpaceKey>> {
    let mut keys = Vec::with_capacity(list.len() as usize);
    for key in list {
        let value = match key.get_is_known() {
            true => None,
            false => Some(key.get_value()?.to_vec()),
        };
        keys.push(SpaceKey {
            key: key.get_key()?.to_string()?,
            revision: key.get_revision(),
            value,
        });
    }
    Ok(keys)
}
