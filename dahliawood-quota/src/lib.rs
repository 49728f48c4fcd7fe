//! Distributed rate limits and counts: shares, loans, token buckets, pacing and fair queues.
//!
//! Customer rates, link bytes and target slots are totals that the whole fleet must not exceed.
//! This package enforces them in two layers. [`shares`] is a document in the platform's store that
//! says which VM holds how much of each limit; the VMs that should hold shares of a limit are its
//! homes ([`home`]). [`loans`] move unspent tokens between VMs for a
//! short time. [`manager::QuotaManager`] combines both behind one facade. Independently of these,
//! [`allocation`] divides customer limits by need through a coordinator VM, and [`window`] enforces
//! each VM's fraction.
//!
//! The package does no I/O and reads no clock. Callers pass in `now`, which must include the time
//! that a VM was suspended. The package does not choose regions or targets, and it trusts the
//! messages of other VMs.
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
pub mod usage_limit;
pub mod window;
