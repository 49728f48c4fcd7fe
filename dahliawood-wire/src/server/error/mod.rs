//! Errors of a caller connection.

use std::io;

/// Why a caller connection failed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ConnectionError {
    /// The connection failed while waiting for a request.
    #[snafu(display("the caller's connection failed"))]
    Receive {
        /// The cause.
        source: io::Error,
    },
    /// A response was not written in full; the connection was closed inside the response, so that
    /// the caller detects the truncation.
    #[snafu(display("a response was not written in full"))]
    ResponseTruncated {
        /// The cause.
        source: crate::stream::TransferError,
    },
}
