//! Regenerates the Cap'n Proto code of `dahliawood-peer`; run the example `generate`.
//!
//! The generator is a separate package so that it can be built while `dahliawood-peer` does not
//! compile because its code does not match the changed schema. The generator needs the `capnp`
//! compiler; a build of the workspace doesn't.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
