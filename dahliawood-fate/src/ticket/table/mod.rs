//! The records of one VM incarnation's tickets.

use super::outcome::{RequestDigest, TicketOutcome};
use super::status::{KnownBy, TicketAsker, TicketReport, TicketState};
use super::{RequestTicket, VmIncarnation, issuer};
use crate::verdict;
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// Bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// Records of all customers.
    pub max_records: usize,
    /// Records of one customer, so that none takes the room of the others.
    pub max_customer_records: usize,
    /// The longest answer that is kept whole, bytes.
    pub max_answer_bytes: usize,
    /// All answers that are kept whole together, bytes.
    pub max_bytes: usize,
    /// How long an outcome is kept.
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
    /// Nothing of it has been sent; the next request with the ticket may run.
    Open,
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

/// What a request with a ticket is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketAdmission {
    /// Run: it is the first, and nobody else will.
    Run,
    /// Wait for the one that is running.
    Wait,
    /// Repeat this outcome.
    Repeat(TicketOutcome),
    /// Be refused.
    Refuse(TicketRefusal),
}

/// Why a request with a ticket is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TicketRefusal {
    /// Another VM incarnation holds the ticket.
    #[display("not-holder")]
    NotHolder(VmIncarnation),
    /// This customer was not issued the ticket.
    #[display("not-issued")]
    NotIssued,
    /// The ticket was used for another request.
    #[display("other-request")]
    OtherRequest,
    /// The ticket has expired and there is no record of it.
    #[display("expired")]
    Expired,
    /// There is no room for another record.
    #[display("full")]
    Full,
}

impl TicketRefusal {
    /// Whether the request as re-sent may have run.
    pub fn verdict(self) -> verdict::RunVerdict {
        match self {
            Self::NotHolder(_) | Self::Expired => verdict::RunVerdict::MayHaveRun,
            Self::NotIssued | Self::OtherRequest | Self::Full => verdict::RunVerdict::NotRun,
        }
    }
}

/// The records of one VM incarnation's tickets.
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

    /// The incarnation that holds these tickets.
    pub fn holder(&self) -> VmIncarnation {
        self.issuer.holder()
    }

    /// Issues a ticket, see [`issuer::TicketIssuer::issue`].
    pub fn issue(
        &mut self,
        customer: &str,
        life: Duration,
        now: stamp::TimeStamp,
    ) -> RequestTicket {
        self.issuer.issue(customer, life, now)
    }

    /// Admits a request with a ticket. After [`TicketAdmission::Run`] one call of
    /// [`TicketTable::finish`] must follow, whatever happens to the request.
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
            None => self.begin_first(ticket, customer, digest, now),
        }
    }

    fn begin_first(
        &mut self,
        ticket: &RequestTicket,
        customer: &str,
        digest: RequestDigest,
        now: stamp::TimeStamp,
    ) -> TicketAdmission {
        if now > ticket.not_after {
            return TicketAdmission::Refuse(TicketRefusal::Expired);
        }
        let own = self.customers.get(customer).copied().unwrap_or_default();
        let full = self.records.len() >= self.options.max_records;
        if full || own >= self.options.max_customer_records {
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

    /// Records what the running request came to, and returns what is to be journalled.
    ///
    /// An outcome that says "not run" lets the next request with the ticket run. It is not final,
    /// so there is nothing to journal: a holder that died after it could have run the next one.
    pub fn finish(
        &mut self,
        ticket: &RequestTicket,
        outcome: TicketOutcome,
        now: stamp::TimeStamp,
    ) -> Option<TicketOutcome> {
        let kept = self.shorten(outcome);
        let record = self.records.get_mut(&ticket.serial)?;
        if !matches!(record.state, RecordState::Running) {
            return None;
        }
        record.expires = ticket.not_after.max(now.after(self.options.keep));
        if kept.verdict() == verdict::RunVerdict::NotRun {
            record.state = RecordState::Open;
            return None;
        }
        record.state = RecordState::Done(kept.clone());
        self.bytes += weight(&record.state);
        Some(kept)
    }

    fn shorten(&self, outcome: TicketOutcome) -> TicketOutcome {
        match &outcome {
            TicketOutcome::Answered(answer)
                if answer.weight() > self.options.max_answer_bytes
                    || self.bytes + answer.weight() > self.options.max_bytes =>
            {
                outcome.brief()
            }
            _ => outcome,
        }
    }

    /// What became of a ticket that this incarnation holds.
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

    /// Forgets records whose ticket has expired and whose outcome was kept for long enough; those
    /// that run are never forgotten.
    pub fn sweep(&mut self, now: stamp::TimeStamp) {
        let customers = &mut self.customers;
        let bytes = &mut self.bytes;
        self.records.retain(|_, record| {
            let running = matches!(record.state, RecordState::Running);
            if running || record.expires >= now {
                return true;
            }
            *bytes -= weight(&record.state);
            release(customers, &record.customer);
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

    /// Bytes of all answers kept whole.
    pub fn kept_bytes(&self) -> usize {
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
            RecordState::Open if now > not_after => {
                TicketAdmission::Repeat(TicketOutcome::Failed {
                    verdict: verdict::RunVerdict::NotRun,
                })
            }
            RecordState::Open => {
                self.state = RecordState::Running;
                TicketAdmission::Run
            }
        }
    }
}

impl RecordState {
    fn report(&self) -> (TicketState, verdict::RunVerdict) {
        match self {
            Self::Open => (TicketState::NotBegun, verdict::RunVerdict::NotRun),
            Self::Running => (TicketState::Running, verdict::RunVerdict::MayHaveRun),
            Self::Done(outcome) => (outcome_state(outcome), outcome.verdict()),
        }
    }
}

/// The state that an outcome is reported as.
pub fn outcome_state(outcome: &TicketOutcome) -> TicketState {
    match outcome {
        TicketOutcome::Answered(answer) => TicketState::Answered {
            status: answer.status,
        },
        TicketOutcome::AnsweredBrief { status } => TicketState::Answered { status: *status },
        TicketOutcome::Failed { .. } => TicketState::Failed,
    }
}

fn weight(state: &RecordState) -> usize {
    match state {
        RecordState::Done(TicketOutcome::Answered(answer)) => answer.weight(),
        _ => 0,
    }
}

fn release(customers: &mut FastMap<String, usize>, customer: &str) {
    if let Some(own) = customers.get_mut(customer) {
        *own -= 1;
        if *own == 0 {
            customers.remove(customer);
        }
    }
}
