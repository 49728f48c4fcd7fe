//! HTTP/1.1 servers and clients that detect truncated messages, bound message heads and filter
//! headers.
//!
//! Most of this package builds on async-h1, which parses and writes the messages. A message framer
//! ([`framer`]) sits between async-h1 and the connection: it passes on exactly one message at a
//! time, counts the bytes of its body and reports a body that ends early as an error. On top of it
//! are a server loop for caller connections ([`server`]), a single exchange with a target
//! ([`client`]) and bounded pools of target connections ([`pool`]). The module [`raw`] reads and
//! writes messages without async-h1.
//!
//! Routing, retries and authorization are left to the packages that use this one.
//!
//! Limitations of the part that uses async-h1:
//!
//! - Trailers are read and discarded.
//! - A response that is delimited by the close of its connection is rejected, because it cannot be
//!   distinguished from a truncated one.
//! - Heads must be ASCII and shorter than 8 KiB.
//! - Responses with a status that the `http-types` library does not know are rejected.
//! - A caller that shuts down its sending side while it waits for a response is treated as
//!   disconnected, because the two cases cannot be distinguished.
//! - If a caller waits for `100 Continue` and the response begins before that was sent, the request
//!   body is never read.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod chunk;
pub mod client;
pub mod framer;
pub mod head;
pub mod head_end;
pub mod headers;
pub mod interim;
pub mod lingering;
pub mod one_shot;
pub mod pool;
pub mod problem;
pub mod raw;
pub mod resume;
pub mod server;
pub mod stream;
