//! What becomes of a request: the verdict, the retry policy and tickets.
//!
//! Everything here is a decision over plain values with `now` passed in; nothing does I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod deadline;
pub mod journal;
pub mod request;
pub mod retry;
pub mod ticket;
pub mod verdict;
