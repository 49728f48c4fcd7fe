//! A key space that other writers fill, followed by its changes.
//!
//! [`call`] is the service as a plain struct of functions, [`view`] what this VM knows of the
//! space. Neither does I/O by itself.

pub mod call;
pub mod view;
