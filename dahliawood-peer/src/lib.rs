//! Cap'n Proto RPC between entry VMs: the schema, its generated code, clients and servers.
//!
//! All code here is single-threaded because `capnp-rpc` is; it runs on the control thread, calls that
//! forward requests on the thread that serves callers.
//! The package only transports typed messages; the callers decide what to do with them. Calls are
//! neither encrypted nor authenticated yet.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
pub mod forward;
pub mod gateway;
/// Code generated from `schema/peer.capnp` by `dahliawood-codegen`.
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic, elided_lifetimes_in_paths)]
#[rustfmt::skip]
pub mod generated {
    pub mod peer_capnp;
}
pub mod message;
pub mod quota;
pub mod server;
