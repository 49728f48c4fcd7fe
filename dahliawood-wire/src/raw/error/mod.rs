//! Why a message could not be read.

use crate::chunk::error::ChunkError;
use std::io;

/// Why a message could not be read.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ReadError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Connection {
        /// The cause.
        source: io::Error,
    },
    /// The connection ended inside a message.
    #[snafu(display("the connection ended inside a message"))]
    Truncated,
    /// The head is longer than its bound.
    #[snafu(display("a head is at most {bound} bytes"))]
    HeadTooLarge {
        /// The bound, bytes.
        bound: usize,
    },
    /// The body is longer than its bound.
    #[snafu(display("a body is at most {bound} bytes"))]
    BodyTooLarge {
        /// The bound, bytes.
        bound: usize,
    },
    /// The head is no HTTP/1.1.
    #[snafu(display("the head is malformed: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The chunks of the body are malformed.
    #[snafu(display("the chunks are malformed: {source}"))]
    Chunks {
        /// The cause.
        source: ChunkError,
    },
}

impl ReadError {
    /// A malformed head.
    pub fn malformed(reason: &(impl ToString + ?Sized)) -> Self {
        let reason = reason.to_string();
        Self::Malformed { reason }
    }
}
