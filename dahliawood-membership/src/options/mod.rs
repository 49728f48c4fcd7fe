//! Time spans and limits of the membership protocol.

use std::time::Duration;

/// Options of the membership protocol; they must be the same on all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberOptions {
    /// Interval between two heartbeats to one watcher.
    pub heartbeat_interval: Duration,
    /// Number of watchers of each VM.
    pub watchers: usize,
    /// Most VMs that one VM watches; it refuses further heartbeat senders.
    pub max_subjects: usize,
    /// Silence after which a watcher probes a VM. It also probes other VMs, to check that its own
    /// messages still get through.
    pub probe_after: Duration,
    /// Interval between two such probes.
    pub probe_interval: Duration,
    /// Silence after which a watcher votes against a VM.
    pub vote_after: Duration,
    /// How long a VM does not select a watcher again that voted against it although it was alive,
    /// or that refused to watch it.
    pub avoid_for: Duration,
    /// Time without any message after which a VM considers itself isolated.
    pub isolated_after: Duration,
    /// How long a region is probed without response until this VM considers it cut off.
    pub cut_after: Duration,
    /// Most deltas in one message.
    pub max_deltas: usize,
    /// Rate of messages that push deltas at once, besides the periodic messages, per second.
    pub push_per_second: f64,
    /// Burst of messages that push deltas at once.
    pub push_burst: f64,
    /// Interval between two anti-entropy exchanges.
    pub sync_interval: Duration,
    /// Most records in one part of an anti-entropy exchange.
    pub max_records: usize,
    /// Largest fleet in which every new revision of a VM is spread to all members; in a larger one
    /// only the first is.
    pub revision_spread_limit: usize,
    /// How long a silent VM must be absent from the live list until it counts as gone.
    pub absent_hold: Duration,
    /// The same for a VM that is only unreachable from this VM.
    pub unreachable_hold: Duration,
    /// How long a VM that is gone stays in the table.
    pub forget_after: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            watchers: 3,
            max_subjects: 12,
            probe_after: Duration::from_millis(750),
            probe_interval: Duration::from_millis(200),
            vote_after: Duration::from_millis(1_250),
            avoid_for: Duration::from_secs(30),
            isolated_after: Duration::from_millis(2_400),
            cut_after: Duration::from_millis(1_200),
            max_deltas: 32,
            push_per_second: 12.0,
            push_burst: 48.0,
            sync_interval: Duration::from_secs(10),
            max_records: 64,
            revision_spread_limit: 64,
            absent_hold: Duration::from_secs(10),
            unreachable_hold: Duration::from_secs(30),
            forget_after: Duration::from_secs(60),
        }
    }
}
