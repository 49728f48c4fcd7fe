//! Errors of an exchange with a target.

use crate::{head, stream};
use dahliawood_fate::verdict;
use std::io;

/// Why an exchange brought no answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ExchangeError {
    /// The connection had ended, or held bytes that nobody asked for, before anything was sent.
    #[snafu(display("the connection was stale"))]
    Stale,
    /// The target did not ask for the body, which stayed here.
    #[snafu(display("the target did not ask for the body in time"))]
    NoContinue,
    /// The request was not sent whole.
    #[snafu(display("the request was not sent whole, {sent} bytes were"))]
    Send {
        /// Bytes that the connection took.
        sent: u64,
        /// The cause.
        source: stream::TransferError,
    },
    /// The connection failed before the answer's head was there.
    #[snafu(display("the connection failed before an answer, after {sent} bytes were sent"))]
    Receive {
        /// Bytes that the connection took.
        sent: u64,
        /// The cause.
        source: io::Error,
    },
    /// The target closed the connection before the answer's head was there.
    #[snafu(display("the target closed the connection, after {sent} bytes were sent"))]
    Closed {
        /// Bytes that the connection took.
        sent: u64,
    },
    /// No answer came in time.
    #[snafu(display("no answer in time, after {sent} bytes were sent"))]
    Timeout {
        /// Bytes that the connection took.
        sent: u64,
    },
    /// The answer cannot be told whole from cut, or is not HTTP/1.1.
    #[snafu(display("the answer is unusable: {source}"))]
    Answer {
        /// Bytes that the connection took.
        sent: u64,
        /// The cause.
        source: head::error::HeadError,
    },
}

impl ExchangeError {
    /// Whether the request may have run: not where no byte of it left this VM, nor where its body
    /// was withheld to the end, see [`super::expect`].
    pub fn verdict(&self) -> verdict::RunVerdict {
        match self.sent() {
            0 => verdict::RunVerdict::NotRun,
            _ => verdict::RunVerdict::MayHaveRun,
        }
    }

    /// Bytes of the request that the connection took, zero while its body was withheld.
    pub fn sent(&self) -> u64 {
        match self {
            Self::Stale | Self::NoContinue => 0,
            Self::Send { sent, .. }
            | Self::Receive { sent, .. }
            | Self::Closed { sent }
            | Self::Timeout { sent }
            | Self::Answer { sent, .. } => *sent,
        }
    }

    /// Whether the connection may have gone silent: the request left and nothing came back.
    pub fn is_unresponsive(&self) -> bool {
        matches!(self, Self::Timeout { .. } | Self::NoContinue)
    }

    /// Whether the request's own body failed, so that no other target would fare better.
    pub fn is_request_body_error(&self) -> bool {
        let produce = |source: &_| matches!(source, stream::TransferError::Body { .. });
        matches!(self, Self::Send { source, .. } if produce(source))
    }
}
