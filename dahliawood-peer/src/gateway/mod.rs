//! Calls between gateways: customers' shares, and what is known of the key space.

pub mod client;
pub mod message;
pub mod server;
