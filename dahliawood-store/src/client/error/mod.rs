//! Errors of calls, and whether a write that failed may nevertheless have taken effect.

use snafu::Snafu;
use std::io;
use std::time::Duration;

/// Whether a write that failed has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum WriteEffect {
    /// The write has not taken effect and never will.
    #[display("no effect")]
    None,
    /// The write may have taken effect, or may do so later.
    #[display("may have taken effect")]
    Possible,
}

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("cannot connect to the store"))]
    Connect {
        /// The cause.
        source: io::Error,
    },
    /// No connection was open within the deadline, so nothing was sent.
    #[snafu(display("no connection to the store within {deadline:?}"))]
    ConnectTimeout {
        /// The deadline of the call.
        deadline: Duration,
    },
    /// No complete response arrived within the deadline.
    #[snafu(display("no answer from the store within {deadline:?}"))]
    Timeout {
        /// The deadline of the call.
        deadline: Duration,
    },
    /// The connection was lost before the complete response arrived.
    #[snafu(display("connection to the store broke: {reason}"))]
    ConnectionLost {
        /// The cause.
        reason: String,
    },
    /// The key does not have the expected version; the write had no effect.
    #[snafu(display("the key has version {found}"))]
    Conflict {
        /// The version found.
        found: u64,
    },
    /// The call exceeded the rate limit and had no effect.
    #[snafu(display("the store refuses calls above its rate"))]
    RateLimited,
    /// The value is too large; the write had no effect.
    #[snafu(display("the value is longer than the store holds"))]
    TooLarge,
    /// The answer is longer than this VM takes.
    #[snafu(display("the answer of the store is longer than {bound} bytes"))]
    AnswerTooLarge {
        /// The most bytes of an answer.
        bound: usize,
    },
    /// The lease has expired; the write had no effect.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The service responded with a status that the call does not expect.
    #[snafu(display("the store answered with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The response cannot be parsed.
    #[snafu(display("the answer of the store cannot be read"))]
    Malformed {
        /// The cause.
        source: serde_json::Error,
    },
    /// The call cannot be encoded; nothing was sent.
    #[snafu(display("the call cannot be sent: {reason}"))]
    Invalid {
        /// The cause.
        reason: String,
    },
}

impl StoreError {
    /// Whether the service itself responded to the call, be it with a rejection.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Conflict { .. } | Self::RateLimited | Self::TooLarge | Self::LeaseExpired
        )
    }

    /// Whether the call, if it is a write, may have taken effect.
    pub fn effect(&self) -> WriteEffect {
        match self {
            Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::Conflict { .. }
            | Self::RateLimited
            | Self::TooLarge
            | Self::LeaseExpired
            | Self::Invalid { .. } => WriteEffect::None,
            Self::Timeout { .. }
            | Self::ConnectionLost { .. }
            | Self::Status { .. }
            | Self::AnswerTooLarge { .. }
            | Self::Malformed { .. } => WriteEffect::Possible,
        }
    }
}
