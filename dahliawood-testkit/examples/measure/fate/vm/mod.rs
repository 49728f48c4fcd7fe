//! A simulated VM with its real tables, and the requests that it processes.

use super::simulation::CallKind;
use dahliawood_request::ticket::{self, issuer, table};
use dahliawood_request::{journal, request, retry};
use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

/// Retries that the budget allows for a hundred first tries.
const RETRY_PERCENT: u32 = 20;
/// Retries that the budget allows in a burst.
const RETRY_BURST: u32 = 50;
/// Journal writes per second of the whole fleet.
const JOURNAL_WRITES: u32 = 50;

/// A simulated VM.
pub struct Vm {
    /// Its address and current incarnation.
    pub own: ticket::VmIncarnation,
    /// Whether it runs.
    pub alive: bool,
    /// Tickets that it holds.
    pub tickets: table::TicketTable,
    /// Outcomes that are to be written to the store.
    pub journal: journal::OutcomeJournal,
    /// Retry budget of look-ups.
    pub lookups: retry::RetryBudget,
    /// Retry budget of filings.
    pub filings: retry::RetryBudget,
    /// For each target, whether the pooled connections to it have gone silent.
    pub silent: Vec<bool>,
}

impl Vm {
    /// A VM that has just started at the address with the given `index`.
    pub fn new(index: usize, incarnation: u64, vms: u32, targets: usize, rng: &mut StdRng) -> Self {
        let own = ticket::VmIncarnation {
            address: SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16)),
            incarnation,
        };
        let issuer = issuer::TicketIssuer::new(own, rng.random());
        let journal = journal::JournalOptions {
            interval: journal::interval(vms, JOURNAL_WRITES),
            ..journal::JournalOptions::default()
        };
        Self {
            own,
            alive: true,
            tickets: table::TicketTable::new(issuer, table::TableOptions::default()),
            journal: journal::OutcomeJournal::new(journal),
            lookups: retry::RetryBudget::new(RETRY_PERCENT, RETRY_BURST),
            filings: retry::RetryBudget::new(RETRY_PERCENT, RETRY_BURST),
            silent: vec![false; targets],
        }
    }

    /// The retry budget of a kind of call.
    pub fn budget(&mut self, kind: CallKind) -> &mut retry::RetryBudget {
        match kind {
            CallKind::Filing => &mut self.filings,
            CallKind::Lookup => &mut self.lookups,
        }
    }
}

/// One try of an active request.
#[derive(Clone, Copy, Debug)]
pub struct TryRecord {
    /// The target.
    pub target: usize,
    /// The target's incarnation at dispatch.
    pub incarnation: u64,
}

/// A request that a VM is processing.
pub struct ActiveRequest {
    /// Index of the call.
    pub call: usize,
    /// Index of the VM.
    pub vm: usize,
    /// The VM's incarnation.
    pub own: ticket::VmIncarnation,
    /// The request's state machine.
    pub record: request::RequestRecord,
    /// Tries, indexed by their keys.
    pub tries: Vec<TryRecord>,
    /// Numbers of the call's sends that wait for its outcome.
    pub waiting: Vec<u32>,
}
