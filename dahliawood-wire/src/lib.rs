//! HTTP/1.1 messages over async-h1 with exact ends, bounded heads and clean headers.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
