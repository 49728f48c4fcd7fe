//! The operators' declarative file: parse, check, canonical form, diff and revision.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
