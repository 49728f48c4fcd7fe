//! Calls between VMs: the schema, its generated code and the RPC plumbing.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
