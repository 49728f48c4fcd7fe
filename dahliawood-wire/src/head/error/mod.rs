//! Errors of message heads.

use http_types::StatusCode;

/// Why a head is rejected.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum HeadError {
    /// The head is longer than the bound.
    #[snafu(display("the head is longer than {bound} bytes"))]
    TooLarge {
        /// The bound, in bytes.
        bound: usize,
    },
    /// The head contains a byte that is not ASCII, a control character, or half of a line's end.
    #[snafu(display("the head has byte {byte:#04x} where it is not allowed"))]
    Byte {
        /// The byte.
        byte: u8,
    },
    /// async-h1 could not parse the head.
    #[snafu(display("the head is malformed: {reason}"))]
    Malformed {
        /// The parse error.
        reason: String,
    },
    /// `Content-Length` is repeated, not a number, or combined with `Transfer-Encoding`.
    #[snafu(display("the body's length is declared more than once or not as a number"))]
    Length,
    /// `Transfer-Encoding` is anything other than a single `chunked`.
    #[snafu(display("the transfer encoding is not known"))]
    Encoding,
    /// `Host` is missing, repeated or invalid.
    #[snafu(display("there is not exactly one plain Host"))]
    Host,
    /// `Expect` is anything other than `100-continue`.
    #[snafu(display("the expectation is not known"))]
    Expectation,
    /// The response declares no length and so ends at the close of the connection, which cannot be
    /// distinguished from a truncation.
    #[snafu(display("the answer declares no length"))]
    MissingLength,
}

impl HeadError {
    /// The status of the response to a caller that sent this head.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::RequestHeaderFieldsTooLarge,
            Self::Encoding => StatusCode::NotImplemented,
            Self::Expectation => StatusCode::ExpectationFailed,
            _ => StatusCode::BadRequest,
        }
    }
}
