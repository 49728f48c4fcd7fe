//! Edits of the text of a configuration file that preserve its comments, order and layout.
//!
//! The file is validated before and after the edit. The outcome is a valid file and the list of
//! differences between the two configurations. Withdrawing a key removes its line, and removing a
//! drain removes its table; comments above the line or table, and comments beside a key, remain.
//!
//! Line endings follow the file: all are written as `\r\n` if it contains any, otherwise as `\n`.

mod drains;
mod error;
mod keys;
mod layout;

pub use error::EditError;

use crate::{diff, drain, parse};
use dahliawood_model::tables;
use std::time::Duration;
use toml_edit::DocumentMut;

/// The file to edit.
#[derive(Clone, Copy, Debug)]
pub struct EditOptions<'a> {
    /// File name, for error reports.
    pub name: &'a str,
    /// Text of the file.
    pub text: &'a str,
}

/// One change to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEdit {
    /// Adds a key to a customer.
    GrantKey {
        /// Name of the customer.
        customer: String,
        /// Hash of the new key.
        hash: tables::KeyHash,
    },
    /// Removes a key of any customer, so that it is no longer valid.
    WithdrawKey {
        /// Public id of the key.
        id: String,
    },
    /// Adds a second key to a customer who has one; the operator withdraws the first key later.
    RotateKey {
        /// Name of the customer.
        customer: String,
        /// Hash of the second key.
        hash: tables::KeyHash,
    },
    /// Drains a target, a failure domain or a region.
    AddDrain {
        /// What to drain.
        subject: drain::DrainName,
        /// Time over which the traffic is moved away.
        over: Duration,
    },
    /// Removes a drain.
    RemoveDrain {
        /// What to stop draining.
        subject: drain::DrainName,
    },
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq)]
pub struct EditOutcome {
    /// The new text.
    pub text: String,
    /// The configuration parsed from the new text.
    pub config: tables::FleetConfig,
    /// Differences between the old and the new configuration.
    pub changes: Vec<diff::ConfigChange>,
}

/// Applies `edit` to a file.
///
/// # Errors
/// Fails if the file is invalid, if the edit can't be applied to it, or if the new text would be
/// invalid.
pub fn apply(options: EditOptions<'_>, edit: &FileEdit) -> Result<EditOutcome, EditError> {
    let EditOptions { name, text } = options;
    let old = parse::file(name, text).map_err(|report| EditError::InvalidFile { report })?;
    let has_carriage_returns = text.contains("\r\n");
    let mut document = document(&text.replace("\r\n", "\n"))?;
    match edit {
        FileEdit::GrantKey { customer, hash } => keys::grant(&mut document, &old, customer, hash),
        FileEdit::WithdrawKey { id } => keys::withdraw(&mut document, &old, id),
        FileEdit::RotateKey { customer, hash } => keys::rotate(&mut document, &old, customer, hash),
        FileEdit::AddDrain { subject, over } => drains::add(&mut document, &old, subject, *over),
        FileEdit::RemoveDrain { subject } => drains::remove(&mut document, &old, subject),
    }?;
    let mut text = document.to_string();
    if has_carriage_returns {
        text = text.replace('\n', "\r\n");
    }
    let config = parse::file(name, &text).map_err(|report| EditError::InvalidResult { report })?;
    let changes = diff::between(&old, &config);
    Ok(EditOutcome {
        text,
        config,
        changes,
    })
}

/// Parses the text of a valid file for editing.
fn document(text: &str) -> Result<DocumentMut, EditError> {
    text.parse().map_err(|_| EditError::NotEditable)
}
