//! Client for the platform's key-value service and live list of VMs, and the protocol by which the
//! fleet agrees on a configuration revision through them.
//!
//! [`client`] makes the calls; the other modules decide how to act on the responses. Those modules
//! take the current time as an argument and never read a clock.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod acceptance;
pub mod backoff;
pub mod budget;
pub mod client;
pub mod clock;
pub mod content;
pub mod head;
pub mod keyspace;
pub mod lease;
pub mod protocol;
pub mod revision;
pub mod status;
pub mod watch;
