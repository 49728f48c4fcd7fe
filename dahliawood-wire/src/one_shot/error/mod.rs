//! Errors of one-shot calls.

use crate::client::error::ExchangeError;
use std::io;

/// Why a one-shot call brought no whole answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// The URL, the method or a header is not usable.
    #[snafu(display("the call is not usable: {reason}"))]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
    /// No connection.
    #[snafu(display("no connection to {address}"))]
    Connect {
        /// Host and port.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// No usable answer.
    #[snafu(display("no answer: {source}"))]
    Exchange {
        /// The cause.
        source: ExchangeError,
    },
    /// The answer's body is not whole.
    #[snafu(display("the answer was cut: {source}"))]
    Body {
        /// The cause.
        source: io::Error,
    },
    /// The deadline passed.
    #[snafu(display("no whole answer within the deadline"))]
    Deadline,
}
