//! Test doubles ("stand-ins") for the platform, the targets and the callers, a soak test, and code
//! that the measuring programs share.
//!
//! Nothing here is part of a deployment. A stand-in speaks the protocol of the real service over
//! loopback, can be told to inject faults, and keeps all its state in memory.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod figures;
pub mod fleet;
pub mod follow_fleet;
pub mod instance;
pub mod keyspace;
pub mod link;
pub mod members;
pub mod operator_config;
pub mod planned_stop;
pub mod platform;
pub mod serving;
pub mod soak;
pub mod target;
