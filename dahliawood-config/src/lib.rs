//! The operators' declarative file: parse, check, canonical form, revision, diff, keys and edits.
//!
//! Everything here is a pure function over text and tables; nothing reads a file, a clock or a
//! source of randomness.
//!
//! - [`parse`] turns the text of a file into a [`dahliawood_model::tables::FleetConfig`], or into
//!   a [`report::CheckReport`] that names every mistake with its line and column.
//! - [`canonical`] writes a configuration so that the same meaning gives the same bytes, and names
//!   it by the SHA-256 of them: its revision.
//! - [`diff`] lists what differs between two configurations.
//! - [`drain`] names what a drain is about.
//! - [`keys`] makes callers' keys, hashes them and verifies what a caller presents.
//! - [`edit`] changes the text of a file and leaves its comments in place.
//!
//! It does not accept or spread a configuration (see `dahliawood-store`), and it does not judge
//! whether declared sizes are sensible together, only whether they are well formed and consistent.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod canonical;
pub mod diff;
pub mod drain;
pub mod edit;
pub mod keys;
pub mod parse;
pub mod report;
pub mod units;
