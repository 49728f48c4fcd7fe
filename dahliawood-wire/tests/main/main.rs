//! Tests of connections, exchanges, pools and headers.

mod connection_end;
mod duplex;
mod headers;
mod lingering;
mod loopback;
mod message_end;
mod pieces;
mod raw;
mod relay;
mod resume;
#[path = "../support/mod.rs"]
mod support;
