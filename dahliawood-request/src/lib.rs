//! Life cycle of a request: state machine, deadline, retry policy, the verdict whether it may have
//! run, and at-most-once tickets with their journal.
//!
//! All functions are decisions over plain values; the caller passes in `now`. Nothing does I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod deadline;
pub mod journal;
pub mod quarantine;
pub mod request;
pub mod retry;
pub mod ticket;
pub mod verdict;
