//! Calls between gateways: shares of customers' limits, and relayed copies of the key space.

pub mod client;
pub mod message;
pub mod server;
