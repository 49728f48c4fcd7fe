//! What a VM fetches of long values, and from whom: decides only,
//! [`crate::control::transfers`] makes the calls.
//!
//! This handles a configuration that takes seconds over the links of small VMs, written again while it is
//! on its way: what has arrived is kept when a call fails, a transfer that has begun is finished while
//! any VM still has that write, and only then the latest one is begun. So versions that follow each
//! other closely do not keep a VM from ever having one.

use dahliawood_model::FastMap;

/// Calls of a transfer that fail in a row before the value is read from the store.
const MAX_FAILURES: u32 = 4;

/// The transfer of one key's value.
#[derive(Clone, Debug)]
struct ValueTransfer {
    /// Revision of the write that is being fetched.
    revision: u64,
    /// The latest write that is known of.
    latest: u64,
    /// The VM that told of the latest write.
    teller: String,
    /// Length of the compressed value, as the first part told it.
    length: Option<u32>,
    received: Vec<u8>,
    /// Whether a part is on its way.
    is_asked: bool,
    /// Calls in a row that failed.
    failures: u32,
    /// Calls that failed since the teller told: another VM is asked after each, and the one that answers
    /// is asked again.
    turn: u32,
}

/// The values that this VM knows to be written and does not have.
#[derive(Clone, Debug, Default)]
pub struct TransferTracker {
    transfers: FastMap<String, ValueTransfer>,
}

/// The next call of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// Asks a VM for the part from `offset` on.
    Part {
        /// The key.
        key: String,
        /// Revision of the write.
        revision: u64,
        /// Bytes that have arrived.
        offset: u32,
        /// Name of the VM that told of the write.
        teller: String,
        /// How many VMs failed since then, the teller first.
        turn: u32,
    },
    /// Reads the value from the store.
    Whole {
        /// The key.
        key: String,
    },
}

/// What a part led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// More parts are to be fetched.
    Continues,
    /// The compressed value has arrived.
    Complete {
        /// Revision of the write.
        revision: u64,
        /// The compressed value.
        bytes: Vec<u8>,
    },
}

impl ValueTransfer {
    /// Counts a call that failed.
    fn fail(&mut self) {
        self.failures += 1;
        self.turn = self.turn.wrapping_add(1);
        if self.received.is_empty() {
            self.restart();
        }
    }

    /// Begins with the latest write.
    fn restart(&mut self) {
        self.revision = self.latest;
        self.length = None;
        self.received.clear();
        self.is_asked = false;
    }
}

impl TransferTracker {
    /// Whether nothing is to be fetched.
    pub fn is_empty(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Records that a key was written at `revision`, as the VM `teller` told, and that its value is to be
    /// fetched.
    pub fn announce(&mut self, key: &str, revision: u64, teller: &str) {
        let begun = self.transfers.get_mut(key);
        let Some(transfer) = begun else {
            let transfer = ValueTransfer {
                revision,
                latest: revision,
                teller: teller.to_owned(),
                length: None,
                received: Vec::new(),
                is_asked: false,
                failures: 0,
                turn: 0,
            };
            self.transfers.insert(key.to_owned(), transfer);
            return;
        };
        if revision >= transfer.latest {
            transfer.latest = revision;
            teller.clone_into(&mut transfer.teller);
            transfer.turn = 0;
        }
        if transfer.received.is_empty() && !transfer.is_asked {
            transfer.restart();
        }
    }

    /// Records that a part is asked for: until its end the write that is being fetched stays the same.
    pub fn record_call(&mut self, key: &str) {
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.is_asked = true;
        }
    }

    /// Records that this VM has a key's write at `revision`, or knows of its removal.
    pub fn supersede(&mut self, key: &str, revision: u64) {
        let Some(transfer) = self.transfers.get_mut(key) else {
            return;
        };
        if revision >= transfer.latest {
            self.transfers.remove(key);
        } else if revision >= transfer.revision {
            transfer.restart();
        }
    }

    /// Decides on the next call, `None` if nothing is to be fetched.
    pub fn plan(&self) -> Option<TransferStep> {
        let (key, transfer) = self.transfers.iter().next()?;
        if transfer.failures >= MAX_FAILURES {
            return Some(TransferStep::Whole { key: key.clone() });
        }
        Some(TransferStep::Part {
            key: key.clone(),
            revision: transfer.revision,
            offset: transfer.received.len() as u32,
            teller: transfer.teller.clone(),
            turn: transfer.turn,
        })
    }

    /// Records a part of the write at `revision`, as it was asked for; `length` is that of the whole
    /// compressed value, zero if the VM does not have that write any more.
    ///
    /// Meanwhile the write may have come in another way, and a later one may be fetched: the part is then
    /// not one of it.
    pub fn record_part(
        &mut self,
        key: &str,
        revision: u64,
        length: u32,
        data: &[u8],
    ) -> PartOutcome {
        let transfer = self.transfers.get_mut(key);
        let Some(transfer) = transfer.filter(|transfer| transfer.revision == revision) else {
            return PartOutcome::Continues;
        };
        transfer.is_asked = false;
        if length == 0 || data.is_empty() {
            transfer.fail();
            if transfer.revision < transfer.latest {
                transfer.restart();
            }
            return PartOutcome::Continues;
        }
        if transfer.length.is_some_and(|known| known != length) {
            // Compressed by a VM of another version.
            transfer.received.clear();
            transfer.length = None;
            return PartOutcome::Continues;
        }
        transfer.failures = 0;
        transfer.length = Some(length);
        transfer.received.extend_from_slice(data);
        if transfer.received.len() < length as usize {
            return PartOutcome::Continues;
        }
        PartOutcome::Complete {
            revision: transfer.revision,
            bytes: std::mem::take(&mut transfer.received),
        }
    }

    /// Records that a complete value could not be decompressed.
    pub fn record_corrupt(&mut self, key: &str) {
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.fail();
            transfer.restart();
        }
    }

    /// Records that a call failed; what has arrived is kept.
    pub fn record_failure(&mut self, key: &str) {
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.is_asked = false;
            transfer.fail();
        }
    }

    /// Records that the store did not answer either: VMs are asked again.
    pub fn record_store_failure(&mut self, key: &str) {
        if let Some(transfer) = self.transfers.get_mut(key) {
            transfer.failures = 0;
        }
    }
}
