//! The entry VM's daemon: control thread, traffic threads, HTTP front and operator API.
//!
//! Wires the decision packages to sockets: nothing here decides where a request goes, who may use
//! how much, or which revision is in force. It starts no other process and keeps nothing on disk.
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
