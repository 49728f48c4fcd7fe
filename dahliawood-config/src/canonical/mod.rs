//! The canonical text of a configuration, and its revision.
//!
//! Equivalent configurations have the same text, byte for byte: tables and lists are sorted by
//! name, each quantity is written in the largest unit that gives a whole number, and every default
//! is written out. The text is itself a configuration file that [`crate::parse::file`] parses to
//! the same configuration. VMs exchange this text, and its SHA-256 is the revision.

mod document;

use dahliawood_model::tables;
use sha2::Digest;

/// The canonical text of `config`.
///
/// The text contains the salted hashes of keys. Equivalent configurations from
/// [`crate::parse::file`] have the same text. A configuration built in code is sorted too, but
/// routes that differ only in their methods are not merged.
///
/// # Panics
/// Panics if a key in `config` does not index the arenas of `config`; [`crate::parse::file`] never
/// returns such a configuration.
pub fn text(config: &tables::FleetConfig) -> String {
    document::from_config(config)
        .to_toml()
        .expect("a document of tables, text and numbers is always TOML")
}

/// The revision of `config`: SHA-256 of its canonical text, in lower-case hex.
///
/// # Panics
/// Panics in the same cases as [`text`].
pub fn revision(config: &tables::FleetConfig) -> String {
    text_revision(&text(config))
}

/// The revision of a canonical text: its SHA-256 in lower-case hex. Of any other text the SHA-256
/// is not a revision.
pub fn text_revision(text: &str) -> String {
    hex::encode(sha2::Sha256::digest(text.as_bytes()))
}
