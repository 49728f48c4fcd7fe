//! Changes to the text of a file that leave its comments, order and layout in place.
//!
//! A file is checked before and after the change; what comes out is right as a whole, with the
//! list of what the change did to its meaning. A withdrawn key or a removed drain takes its own
//! line or table along, comments beside and above it stay.
//!
//! Line ends are written as the file has them: all `\r\n` if it holds any, all `\n` otherwise.

mod drains;
mod error;
mod keys;
mod layout;

pub use error::EditError;

use crate::{diff, drain, parse};
use dahliawood_model::tables;
use std::time::Duration;
use toml_edit::DocumentMut;

/// The file to change.
#[derive(Clone, Copy, Debug)]
pub struct EditOptions<'a> {
    /// Its name, for reports.
    pub name: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// One change to a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEdit {
    /// Adds a key to a customer.
    GrantKey {
        /// The customer's name.
        customer: String,
        /// The new key's hash.
        hash: tables::KeyHash,
    },
    /// Takes a key out of force, whoever owns it.
    WithdrawKey {
        /// The key's public id.
        id: String,
    },
    /// Adds a second key to a customer who has one; the first is withdrawn later.
    RotateKey {
        /// The customer's name.
        customer: String,
        /// The second key's hash.
        hash: tables::KeyHash,
    },
    /// Drains a target, a failure domain or a region.
    AddDrain {
        /// What leaves.
        subject: drain::DrainName,
        /// Over how long.
        over: Duration,
    },
    /// Ends a drain.
    RemoveDrain {
        /// What returns.
        subject: drain::DrainName,
    },
}

/// A changed file.
#[derive(Clone, Debug, PartialEq)]
pub struct EditOutcome {
    /// The new text.
    pub text: String,
    /// The new text, checked.
    pub config: tables::FleetConfig,
    /// What changed in meaning.
    pub changes: Vec<diff::ConfigChange>,
}

/// Applies `edit` to a file.
///
/// # Errors
/// Where the file has mistakes, where the change does not fit it, or where the new text would
/// have mistakes. The text given is never changed.
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

/// The document of a text that was checked.
fn document(text: &str) -> Result<DocumentMut, EditError> {
    text.parse().map_err(|_| EditError::NotEditable)
}
