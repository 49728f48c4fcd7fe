//! The messages that VMs exchange about loans, leases and liveness.
//!
//! Every message may be lost, delayed, repeated or reordered. Whatever carries them must
//! count their bytes against the link.

use crate::{amount, limit, member};
use std::time::Duration;

/// Identifies a request and the loan or lease that answers it; unique for one incarnation of the
/// borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct LoanSerial(pub u64);

/// A message between two VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::From)]
pub enum QuotaMessage {
    /// A borrower requests a loan.
    LoanRequest(LoanRequest),
    /// A lender answers a loan request.
    LoanGrant(LoanGrant),
    /// A borrower reports what it spent of a loan and what it returns.
    LoanReport(LoanReport),
    /// The issuer of a limit requests the share of another home.
    LeaseRequest(LeaseRequest),
    /// That home leases its share to the issuer.
    LeaseGrant(LeaseGrant),
    /// The issuer returns the share before the lease ends.
    LeaseReturn(LeaseReturn),
    /// A home requests its share back before the lease ends.
    LeaseRecall(LeaseRecall),
    /// A VM asks for proof of its own liveness, or whether another VM has been silent.
    Probe(PeerProbe),
    /// The answer to a probe.
    Echo(PeerEcho),
}

/// A borrower requests a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanRequest {
    /// The limit.
    pub tag: limit::LimitTag,
    /// Identifies the request.
    pub serial: LoanSerial,
    /// The amount that requests wait for.
    pub need: amount::TokenAmount,
    /// The amount that the borrower expects to use, at least `need`.
    pub want: amount::TokenAmount,
    /// How long the loan may be used, counted from when the request was sent.
    pub length: Duration,
}

/// A lender's answer. The lender subtracts `granted` from its bucket before it sends the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanGrant {
    /// The limit.
    pub tag: limit::LimitTag,
    /// The request that is answered.
    pub serial: LoanSerial,
    /// The amount that may be used; zero is a refusal.
    pub granted: amount::TokenAmount,
    /// How long until the lender may have more.
    pub retry_after: Duration,
}

/// The usage of a loan so far. The totals only grow, so the highest ones received are the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanReport {
    /// The limit.
    pub tag: limit::LimitTag,
    /// Identifies the loan.
    pub serial: LoanSerial,
    /// Total spent of the loan.
    pub spent: amount::TokenAmount,
    /// Total returned of the loan; the borrower no longer uses it.
    pub returned: amount::TokenAmount,
}

/// A VM asks for proof of its own liveness, or whether another VM has been silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProbe {
    /// Identifies the probe; unique for one incarnation of its sender.
    pub serial: u64,
    /// A VM whose shares the sender would reclaim; `None` if the sender asks for its own proof.
    pub subject: Option<member::HolderId>,
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEcho {
    /// The probe that is answered.
    pub serial: u64,
    /// The subject of the probe.
    pub subject: Option<member::HolderId>,
    /// How long the answering VM has received nothing from the subject; zero if it has not declared
    /// the subject silent.
    pub silent_for: Duration,
}

/// The issuer of a limit requests the whole share of another home, or renews its lease of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The limit.
    pub tag: limit::LimitTag,
    /// Identifies the lease; a newer lease of the same borrower has a higher serial.
    pub serial: LoanSerial,
    /// Sequence number of this request; increases with each request of the borrower.
    pub sequence: u64,
}

/// The home has stopped using its share, and the issuer may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The limit.
    pub tag: limit::LimitTag,
    /// Identifies the lease.
    pub serial: LoanSerial,
    /// The request that is answered; the lease time is counted from when that request was sent.
    pub sequence: u64,
    /// Total rate of the leased share.
    pub rate: amount::TokenRate,
    /// Total burst of the leased share.
    pub burst: amount::TokenAmount,
    /// Total tokens handed over with the share in this lease.
    pub tokens: amount::TokenAmount,
}

/// The issuer has stopped using a leased share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseReturn {
    /// The limit.
    pub tag: limit::LimitTag,
    /// Identifies the lease, which ends with this message.
    pub serial: LoanSerial,
    /// Rate returned.
    pub rate: amount::TokenRate,
    /// Burst returned. What is missing is lent to other VMs, and the home gets it back when the
    /// lease would have ended.
    pub burst: amount::TokenAmount,
    /// Tokens returned.
    pub tokens: amount::TokenAmount,
}

/// A home requests its share back, because it must lower it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRecall {
    /// The limit.
    pub tag: limit::LimitTag,
}
