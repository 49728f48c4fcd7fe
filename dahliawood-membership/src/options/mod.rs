//! Spans and bounds of the membership.

use std::time::Duration;

/// What may be set; the same at every VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberOptions {
    /// Time between two heartbeats to one watcher.
    pub beat_every: Duration,
    /// The number of watchers of each VM.
    pub watchers: usize,
    /// The most VMs that one VM watches; it refuses more.
    pub subjects_most: usize,
    /// Silence after which a watcher probes a VM, and others to see that it is heard itself.
    pub probe_after: Duration,
    /// Time between two such probes.
    pub probe_every: Duration,
    /// Silence after which a watcher votes against a VM.
    pub vote_after: Duration,
    /// How long a VM does without a watcher that voted against it while it lived.
    pub avoid_for: Duration,
    /// Time without any message after which a VM takes itself to be cut off.
    pub isolated_after: Duration,
    /// How long a region is probed in vain before it counts as cut off from here.
    pub cut_after: Duration,
    /// The most deltas in one message.
    pub deltas_most: usize,
    /// Messages a second that may be sent out of turn to pass on news.
    pub push_per_second: f64,
    /// Messages that may be sent out of turn at once.
    pub push_burst: f64,
    /// Time between two anti-entropy exchanges.
    pub sync_every: Duration,
    /// The most records in one part of an anti-entropy exchange.
    pub records_most: usize,
    /// The largest fleet in which each VM's revision is spread to all.
    pub revisions_up_to: usize,
    /// How long a silent VM has to be absent from the live list until it is gone.
    pub absent_hold: Duration,
    /// The same for a VM that is only unreached from here.
    pub unreached_hold: Duration,
    /// How long a VM that is gone is remembered.
    pub forget_after: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            beat_every: Duration::from_millis(500),
            watchers: 3,
            subjects_most: 12,
            probe_after: Duration::from_millis(750),
            probe_every: Duration::from_millis(200),
            vote_after: Duration::from_millis(1_250),
            avoid_for: Duration::from_secs(30),
            isolated_after: Duration::from_millis(2_400),
            cut_after: Duration::from_millis(1_200),
            deltas_most: 32,
            push_per_second: 12.0,
            push_burst: 48.0,
            sync_every: Duration::from_secs(10),
            records_most: 64,
            revisions_up_to: 64,
            absent_hold: Duration::from_secs(10),
            unreached_hold: Duration::from_secs(30),
            forget_after: Duration::from_secs(60),
        }
    }
}
