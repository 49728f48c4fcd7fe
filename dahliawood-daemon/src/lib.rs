//! The daemon of an entry VM: control thread, traffic threads, HTTP front end and operator API.
//!
//! This package connects the decision packages to sockets. Those packages, not this one, decide
//! where a request goes, how much of a limit a customer may use, and which configuration revision
//! is in force. The daemon starts no other process and stores nothing on disk.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod control;
pub mod counters;
pub mod eventlog;
pub mod front;
pub mod operator;
pub mod quota;
pub mod run;
pub mod settings;
pub mod shared;
pub mod slots;
pub mod snapshot;
pub mod waiters;
