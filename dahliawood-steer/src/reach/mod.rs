//! Whether this VM reaches targets, and which other VM serves its requests while it doesn't.
//!
//! A VM may lose its links to all targets while callers and the other VMs still reach it. The
//! functions do no I/O; the caller passes in `now` and the random number generator.

pub mod delegation;
pub mod helper;
pub mod sample;
pub mod tracker;
