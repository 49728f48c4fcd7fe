//! Tests of connections, exchanges, pools and headers.

mod loopback;
#[path = "../support/mod.rs"]
mod support;
