//! Where a request goes: look-up answers, choice of region and target, health, drains and ramps.
//!
//! Every decision is a free function over a plain table, with `now` and randomness passed in. The
//! package does no I/O, keeps no clock and starts no thread; a table behind a `std::sync::Mutex`
//! is held for microseconds a decision.
//!
//! It does not count what a customer may send (see `dahliawood-quota`), nor decide whether a
//! request may be sent again (see `dahliawood-fate`).
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
pub mod rendezvous;
pub mod split;
pub mod target;
