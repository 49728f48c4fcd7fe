//! Edits that grant, rotate and withdraw customers' keys.

use crate::edit::{EditError, error, layout};
use crate::keys;
use dahliawood_model::tables;
use snafu::OptionExt;
use toml_edit::{Array, DocumentMut, Item, TableLike, Value};

const KEYS_FIELD: &str = "keys";

/// Adds `hash` to the keys of `customer`.
pub fn grant(
    document: &mut DocumentMut,
    config: &tables::FleetConfig,
    customer: &str,
    hash: &tables::KeyHash,
) -> Result<(), EditError> {
    let is_used = config
        .customers
        .values()
        .flat_map(|spec| &spec.keys)
        .any(|other| other.id == hash.id);
    if is_used {
        return error::KeyExistsSnafu { id: &hash.id }.fail();
    }
    let table = customers(document)
        .into_iter()
        .find(|table| string_field(*table, "name") == Some(customer))
        .context(error::UnknownCustomerSnafu { customer })?;
    let array = keys_array(table)?;
    layout::push(array, keys::format_hash(hash));
    Ok(())
}

/// Adds `hash` to the keys of `customer`, who must have exactly one key.
pub fn rotate(
    document: &mut DocumentMut,
    config: &tables::FleetConfig,
    customer: &str,
    hash: &tables::KeyHash,
) -> Result<(), EditError> {
    let (_, spec) = config
        .customers
        .find(|spec| spec.name == customer)
        .context(error::UnknownCustomerSnafu { customer })?;
    match spec.keys.len() {
        0 => error::NothingToRotateSnafu { customer }.fail(),
        1 => grant(document, config, customer, hash),
        count => error::RotationInProgressSnafu { customer, count }.fail(),
    }
}

/// Removes the key with public id `id`.
pub fn withdraw(
    document: &mut DocumentMut,
    config: &tables::FleetConfig,
    id: &str,
) -> Result<(), EditError> {
    let (_, owner) = config
        .customers
        .find(|spec| spec.keys.iter().any(|hash| hash.id == id))
        .context(error::UnknownKeySnafu { id })?;
    let table = customers(document)
        .into_iter()
        .find(|table| string_field(*table, "name") == Some(&owner.name))
        .context(error::UnknownKeySnafu { id })?;
    let array = keys_array(table)?;
    let index = array
        .iter()
        .position(|value| value.as_str().is_some_and(|text| key_id(text) == id))
        .context(error::UnknownKeySnafu { id })?;
    layout::remove(array, index);
    Ok(())
}

/// The tables of all customers, written as `[[customer]]` or as inline tables.
fn customers(document: &mut DocumentMut) -> Vec<&mut dyn TableLike> {
    match document.get_mut("customer") {
        Some(Item::ArrayOfTables(tables)) => tables
            .iter_mut()
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        Some(Item::Value(Value::Array(array))) => array
            .iter_mut()
            .filter_map(Value::as_inline_table_mut)
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        _ => Vec::new(),
    }
}

fn string_field<'a>(table: &'a dyn TableLike, field: &str) -> Option<&'a str> {
    table.get(field).and_then(Item::as_str)
}

fn keys_array(table: &mut dyn TableLike) -> Result<&mut Array, EditError> {
    table
        .entry(KEYS_FIELD)
        .or_insert(Item::Value(Value::Array(Array::new())))
        .as_array_mut()
        .context(error::NotEditableSnafu)
}

fn key_id(text: &str) -> &str {
    text.split(':').next().unwrap_or_default()
}
