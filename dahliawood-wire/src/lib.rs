//! HTTP/1.1 messages over async-h1 with exact ends, bounded heads and clean headers.
//!
//! async-h1 parses and writes every message. This package puts a gate between it and the
//! connection that hands out exactly one message, counts the bytes of its body and turns an early
//! end into an error. On top stand a server loop for caller connections ([`server`]), one exchange
//! with a target ([`client`]) and bounded pools of target connections ([`pool`]).
//!
//! It decides nothing about where a request goes, whether it is re-sent or who may send it.
//!
//! Shortcomings: trailers are read and dropped; an answer that ends with its connection is refused
//! because a cut one looks the same; heads must be ASCII and shorter than 8 KiB; answers with a
//! status that the `http-types` library does not know are refused; a caller that closes its sending
//! side while it waits counts as gone, because a caller that left looks the same; a request body that
//! was not asked for before the answer began is never read.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod chunk;
pub mod client;
pub mod framer;
pub mod head;
pub mod headers;
pub mod one_shot;
pub mod pool;
pub mod problem;
pub mod raw;
pub mod resume;
pub mod server;
pub mod stream;
