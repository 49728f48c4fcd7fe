//! Journal of ticket outcomes: batches them for the store within a write budget.
//!
//! The journal decides what is written and when; the caller does the writing. Each batch has its
//! own key and the same content on every attempt, so writes are idempotent: after a lost reply the
//! caller writes the batch again.

use crate::ticket::outcome::TicketOutcome;
use crate::ticket::status::{KnownBy, TicketAsker, TicketReport, TicketState};
use crate::ticket::{self, table};
use crate::verdict;
use dahliawood_model::stamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Limits of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalOptions {
    /// Minimum time from one write to the next: the write budget of this VM.
    pub interval: Duration,
    /// Maximum size of a batch, in bytes of stored answers.
    pub max_batch_bytes: usize,
    /// Maximum entries in a batch.
    pub max_batch_entries: usize,
    /// Maximum size of an answer that is written in full, bytes; of larger ones only the status is.
    pub max_answer_bytes: usize,
    /// Maximum pending entries, which accumulate while the store is unavailable.
    pub max_pending: usize,
}

impl Default for JournalOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            max_batch_bytes: 512 * 1024,
            max_batch_entries: 1_000,
            max_answer_bytes: 4 * 1024,
            max_pending: 50_000,
        }
    }
}

/// Minimum time between two writes of a VM, where `vms` VMs share a budget of `writes_per_second`.
pub fn interval(vms: u32, writes_per_second: u32) -> Duration {
    Duration::from_secs(1) * vms / writes_per_second.max(1)
}

/// The outcome of one ticket.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JournalEntry {
    /// The ticket's serial number at its holder.
    pub serial: u64,
    /// The customer who owns the ticket.
    pub customer: String,
    /// The outcome of its request.
    pub outcome: TicketOutcome,
}

impl JournalEntry {
    fn report(&self) -> TicketReport {
        TicketReport {
            state: table::outcome_state(&self.outcome),
            ran: self.outcome.verdict(),
            known_by: KnownBy::Journal,
        }
    }

    fn size_bytes(&self) -> usize {
        match &self.outcome {
            TicketOutcome::Answered(answer) => answer.size_bytes(),
            _ => 0,
        }
    }
}

/// The report on a ticket whose holder is gone; `entry` is the ticket's journal entry, if any. To a
/// customer, another customer's ticket is reported as unknown.
pub fn report(entry: Option<&JournalEntry>, asker: TicketAsker<'_>) -> TicketReport {
    let Some(entry) = entry else {
        return TicketReport::holder_gone();
    };
    match asker {
        TicketAsker::Customer(customer) if customer != entry.customer => TicketReport {
            state: TicketState::Unknown,
            ran: verdict::RunVerdict::NotRun,
            known_by: KnownBy::Journal,
        },
        _ => entry.report(),
    }
}

/// Key prefix of all batches of a holder.
pub fn key_prefix(holder: ticket::VmIncarnation) -> String {
    format!("journal/{}/{:016x}/", holder.address, holder.incarnation)
}

/// Outcomes that are written together.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JournalBatch {
    /// Its sequence number within the incarnation, part of its key.
    pub sequence: u64,
    /// Entries, oldest outcome first.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// Its key in the store; a holder's keys sort in the order of writing.
    pub fn key(&self, holder: ticket::VmIncarnation) -> String {
        format!("{}{:016x}", key_prefix(holder), self.sequence)
    }
}

/// Outcomes that are not confirmed as written yet.
#[derive(Clone, Debug)]
pub struct OutcomeJournal {
    options: JournalOptions,
    pending: VecDeque<JournalEntry>,
    unconfirmed: Option<JournalBatch>,
    next_write_at: stamp::TimeStamp,
    sequence: u64,
    dropped: u64,
}

impl OutcomeJournal {
    /// An empty journal.
    pub fn new(options: JournalOptions) -> Self {
        Self {
            options,
            pending: VecDeque::new(),
            unconfirmed: None,
            next_write_at: stamp::TimeStamp::ZERO,
            sequence: 0,
            dropped: 0,
        }
    }

    /// Adds an outcome. If too many are pending, the oldest is dropped and counted; it is then only
    /// in the holder's own ticket table.
    pub fn add(&mut self, mut entry: JournalEntry) {
        if entry.size_bytes() > self.options.max_answer_bytes {
            entry.outcome = entry.outcome.without_content();
        }
        if self.pending.len() >= self.options.max_pending {
            self.pending.pop_front();
            self.dropped += 1;
        }
        self.pending.push_back(entry);
    }

    /// The batch to write now, if any: the unconfirmed one again, else a new one, and no sooner
    /// than the budget allows. Each call that returns a batch counts as a write.
    pub fn next_write(&mut self, now: stamp::TimeStamp) -> Option<JournalBatch> {
        if now < self.next_write_at {
            return None;
        }
        if self.unconfirmed.is_none() {
            self.unconfirmed = self.take_batch();
        }
        let batch = self.unconfirmed.clone()?;
        self.next_write_at = now.after(self.options.interval);
        Some(batch)
    }

    fn take_batch(&mut self) -> Option<JournalBatch> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.pending.front() {
            bytes += entry.size_bytes();
            let full = entries.len() >= self.options.max_batch_entries
                || bytes > self.options.max_batch_bytes;
            if full && !entries.is_empty() {
                break;
            }
            entries.extend(self.pending.pop_front());
        }
        if entries.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(JournalBatch {
            sequence: self.sequence,
            entries,
        })
    }

    /// Confirms that a batch is stored; until then [`OutcomeJournal::next_write`] returns it again.
    pub fn written(&mut self, sequence: u64) {
        if self
            .unconfirmed
            .as_ref()
            .is_some_and(|batch| batch.sequence == sequence)
        {
            self.unconfirmed = None;
        }
    }

    /// Number of entries that are not confirmed as stored.
    pub fn unwritten(&self) -> usize {
        let unconfirmed = self
            .unconfirmed
            .as_ref()
            .map_or(0, |batch| batch.entries.len());
        self.pending.len() + unconfirmed
    }

    /// Number of entries that were dropped because too many were pending.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
