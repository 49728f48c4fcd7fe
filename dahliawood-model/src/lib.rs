//! Data types shared by all other packages: arena keys, configuration tables, units and time
//! stamps.
//!
//! [`tables::FleetConfig`] is the validated form of the operators' configuration file: arenas of
//! entities addressed by small `Copy` keys. This package parses no files (see
//! `dahliawood-config`), holds no policy and does no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod catalog;
pub mod keys;
pub mod stamp;
pub mod tables;
pub mod units;

/// A hash map with a fast, non-cryptographic hasher. Its keys must not be chosen freely by callers,
/// who could otherwise provoke collisions.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
