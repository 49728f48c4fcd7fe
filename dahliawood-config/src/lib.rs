//! The operators' declarative configuration file: parsing, validation, canonical form, revision,
//! diff, access keys and edits.
//!
//! All functions are pure functions of their arguments; none reads a file, a clock or a source of
//! randomness.
//!
//! - [`parse`] turns the text of a file into a [`dahliawood_model::tables::FleetConfig`], or into
//!   a [`report::CheckReport`] that lists every error with its line and column.
//! - [`canonical`] writes equivalent configurations as the same bytes. The SHA-256 of these bytes
//!   is the revision of the configuration.
//! - [`diff`] lists the differences between two configurations.
//! - [`drain`] identifies the subject of a drain by name.
//! - [`keys`] generates and hashes callers' access keys, and verifies the keys that callers
//!   present.
//! - [`edit`] changes the text of a file and preserves its comments.
//!
//! This package does not accept or distribute a configuration (see `dahliawood-store`). Validation
//! covers syntax and consistency, not whether the declared sizes suit each other.
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
