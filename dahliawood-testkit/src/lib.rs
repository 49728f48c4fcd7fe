//! Stand-ins for the platform, targets and callers, and what the measuring programs share.
//!
//! Nothing here is part of a deployment. A stand-in speaks the protocol of the real thing over
//! loopback and can be told to misbehave; none of them keeps anything on disk.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod figures;
pub mod fleet;
pub mod instance;
pub mod keyspace;
pub mod members;
pub mod operator_config;
pub mod platform;
pub mod serving;
pub mod soak;
pub mod target;
