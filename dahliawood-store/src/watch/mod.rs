//! A watch that goes on over lost connections without a gap.
//!
//! The service answers a watch with the newest entry, so nothing is missed as long as each call
//! names the version seen last. After a restore the same version can stand for another value;
//! [`WatchCursor::next_call`] therefore asks without waiting from time to time, and
//! [`WatchCursor::absorb`] compares values too.

use crate::client;
use crate::protocol;
use dahliawood_model::stamp;
use std::time::Duration;

/// What is known of a watched key.
#[derive(Clone, Debug)]
pub struct WatchCursor {
    entry: protocol::KeyEntry,
    is_known: bool,
    heard_at: stamp::TimeStamp,
    waits: u32,
}

/// Every so many calls one does not wait and so shows the value even where the version is the same.
const PLAIN_READ_EVERY: u32 = 4;

impl WatchCursor {
    /// A watch of `key` that has seen nothing.
    pub fn new(key: &str, now: stamp::TimeStamp) -> Self {
        Self {
            entry: protocol::KeyEntry {
                key: key.to_owned(),
                ..protocol::KeyEntry::default()
            },
            is_known: false,
            heard_at: now,
            waits: 0,
        }
    }

    /// The next call to make; one that has seen nothing yet does not wait.
    pub fn next_call(&mut self, wait: Duration) -> client::WatchCall {
        let is_plain = !self.is_known || self.waits >= PLAIN_READ_EVERY;
        self.waits = if is_plain { 0 } else { self.waits + 1 };
        client::WatchCall {
            key: self.entry.key.clone(),
            after: self.entry.version,
            wait: if is_plain { Duration::ZERO } else { wait },
        }
    }

    /// Takes an answer in; returns the entry where it differs from the last one.
    ///
    /// `sent_at` is when the call was sent: an answer proves only that the service lived then.
    pub fn absorb(
        &mut self,
        entry: protocol::KeyEntry,
        sent_at: stamp::TimeStamp,
    ) -> Option<&protocol::KeyEntry> {
        self.heard_at = self.heard_at.max(sent_at);
        let is_same = self.is_known && self.entry == entry;
        self.is_known = true;
        self.entry = entry;
        (!is_same).then_some(&self.entry)
    }

    /// The version seen last, zero for absent or nothing seen.
    pub fn version(&self) -> u64 {
        self.entry.version
    }

    /// Time since the service was last heard.
    pub fn silence(&self, now: stamp::TimeStamp) -> Duration {
        now.since(self.heard_at)
    }
}
