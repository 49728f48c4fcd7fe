//! Who may use how much: shares, loans, token buckets, pacing and fair queues.
//!
//! Customer rates, link bytes and target slots are all a total that the fleet may not exceed. This
//! package keeps such totals with two layers. [`shares`] is a document in the platform's store
//! that says which VM holds how much of each limit. [`loans`] move unspent allowance between VMs
//! for a short time. [`manager::QuotaManager`] joins both behind one facade.
//!
//! The package does no I/O and reads no clock: `now` is passed in, and must count the time that a
//! VM was suspended. It does not choose regions or targets, and it trusts its peers.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod allocation;
pub mod amount;
pub mod bucket;
pub mod home;
pub mod limit;
pub mod loans;
pub mod manager;
pub mod member;
pub mod message;
pub mod options;
pub mod pacer;
pub mod queue;
pub mod shares;
pub mod window;
