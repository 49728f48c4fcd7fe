//! Table of the tickets that one VM incarnation holds and whose requests it has admitted.

use super::outcome::{RequestDigest, TicketOutcome};
use super::status::{KnownBy, TicketAsker, TicketReport, TicketState};
use super::{RequestTicket, VmIncarnation, issuer};
use crate::verdict;
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// Limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// Maximum records of all customers.
    pub max_records: usize,
    /// Maximum records of one customer, so that none can use up the table.
    pub max_customer_records: usize,
    /// Maximum size of an answer that is stored in full, bytes.
    pub max_answer_bytes: usize,
    /// Maximum total size of the answers stored in full, bytes.
    pub max_bytes: usize,
    /// Minimum time for which an outcome is stored.
    pub keep: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            max_records: 100_000,
            max_customer_records: 25_000,
            max_answer_bytes: 64 * 1024,
            max_bytes: 256 * 1024 * 1024,
            keep: Duration::from_secs(600),
        }
    }
}

#[derive(Debug)]
enum RecordState {
    /// No byte of the request was sent; the next request with the ticket may run.
    Runnable,
    Running,
    Done(TicketOutcome),
}

#[derive(Debug)]
struct TicketRecord {
    customer: String,
    digest: RequestDigest,
    state: RecordState,
    expires: stamp::TimeStamp,
}

/// Admission decision for a request with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketAdmission {
    /// Run the request; no other request with the ticket is running or has run.
    Run,
    /// Wait for the outcome of the request that is running.
    Wait,
    /// Answer with this stored outcome.
    Repeat(TicketOutcome),
    /// Refuse the request.
    Refuse(TicketRefusal),
}

/// Why a request with a ticket is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TicketRefusal {
    /// Another VM incarnation holds the ticket.
    #[display("not-holder")]
    NotHolder(VmIncarnation),
    /// The ticket was not issued to this customer.
    #[display("not-issued")]
    NotIssued,
    /// The ticket was used for another request.
    #[display("other-request")]
    OtherRequest,
    /// The ticket has expired and has no record.
    #[display("expired")]
    Expired,
    /// The table, or the customer's part of it, is full.
    #[display("full")]
    Full,
}

impl TicketRefusal {
    /// Verdict on whether the request may have run, by this or an earlier attempt.
    pub fn verdict(self) -> verdict::RunVerdict {
        match self {
            Self::NotHolder(_) | Self::Expired => verdict::RunVerdict::MayHaveRun,
            Self::NotIssued | Self::OtherRequest | Self::Full => verdict::RunVerdict::NotRun,
        }
    }
}

/// Records of the tickets that one VM incarnation holds.
#[derive(Debug)]
pub struct TicketTable {
    options: TableOptions,
    issuer: issuer::TicketIssuer,
    records: FastMap<u64, TicketRecord>,
    customers: FastMap<String, usize>,
    bytes: usize,
}

impl TicketTable {
    /// An empty table.
    pub fn new(issuer: issuer::TicketIssuer, options: TableOptions) -> Self {
        Self {
            options,
            issuer,
            records: FastMap::default(),
            customers: FastMap::default(),
            bytes: 0,
        }
    }

    /// The incarnation that holds the tickets.
    pub fn holder(&self) -> VmIncarnation {
        self.issuer.holder()
    }

    /// Issues a ticket, see [`issuer::TicketIssuer::issue`].
    pub fn issue(
        &mut self,
        customer: &str,
        lifetime: Duration,
        now: stamp::TimeStamp,
    ) -> RequestTicket {
        self.issuer.issue(customer, lifetime, now)
    }

    /// Decides on a request with a ticket. After [`TicketAdmission::Run`] the caller must call
    /// [`TicketTable::finish`] once, whatever happens to the request.
    pub fn begin(
        &mut self,
        ticket: &RequestTicket,
        customer: &str,
        digest: RequestDigest,
        now: stamp::TimeStamp,
    ) -> TicketAdmission {
        if ticket.holder != self.holder() {
            return TicketAdmission::Refuse(TicketRefusal::NotHolder(ticket.holder));
        }
        if !self.issuer.issued(ticket, customer) {
            return TicketAdmission::Refuse(TicketRefusal::NotIssued);
        }
        match self.records.get_mut(&ticket.serial) {
            Some(record) => record.admit(digest, ticket.not_after, now),
            None => self.begin_new(ticket, customer, digest, now),
        }
    }

    fn begin_new(
        &mut self,
        ticket: &RequestTicket,
        customer: &str,
        digest: RequestDigest,
        now: stamp::TimeStamp,
    ) -> TicketAdmission {
        if now > ticket.not_after {
            return TicketAdmission::Refuse(TicketRefusal::Expired);
        }
        let count = self.customers.get(customer).copied().unwrap_or_default();
        let full = self.records.len() >= self.options.max_records;
        if full || count >= self.options.max_customer_records {
            return TicketAdmission::Refuse(TicketRefusal::Full);
        }
        let record = TicketRecord {
            customer: customer.to_owned(),
            digest,
            state: RecordState::Running,
            expires: ticket.not_after,
        };
        self.records.insert(ticket.serial, record);
        *self.customers.entry(customer.to_owned()).or_default() += 1;
        TicketAdmission::Run
    }

    /// Records the outcome of the running request, and returns the outcome to journal, if any.
    ///
    /// After the verdict "not run" the next request with the ticket may run. That outcome is not
    /// final and is not journaled: the holder could run the next request and die before journaling
    /// it, and the entry would then be wrong.
    pub fn finish(
        &mut self,
        ticket: &RequestTicket,
        outcome: TicketOutcome,
        now: stamp::TimeStamp,
    ) -> Option<TicketOutcome> {
        let stored = self.limit_size(outcome);
        let record = self.records.get_mut(&ticket.serial)?;
        if !matches!(record.state, RecordState::Running) {
            return None;
        }
        record.expires = ticket.not_after.max(now.after(self.options.keep));
        if stored.verdict() == verdict::RunVerdict::NotRun {
            record.state = RecordState::Runnable;
            return None;
        }
        record.state = RecordState::Done(stored.clone());
        self.bytes += stored_size(&record.state);
        Some(stored)
    }

    fn limit_size(&self, outcome: TicketOutcome) -> TicketOutcome {
        match &outcome {
            TicketOutcome::Answered(answer)
                if answer.size_bytes() > self.options.max_answer_bytes
                    || self.bytes + answer.size_bytes() > self.options.max_bytes =>
            {
                outcome.without_content()
            }
            _ => outcome,
        }
    }

    /// Reports on a ticket that this incarnation holds.
    pub fn report(
        &self,
        ticket: &RequestTicket,
        asker: TicketAsker<'_>,
        now: stamp::TimeStamp,
    ) -> TicketReport {
        let known = match asker {
            TicketAsker::Customer(customer) => self.issuer.issued(ticket, customer),
            TicketAsker::Operator => ticket.holder == self.holder(),
        };
        let (state, ran) = match self.records.get(&ticket.serial) {
            _ if !known => (TicketState::Unknown, verdict::RunVerdict::NotRun),
            Some(record) => record.state.report(),
            None if now <= ticket.not_after => (TicketState::NotBegun, verdict::RunVerdict::NotRun),
            None => (TicketState::Forgotten, verdict::RunVerdict::MayHaveRun),
        };
        TicketReport {
            state,
            ran,
            known_by: KnownBy::Holder,
        }
    }

    /// Removes records whose ticket has expired and whose outcome was stored for long enough.
    /// Records of running requests are never removed.
    pub fn sweep(&mut self, now: stamp::TimeStamp) {
        let customers = &mut self.customers;
        let bytes = &mut self.bytes;
        self.records.retain(|_, record| {
            let running = matches!(record.state, RecordState::Running);
            if running || record.expires >= now {
                return true;
            }
            *bytes -= stored_size(&record.state);
            decrement_records(customers, &record.customer);
            false
        });
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the answers stored in full, bytes.
    pub fn stored_bytes(&self) -> usize {
        self.bytes
    }
}

impl TicketRecord {
    fn admit(
        &mut self,
        digest: RequestDigest,
        not_after: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) -> TicketAdmission {
        if self.digest != digest {
            return TicketAdmission::Refuse(TicketRefusal::OtherRequest);
        }
        match &self.state {
            RecordState::Running => TicketAdmission::Wait,
            RecordState::Done(outcome) => TicketAdmission::Repeat(outcome.clone()),
            RecordState::Runnable if now > not_after => {
                TicketAdmission::Repeat(TicketOutcome::Failed {
                    verdict: verdict::RunVerdict::NotRun,
                })
            }
            RecordState::Runnable => {
                self.state = RecordState::Running;
                TicketAdmission::Run
            }
        }
    }
}

impl RecordState {
    fn report(&self) -> (TicketState, verdict::RunVerdict) {
        match self {
            Self::Runnable => (TicketState::NotBegun, verdict::RunVerdict::NotRun),
            Self::Running => (TicketState::Running, verdict::RunVerdict::MayHaveRun),
            Self::Done(outcome) => (outcome_state(outcome), outcome.verdict()),
        }
    }
}

/// The reported state of an outcome.
pub fn outcome_state(outcome: &TicketOutcome) -> TicketState {
    match outcome {
        TicketOutcome::Answered(answer) => TicketState::Answered {
            status: answer.status,
        },
        TicketOutcome::AnsweredBrief { status } => TicketState::Answered { status: *status },
        TicketOutcome::Failed { .. } => TicketState::Failed,
    }
}

fn stored_size(state: &RecordState) -> usize {
    match state {
        RecordState::Done(TicketOutcome::Answered(answer)) => answer.size_bytes(),
        _ => 0,
    }
}

fn decrement_records(customers: &mut FastMap<String, usize>, customer: &str) {
    if let Some(count) = customers.get_mut(customer) {
        *count -= 1;
        if *count == 0 {
            customers.remove(customer);
        }
    }
}
