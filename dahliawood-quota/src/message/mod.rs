//! What VMs say to each other about allowance.
//!
//! Every message may be lost, late, repeated or out of order. Whoever carries them counts their
//! bytes against the link.

use crate::{amount, limit, member};
use std::time::Duration;

/// Identifies an ask and the loan that answers it, unique for one life of its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct LoanSerial(pub u64);

/// A message between two VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::From)]
pub enum QuotaMessage {
    /// A borrower asks.
    LoanRequest(LoanRequest),
    /// A lender answers.
    LoanGrant(LoanGrant),
    /// A borrower says what became of a loan.
    LoanReport(LoanReport),
    /// The issuer of a limit asks for the share of another home.
    LeaseRequest(LeaseRequest),
    /// That home lets it have the share.
    LeaseGrant(LeaseGrant),
    /// The issuer gives the share back early.
    LeaseReturn(LeaseReturn),
    /// A home wants its share back early.
    LeaseRecall(LeaseRecall),
    /// A VM asks to be heard, or whether another was.
    Probe(PeerProbe),
    /// The answer to a probe.
    Echo(PeerEcho),
}

/// A borrower asks for allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which ask.
    pub serial: LoanSerial,
    /// What requests wait for.
    pub need: amount::TokenAmount,
    /// What the borrower expects to use, at least `need`.
    pub want: amount::TokenAmount,
    /// How long the loan may be used, from when the ask was sent.
    pub length: Duration,
}

/// A lender's answer; the lender has subtracted `granted` before it sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which ask is answered.
    pub serial: LoanSerial,
    /// What may be used; nothing is a refusal.
    pub granted: amount::TokenAmount,
    /// When the lender may have more.
    pub retry_after: Duration,
}

/// What became of a loan so far; the totals only grow, so the highest seen is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReport {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which loan.
    pub serial: LoanSerial,
    /// Spent of the loan in all.
    pub spent: amount::TokenAmount,
    /// Given back of the loan in all; the borrower has subtracted it.
    pub returned: amount::TokenAmount,
}

/// A VM asks to be heard, or whether another was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProbe {
    /// Which probe, unique for one life of its sender.
    pub serial: u64,
    /// A VM whose shares the sender would reclaim, `None` to be heard itself.
    pub subject: Option<member::HolderId>,
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEcho {
    /// Which probe.
    pub serial: u64,
    /// Of the probe.
    pub subject: Option<member::HolderId>,
    /// How long the subject has not been heard at the answering VM.
    pub silent_for: Duration,
}

/// The issuer of a limit asks for the whole share of another home, or to keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which lease; a new one of the same borrower is higher.
    pub serial: LoanSerial,
    /// Which ask of this lease.
    pub sequence: u64,
}

/// The home has stopped using its share, and the issuer may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which lease.
    pub serial: LoanSerial,
    /// Which ask is answered; the lease runs from when it was sent.
    pub sequence: u64,
    /// Rate of the share, in all.
    pub rate: amount::TokenRate,
    /// Burst of the share, in all.
    pub burst: amount::TokenAmount,
    /// Tokens that came with the share, in all.
    pub tokens: amount::TokenAmount,
}

/// The issuer has stopped using a leased share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReturn {
    /// Of which limit.
    pub tag: limit::LimitTag,
    /// Which lease; it is over.
    pub serial: LoanSerial,
    /// Rate given back.
    pub rate: amount::TokenRate,
    /// Burst given back; what is missing is lent on and comes back when the lease would have ended.
    pub burst: amount::TokenAmount,
    /// Tokens given back.
    pub tokens: amount::TokenAmount,
}

/// A home wants its share back, because it should hold less of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRecall {
    /// Of which limit.
    pub tag: limit::LimitTag,
}
