//! Loads of targets shared among VMs.
//!
//! Load pattern: many VMs send to each target, and each receives a response from a given target about
//! once a second, while queues change many times a second. A VM that knows only its own responses
//! sends to queues that are full. One VM of each region, the collector, therefore gathers what all
//! VMs of the region have seen lately, and each VM learns it from there.

pub mod collector;
pub mod entry;
pub mod index;
pub mod link;
pub mod log;
pub mod participant;
