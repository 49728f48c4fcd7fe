//! The time line: typed events in a bounded ring, ordered by a hybrid logical clock.
//!
//! Each process keeps its own ring; whoever asks merges the rings of all VMs by their clocks. The
//! package does no I/O, and what a ring has dropped is counted but gone.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod kind;
pub mod ring;
