//! Errors of message heads.

use http_types::StatusCode;

/// Why a head is refused.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum HeadError {
    /// The head is longer than the bound.
    #[snafu(display("the head is longer than {bound} bytes"))]
    TooLarge {
        /// The bound, bytes.
        bound: usize,
    },
    /// A byte that a head may not have: not ASCII, or a line feed by itself.
    #[snafu(display("the head has byte {byte:#04x} where it is not allowed"))]
    Byte {
        /// The byte.
        byte: u8,
    },
    /// async-h1 did not take it.
    #[snafu(display("the head is malformed: {reason}"))]
    Malformed {
        /// What async-h1 says.
        reason: String,
    },
    /// `Content-Length` is repeated, not a number, or stands beside `Transfer-Encoding`.
    #[snafu(display("the body's length is declared more than once or not as a number"))]
    Length,
    /// A `Transfer-Encoding` other than one `chunked`.
    #[snafu(display("the transfer encoding is not known"))]
    Encoding,
    /// No single usable `Host`.
    #[snafu(display("there is not exactly one plain Host"))]
    Host,
    /// An expectation other than `100-continue`.
    #[snafu(display("the expectation is not known"))]
    Expectation,
    /// An answer that ends with its connection, which cannot be told from one cut short.
    #[snafu(display("the answer declares no length"))]
    MissingLength,
}

impl HeadError {
    /// The status that tells a caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::RequestHeaderFieldsTooLarge,
            Self::Encoding => StatusCode::NotImplemented,
            Self::Expectation => StatusCode::ExpectationFailed,
            _ => StatusCode::BadRequest,
        }
    }
}
