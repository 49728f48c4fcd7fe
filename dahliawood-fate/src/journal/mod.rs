//! Outcomes of tickets on their way to the store, in batches within a write budget.
//!
//! The journal decides what is written and when; writing is up to its caller. A batch has a key of
//! its own and the same content on each attempt, so a lost reply is answered by writing it again.

use crate::ticket::outcome::TicketOutcome;
use crate::ticket::status::{KnownBy, TicketAsker, TicketReport, TicketState};
use crate::ticket::{self, table};
use crate::verdict;
use dahliawood_model::stamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalOptions {
    /// The least time from one write to the next: the write budget of this VM.
    pub interval: Duration,
    /// The largest batch, bytes of kept answers.
    pub max_batch_bytes: usize,
    /// Entries in a batch.
    pub max_batch_entries: usize,
    /// The longest answer that is written whole, bytes.
    pub max_answer_bytes: usize,
    /// Entries that wait, through an outage of the store.
    pub max_waiting: usize,
}

impl Default for JournalOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            max_batch_bytes: 512 * 1024,
            max_batch_entries: 1_000,
            max_answer_bytes: 4 * 1024,
            max_waiting: 50_000,
        }
    }
}

/// The least time from one write of a VM to its next, where `vms` of them share so many writes a
/// second.
pub fn interval(vms: u32, writes_per_second: u32) -> Duration {
    Duration::from_secs(1) * vms / writes_per_second.max(1)
}

/// One outcome.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JournalEntry {
    /// The ticket's serial among those of its holder.
    pub serial: u64,
    /// The customer who owns the ticket.
    pub customer: String,
    /// What its request came to.
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

    fn weight(&self) -> usize {
        match &self.outcome {
            TicketOutcome::Answered(answer) => answer.weight(),
            _ => 0,
        }
    }
}

/// What is told of a ticket whose holder is gone: `entry` is what the journal has for it, if
/// anything. A customer is told of its own tickets only.
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

/// What the keys of all batches of a holder begin with.
pub fn key_prefix(holder: ticket::VmIncarnation) -> String {
    format!("journal/{}/{:016x}/", holder.address, holder.incarnation)
}

/// Outcomes that are written at once.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JournalBatch {
    /// Its place among the batches of its incarnation, and part of its key.
    pub sequence: u64,
    /// Entries in the order of their outcomes.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// Its key in the store; in the order of writing among those of its holder.
    pub fn key(&self, holder: ticket::VmIncarnation) -> String {
        format!("{}{:016x}", key_prefix(holder), self.sequence)
    }
}

/// Outcomes that wait to be written.
#[derive(Clone, Debug)]
pub struct OutcomeJournal {
    options: JournalOptions,
    waiting: VecDeque<JournalEntry>,
    writing: Option<JournalBatch>,
    due: stamp::TimeStamp,
    sequence: u64,
    dropped: u64,
}

impl OutcomeJournal {
    /// An empty journal.
    pub fn new(options: JournalOptions) -> Self {
        Self {
            options,
            waiting: VecDeque::new(),
            writing: None,
            due: stamp::TimeStamp::ZERO,
            sequence: 0,
            dropped: 0,
        }
    }

    /// Adds an outcome; where too many wait, the oldest is dropped and counted. The holder itself
    /// still knows it.
    pub fn add(&mut self, mut entry: JournalEntry) {
        if entry.weight() > self.options.max_answer_bytes {
            entry.outcome = entry.outcome.brief();
        }
        if self.waiting.len() >= self.options.max_waiting {
            self.waiting.pop_front();
            self.dropped += 1;
        }
        self.waiting.push_back(entry);
    }

    /// The batch that is to be written now, if any: one at a time, and no sooner than the budget
    /// allows. Each call that returns one counts as a write.
    pub fn next_write(&mut self, now: stamp::TimeStamp) -> Option<JournalBatch> {
        if now < self.due {
            return None;
        }
        if self.writing.is_none() {
            self.writing = self.cut_batch();
        }
        let batch = self.writing.clone()?;
        self.due = now.after(self.options.interval);
        Some(batch)
    }

    fn cut_batch(&mut self) -> Option<JournalBatch> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.waiting.front() {
            bytes += entry.weight();
            let full = entries.len() >= self.options.max_batch_entries
                || bytes > self.options.max_batch_bytes;
            if full && !entries.is_empty() {
                break;
            }
            entries.extend(self.waiting.pop_front());
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

    /// Takes note that a batch is in the store for sure; until then it is written again.
    pub fn written(&mut self, sequence: u64) {
        if self
            .writing
            .as_ref()
            .is_some_and(|batch| batch.sequence == sequence)
        {
            self.writing = None;
        }
    }

    /// Entries that are not in the store for sure.
    pub fn unwritten(&self) -> usize {
        let writing = self.writing.as_ref().map_or(0, |batch| batch.entries.len());
        self.waiting.len() + writing
    }

    /// Entries that were dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
