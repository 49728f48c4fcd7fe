//! The platform's key-value service and live list as the fleet sees them.
//!
//! [`client`] calls the service; the other modules decide what to make of its answers. They are
//! handed `now` and never read a clock.
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
