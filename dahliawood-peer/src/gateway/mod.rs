//! Calls between gateways: shares of customers' limits, relayed copies of the key space, sightings
//! of crashes, and loads of targets.

pub mod client;
pub mod loads;
pub mod message;
pub mod server;
