//! Errors of one-shot calls.

use crate::client::error::ExchangeError;
use std::io;

/// Why a one-shot call returned no complete response.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// The URL, the method or a header is invalid.
    #[snafu(display("the request is invalid: {reason}"))]
    Invalid {
        /// Why it is invalid.
        reason: String,
    },
    /// The connection could not be opened.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Host and port.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// No usable response was received.
    #[snafu(display("no usable response: {source}"))]
    Exchange {
        /// The cause.
        source: ExchangeError,
    },
    /// The response body is truncated.
    #[snafu(display("the response body is truncated: {source}"))]
    Body {
        /// The cause.
        source: io::Error,
    },
    /// The deadline passed.
    #[snafu(display("no complete response within the deadline"))]
    Deadline,
}
