//! Follows a key space that other processes write.
//!
//! [`call`] describes the service as a plain struct of functions; [`view`] caches what this VM
//! knows of the key space, [`record`] decides what is newer, and [`availability`] when the service is
//! known to have answered. None of them does I/O itself.

pub mod availability;
pub mod call;
pub mod changes;
pub mod epoch;
pub mod record;
pub mod view;
