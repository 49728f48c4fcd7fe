//! Errors of an exchange with a target.

use crate::{head, stream};
use dahliawood_request::verdict;
use std::io;

/// Why an exchange returned no response.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ExchangeError {
    /// Before anything was sent, the connection had ended or held unsolicited bytes.
    #[snafu(display("the connection was stale"))]
    Stale,
    /// The target did not send `100 Continue` in time, and the body was not sent.
    #[snafu(display("the target did not ask for the body in time"))]
    NoContinue,
    /// The request was not sent in full.
    #[snafu(display("the request was not sent whole, {sent} bytes were"))]
    Send {
        /// Number of request bytes that the connection accepted.
        sent: u64,
        /// The cause.
        source: stream::TransferError,
    },
    /// The connection failed before the response head was complete.
    #[snafu(display("the connection failed before an answer, after {sent} bytes were sent"))]
    Receive {
        /// Number of request bytes that the connection accepted.
        sent: u64,
        /// The cause.
        source: io::Error,
    },
    /// The target closed the connection before the response head was complete.
    #[snafu(display("the target closed the connection, after {sent} bytes were sent"))]
    Closed {
        /// Number of request bytes that the connection accepted.
        sent: u64,
    },
    /// No response was received in time.
    #[snafu(display("no answer in time, after {sent} bytes were sent"))]
    Timeout {
        /// Number of request bytes that the connection accepted.
        sent: u64,
    },
    /// The framing of the response is ambiguous or missing, or the response is not HTTP/1.1.
    #[snafu(display("the answer is unusable: {source}"))]
    InvalidResponse {
        /// Number of request bytes that the connection accepted.
        sent: u64,
        /// The cause.
        source: head::error::HeadError,
    },
}

impl ExchangeError {
    /// Whether the request may have run. It has not run if none of its bytes left this VM, or if
    /// its body was withheld throughout, see [`super::expectation`].
    pub fn verdict(&self) -> verdict::RunVerdict {
        match self.sent() {
            0 => verdict::RunVerdict::NotRun,
            _ => verdict::RunVerdict::MayHaveRun,
        }
    }

    /// Bytes of the request that the connection accepted; zero if its body was still withheld.
    pub fn sent(&self) -> u64 {
        match self {
            Self::Stale | Self::NoContinue => 0,
            Self::Send { sent, .. }
            | Self::Receive { sent, .. }
            | Self::Closed { sent }
            | Self::Timeout { sent }
            | Self::InvalidResponse { sent, .. } => *sent,
        }
    }

    /// Whether the connection may be unresponsive: the request was sent and no response arrived.
    pub fn is_unresponsive(&self) -> bool {
        matches!(self, Self::Timeout { .. } | Self::NoContinue)
    }

    /// Whether reading the request's own body failed, so that another target would fail as well.
    pub fn is_request_body_error(&self) -> bool {
        let is_body = |source: &_| matches!(source, stream::TransferError::Body { .. });
        matches!(self, Self::Send { source, .. } if is_body(source))
    }
}
