//! Outcome of a request: whether it may have run, the retry policy, and at-most-once tickets.
//!
//! All functions are decisions over plain values; the caller passes in `now`. Nothing does I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod deadline;
pub mod journal;
pub mod request;
pub mod retry;
pub mod ticket;
pub mod verdict;
