//! Who may use how much: shares, loans, token buckets, pacing and fair queues.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
