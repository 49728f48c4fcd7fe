//! Tests of connections, exchanges, pools and headers.

mod endings;
mod headers;
mod loopback;
mod raw;
mod relay;
mod resume;
#[path = "../support/mod.rs"]
mod support;
