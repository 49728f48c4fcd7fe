//! Errors of reading a message.

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
    /// The head exceeds its maximum length.
    #[snafu(display("a head is at most {bound} bytes"))]
    HeadTooLarge {
        /// The bound, in bytes.
        bound: usize,
    },
    /// The body exceeds its maximum length.
    #[snafu(display("a body is at most {bound} bytes"))]
    BodyTooLarge {
        /// The bound, in bytes.
        bound: usize,
    },
    /// The bodies that are being read use up the memory for them.
    #[snafu(display("bodies take more than the {limit} bytes that there are for all of them"))]
    BudgetExhausted {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The head is not valid HTTP/1.1.
    #[snafu(display("the head is malformed: {reason}"))]
    Malformed {
        /// Why the head is malformed.
        reason: String,
    },
    /// The chunked framing of the body is malformed.
    #[snafu(display("the chunks are malformed: {source}"))]
    Chunks {
        /// The cause.
        source: ChunkError,
    },
}

impl ReadError {
    /// Creates a [`ReadError::Malformed`].
    pub fn malformed(reason: &(impl ToString + ?Sized)) -> Self {
        let reason = reason.to_string();
        Self::Malformed { reason }
    }
}
