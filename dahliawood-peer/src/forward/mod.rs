//! Calls that forward a caller's request to another VM, which sends it to a target.

pub mod client;
pub mod message;
pub mod server;
