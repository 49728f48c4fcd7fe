//! Edits that add and remove drains.

use crate::edit::{EditError, error, layout};
use crate::{drain, units};
use dahliawood_model::tables;
use snafu::OptionExt;
use std::time::Duration;
use toml_edit::{ArrayOfTables, DocumentMut, InlineTable, Item, Table, TableLike, Value};

const DRAIN_TABLES: &str = "drain";

/// Adds a drain of `subject`.
pub fn add(
    document: &mut DocumentMut,
    config: &tables::FleetConfig,
    subject: &drain::DrainName,
    over: Duration,
) -> Result<(), EditError> {
    if !is_declared(config, subject) {
        return error::UnknownSubjectSnafu {
            subject: subject.clone(),
        }
        .fail();
    }
    if is_drained(config, subject) {
        return error::DrainExistsSnafu {
            subject: subject.clone(),
        }
        .fail();
    }
    let item = document
        .entry(DRAIN_TABLES)
        .or_insert(Item::ArrayOfTables(ArrayOfTables::new()));
    match item {
        Item::ArrayOfTables(tables) => tables.push(drain_table(Table::new(), subject, over)),
        Item::Value(Value::Array(array)) => {
            layout::push(array, drain_table(InlineTable::new(), subject, over));
        }
        _ => return error::NotEditableSnafu.fail(),
    }
    Ok(())
}

/// Removes the drain of `subject`.
pub fn remove(
    document: &mut DocumentMut,
    config: &tables::FleetConfig,
    subject: &drain::DrainName,
) -> Result<(), EditError> {
    let missing = error::NoDrainSnafu {
        subject: subject.clone(),
    };
    if !is_drained(config, subject) {
        return missing.fail();
    }
    let is_subject = |table: &dyn TableLike| {
        table.get(subject.field()).and_then(Item::as_str) == Some(subject.name())
    };
    match document.get_mut(DRAIN_TABLES) {
        Some(Item::ArrayOfTables(tables)) => {
            let index = tables.iter().position(|table| is_subject(table));
            remove_table(document, index.context(missing)?);
            Ok(())
        }
        Some(Item::Value(Value::Array(array))) => {
            let tables = array.iter().map(Value::as_inline_table);
            let index = tables
                .enumerate()
                .find(|(_, table)| table.is_some_and(|table| is_subject(table)))
                .map(|(index, _)| index);
            layout::remove(array, index.context(missing)?);
            Ok(())
        }
        _ => error::NotEditableSnafu.fail(),
    }
}

fn drain_table<T: TableLike>(mut table: T, subject: &drain::DrainName, over: Duration) -> T {
    let text = |text: &str| Item::Value(Value::from(text));
    table.insert(subject.field(), text(subject.name()));
    table.insert("over", text(&units::format_duration(over)));
    table
}

/// Removes one `[[drain]]` table. Comments above the table move to the next `[[drain]]`, or to the
/// end of the file.
fn remove_table(document: &mut DocumentMut, index: usize) {
    let Some(tables) = document
        .get_mut(DRAIN_TABLES)
        .and_then(Item::as_array_of_tables_mut)
    else {
        return;
    };
    let removed = tables.remove(index);
    let above = layout::decor_text(removed.decor().prefix());
    let comments = if above.contains('#') { &above } else { "" };
    if let Some(next) = tables.get_mut(index) {
        let prefix = format!("{comments}{}", layout::decor_text(next.decor().prefix()));
        next.decor_mut().set_prefix(prefix);
        return;
    }
    if tables.is_empty() {
        document.remove(DRAIN_TABLES);
    }
    let trailing = format!(
        "{comments}{}",
        layout::decor_text(Some(document.trailing()))
    );
    document.set_trailing(trailing);
}

fn is_drained(config: &tables::FleetConfig, subject: &drain::DrainName) -> bool {
    config
        .drains
        .iter()
        .any(|spec| drain::DrainName::of(config, spec.subject) == *subject)
}

fn is_declared(config: &tables::FleetConfig, subject: &drain::DrainName) -> bool {
    match subject {
        drain::DrainName::Domain(name) => config.domains.values().any(|spec| spec.name == *name),
        drain::DrainName::Region(name) => config.regions.values().any(|spec| spec.name == *name),
        drain::DrainName::Target(name) => config.targets.values().any(|spec| spec.name == *name),
    }
}
