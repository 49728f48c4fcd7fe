//! The canonical text of a configuration, and its revision.
//!
//! Configurations with the same meaning have the same text, byte for byte: tables and lists are
//! sorted by name, each quantity is in the largest unit that holds it whole, and every default is
//! written out. The text is itself a file that [`crate::parse::file`] reads back to the same
//! configuration. It is what VMs exchange, and its SHA-256 is the revision.

mod document;

use dahliawood_model::tables;
use sha2::Digest;

/// The canonical text of `config`.
///
/// The text holds the salted hashes of keys. A configuration that [`crate::parse::file`] made has
/// one text for one meaning; one that was filled by hand comes out sorted, but with its routes
/// split or joined as they are.
///
/// # Panics
/// Never for keys that index the arenas of `config` itself, as [`crate::parse::file`] makes them.
pub fn text(config: &tables::FleetConfig) -> String {
    document::of(config)
        .to_toml()
        .expect("a document of tables, text and numbers is always TOML")
}

/// The revision of `config`: SHA-256 of its canonical text, in lower-case hex.
///
/// # Panics
/// As [`text`].
pub fn revision(config: &tables::FleetConfig) -> String {
    text_revision(&text(config))
}

/// The revision of a canonical text; of any other text it is merely the SHA-256.
pub fn text_revision(text: &str) -> String {
    hex::encode(sha2::Sha256::digest(text.as_bytes()))
}
