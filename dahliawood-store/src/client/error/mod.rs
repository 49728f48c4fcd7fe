//! What goes wrong with a call, and whether a write may have taken effect nevertheless.

use snafu::Snafu;
use std::io;
use std::time::Duration;

/// Whether a write that failed has changed anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum WriteEffect {
    /// It has not and never will.
    #[display("no effect")]
    None,
    /// It may have, or may do so later.
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
    /// Opening the connection took longer than the deadline, so nothing was sent.
    #[snafu(display("no connection to the store within {deadline:?}"))]
    ConnectTimeout {
        /// The deadline of the call.
        deadline: Duration,
    },
    /// No whole answer came within the deadline.
    #[snafu(display("no answer from the store within {deadline:?}"))]
    Timeout {
        /// The deadline of the call.
        deadline: Duration,
    },
    /// The connection broke before the whole answer had come.
    #[snafu(display("connection to the store broke: {reason}"))]
    ConnectionLost {
        /// The cause.
        reason: String,
    },
    /// The key has another version than the expected one; the write had no effect.
    #[snafu(display("the key has version {found}"))]
    Conflict {
        /// The version found.
        found: u64,
    },
    /// The call was above the rate and had no effect.
    #[snafu(display("the store refuses calls above its rate"))]
    RateLimited,
    /// The value is too long; the write had no effect.
    #[snafu(display("the value is longer than the store holds"))]
    TooLarge,
    /// The lease lapsed; the write had no effect.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The service answered with a status that the call does not know.
    #[snafu(display("the store answered with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer cannot be read.
    #[snafu(display("the answer of the store cannot be read"))]
    Malformed {
        /// The cause.
        source: serde_json::Error,
    },
    /// The caller asked for something that cannot be sent; nothing was sent.
    #[snafu(display("the call cannot be sent: {reason}"))]
    Invalid {
        /// The cause.
        reason: String,
    },
}

impl StoreError {
    /// Whether the service itself answered, be it by a refusal.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Conflict { .. } | Self::RateLimited | Self::TooLarge | Self::LeaseExpired
        )
    }

    /// Whether the call, if it was a write, may have taken effect.
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
            | Self::Malformed { .. } => WriteEffect::Possible,
        }
    }
}
