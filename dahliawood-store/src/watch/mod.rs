//! Watches one key across lost connections without missing the latest value.
//!
//! The service responds to a watch with the newest entry, so nothing is missed as long as each call
//! names the version seen last. After the store is restored from a backup, the same version can
//! stand for another value. [`WatchCursor::next_call`] therefore reads without waiting from time to
//! time, and [`WatchCursor::update`] compares values too.

use crate::client;
use crate::protocol;
use dahliawood_model::stamp;
use std::time::Duration;

/// The last known state of a watched key.
#[derive(Clone, Debug)]
pub struct WatchCursor {
    entry: protocol::KeyEntry,
    has_entry: bool,
    answered_at: stamp::TimeStamp,
    waiting_calls: u32,
}

/// After this many calls that wait, one call does not wait, and so returns the value even if the
/// version is the same.
const IMMEDIATE_READ_EVERY: u32 = 4;

impl WatchCursor {
    /// A watch of `key` that has received no entry yet.
    pub fn new(key: &str, now: stamp::TimeStamp) -> Self {
        Self {
            entry: protocol::KeyEntry {
                key: key.to_owned(),
                ..protocol::KeyEntry::default()
            },
            has_entry: false,
            answered_at: now,
            waiting_calls: 0,
        }
    }

    /// The next call to make; it does not wait if no entry was received yet.
    pub fn next_call(&mut self, wait: Duration) -> client::WatchCall {
        let is_immediate = !self.has_entry || self.waiting_calls >= IMMEDIATE_READ_EVERY;
        self.waiting_calls = if is_immediate {
            0
        } else {
            self.waiting_calls + 1
        };
        client::WatchCall {
            key: self.entry.key.clone(),
            after: self.entry.version,
            wait: if is_immediate { Duration::ZERO } else { wait },
        }
    }

    /// Records a response; returns the entry if it differs from the last one.
    ///
    /// `sent_at` is when the call was sent: a response only proves that the service was up at or
    /// after that time.
    pub fn update(
        &mut self,
        entry: protocol::KeyEntry,
        sent_at: stamp::TimeStamp,
    ) -> Option<&protocol::KeyEntry> {
        self.answered_at = self.answered_at.max(sent_at);
        let is_same = self.has_entry && self.entry == entry;
        self.has_entry = true;
        self.entry = entry;
        (!is_same).then_some(&self.entry)
    }

    /// The version received last; zero if the key is absent or no entry was received yet.
    pub fn version(&self) -> u64 {
        self.entry.version
    }

    /// Time since the last successful call was sent.
    pub fn silence(&self, now: stamp::TimeStamp) -> Duration {
        now.since(self.answered_at)
    }
}
