//! Keys, tables, units and the time stamp that every other package speaks in.
//!
//! This package holds the checked form of an operators' file, [`tables::FleetConfig`], as arenas
//! addressed by small `Copy` keys. It does not read files (see `dahliawood-config`), decide
//! anything or do I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod catalog;
pub mod keys;
pub mod stamp;
pub mod tables;
pub mod units;

/// A hash map with a fast, non-cryptographic hasher; not for keys that a caller can choose freely.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with the same hasher as [`FastMap`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
