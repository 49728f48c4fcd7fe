//! The event log: typed events in a bounded ring buffer, ordered by a hybrid logical clock.
//!
//! Each process keeps its own ring; a reader merges the rings of all VMs by time stamp. Events that
//! a full ring has dropped can't be read any more, but readers learn how many there were. The
//! package does no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod kind;
pub mod ring;
