//! A VM with its real tables, and one request that it carries.

use super::world::CallKind;
use dahliawood_fate::ticket::{self, issuer, table};
use dahliawood_fate::{journal, request, retry};
use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;

/// Retries for a hundred first tries.
const RETRY_PERCENT: u32 = 20;
/// Retries at once.
const RETRY_BURST: u32 = 50;
/// Store writes a second for the whole fleet.
const JOURNAL_WRITES: u32 = 50;

/// One VM.
pub struct Vm {
    /// Its present incarnation.
    pub own: ticket::VmIncarnation,
    /// Whether it runs.
    pub alive: bool,
    /// Tickets that it holds.
    pub tickets: table::TicketTable,
    /// Outcomes on their way to the store.
    pub journal: journal::OutcomeJournal,
    /// Budget of look-ups.
    pub lookups: retry::RetryBudget,
    /// Budget of filings.
    pub filings: retry::RetryBudget,
    /// Targets whose pooled connections have gone silent.
    pub silent: Vec<bool>,
}

impl Vm {
    /// A VM that has just started at the address of `index`.
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

/// One try of a carried request.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// The target.
    pub target: usize,
    /// The target's life at dispatch.
    pub life: u64,
}

/// A request that a VM carries.
pub struct Carried {
    /// The call.
    pub call: usize,
    /// The VM.
    pub vm: usize,
    /// Its incarnation.
    pub own: ticket::VmIncarnation,
    /// The state machine.
    pub record: request::RequestRecord,
    /// Tries in the order of their keys.
    pub tries: Vec<Try>,
    /// Sends of the call that wait for its outcome, by their number.
    pub waiting: Vec<u32>,
}
