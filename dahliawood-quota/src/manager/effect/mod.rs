//! What the facade answers, and what it asks its driver to do.

use crate::{limit, member, message, shares::holder};
use dahliawood_model::stamp;
use std::time::Duration;

/// Names a request that waits for allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct WaitTicket(pub u64);

/// The answer to a request for allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may go on.
    Granted(QuotaPermit),
    /// It waits; [`QuotaEffect::Resolved`] with this ticket follows by `until`.
    Waiting {
        /// Names the request.
        ticket: WaitTicket,
        /// When it is resolved at the latest.
        until: stamp::TimeStamp,
    },
    /// It may not go on, and nothing was taken.
    Refused {
        /// When it may be worth another try.
        retry_after: Duration,
    },
}

/// Allowance that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaPermit {
    /// Of which limit.
    pub limit: limit::LimitKey,
    /// Where it came from.
    pub source: PermitSource,
    /// When its use has to have ended; for a rate limit it is never too late.
    pub usable_until: stamp::TimeStamp,
}

/// Where taken allowance came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitSource {
    /// Of a rate: it is spent and does not come back.
    Spent,
    /// A unit of a count out of this VM's share.
    Share,
    /// A unit of a count out of a loan.
    Loan(message::LoanSerial),
}

/// What the driver is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEffect {
    /// Send a message to a peer.
    Send {
        /// To whom.
        to: member::HolderId,
        /// What.
        message: message::QuotaMessage,
    },
    /// Read the share document and pass it to `apply_read`.
    ReadShares,
    /// Write the share document and pass the outcome to `apply_write_outcome`.
    WriteShares(holder::ShareWrite),
    /// A waiting request is granted or refused.
    Resolved {
        /// Which.
        ticket: WaitTicket,
        /// [`Admission::Granted`] or [`Admission::Refused`].
        admission: Admission,
    },
}
