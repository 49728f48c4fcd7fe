//! Errors of a caller connection.

use std::io;

/// Why a caller connection ended other than in an ordinary way.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ConnectionError {
    /// The connection failed while a request was awaited.
    #[snafu(display("the caller's connection failed"))]
    Receive {
        /// The cause.
        source: io::Error,
    },
    /// An answer was not written whole; the connection ended so that the caller can tell.
    #[snafu(display("an answer was cut"))]
    AnswerCut {
        /// The cause.
        source: crate::stream::TransferError,
    },
}
