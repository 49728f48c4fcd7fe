//! Writes the generated code of `dahliawood-peer` anew, by the example `generate`.
//!
//! The generator is a package of its own so that it builds while `dahliawood-peer` does not fit its
//! schema. It needs the `capnp` compiler; a build of the workspace doesn't.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
