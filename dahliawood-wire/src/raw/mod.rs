//! HTTP/1.1 messages as bytes: heads parsed by httparse, bodies read to their exact end.
//!
//! For the forwarding path that must pass a request target on unchanged, take heads beyond 8 KiB,
//! and read answers that end with their connection: async-h1 does none of the three. Nothing here
//! decides anything, and nothing is kept beyond one connection.

pub mod error;
pub mod fields;
pub mod head;
pub mod reader;
pub mod write;
