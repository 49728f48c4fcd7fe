//! Reads and writes HTTP/1.1 messages as bytes, without async-h1: httparse parses the heads, and
//! bodies are read up to their exact end.
//!
//! This module is for forwarding paths that must preserve the request target byte for byte, accept
//! heads longer than 8 KiB, and read responses that end at the close of the connection; async-h1
//! supports none of the three. The module makes no routing or retry decisions and keeps no state
//! beyond one connection.

pub mod budget;
pub mod duplex;
pub mod error;
pub mod fields;
pub mod head;
pub mod reader;
pub mod write;
