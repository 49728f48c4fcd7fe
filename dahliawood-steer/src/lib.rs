//! Routing decisions: look-up answers, choice of region and target, health, drains and slow start.
//!
//! Every decision is a free function over a plain table; the caller passes in `now` and the random
//! number generator. The package does no I/O, reads no clock and starts no thread. Callers may keep
//! a table behind a `std::sync::Mutex`: a decision holds the lock for microseconds.
//!
//! Rate limits of customers are in `dahliawood-quota`; retries are decided in `dahliawood-request`.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod choice;
pub mod drain;
pub mod health;
pub mod lookup;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod ramp;
pub mod reach;
pub mod region;
pub mod rendezvous;
pub mod split;
pub mod target;
