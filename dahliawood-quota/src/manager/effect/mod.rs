//! Results of the facade's calls, and the effects that its driver has to carry out.

use crate::{limit, member, message, shares::holder};
use dahliawood_model::stamp;
use std::time::Duration;

/// Identifies a request that waits for allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct WaitTicket(pub u64);

/// The answer to a request for allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may proceed.
    Granted(QuotaPermit),
    /// The request waits; a [`QuotaEffect::Resolved`] with this ticket follows by `until`.
    Waiting {
        /// Identifies the request.
        ticket: WaitTicket,
        /// The latest time at which the request is granted or refused.
        until: stamp::TimeStamp,
    },
    /// The request is refused, and nothing was taken.
    Refused {
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
}

/// Allowance that was taken for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPermit {
    /// The limit that it belongs to.
    pub limit: limit::LimitKey,
    /// Where it came from.
    pub source: PermitSource,
    /// The time by which the use must have ended; a rate limit sets none.
    pub usable_until: stamp::TimeStamp,
}

/// Where the allowance of a permit came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitSource {
    /// Tokens of a rate; they are spent and are not returned.
    Spent,
    /// A unit of a count, from this VM's share.
    Share,
    /// A unit of a count, from a loan.
    Loan(message::LoanSerial),
}

/// An effect that the driver has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEffect {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: member::HolderId,
        /// The message.
        message: message::QuotaMessage,
    },
    /// Read the share document and pass it to [`super::QuotaManager::apply_read`].
    ReadShares,
    /// Write the share document and pass the outcome to
    /// [`super::QuotaManager::apply_write_outcome`].
    WriteShares(holder::ShareWrite),
    /// A waiting request is granted or refused.
    Resolved {
        /// The ticket of the request.
        ticket: WaitTicket,
        /// [`Admission::Granted`] or [`Admission::Refused`].
        admission: Admission,
    },
}
