//! The live list and its recent history, from which lagging reads are answered.

use dahliawood_store::protocol;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum time for which old lists are kept, which bounds the lag that can be simulated.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// The current VMs, and the lists of at least the last 120 s.
#[derive(Debug)]
pub struct LiveHistory {
    vms: BTreeMap<String, protocol::LiveVm>,
    lists: Vec<(Instant, protocol::LiveList)>,
}

impl LiveHistory {
    /// Creates an empty list that is valid from `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            vms: BTreeMap::new(),
            lists: vec![(now, protocol::LiveList::default())],
        }
    }

    /// Adds or replaces a VM in the list.
    pub fn put(&mut self, vm: protocol::LiveVm, now: Instant) {
        self.vms.insert(vm.name.clone(), vm);
        self.record(now);
    }

    /// Removes a VM from the list.
    pub fn remove(&mut self, name: &str, now: Instant) {
        self.vms.remove(name);
        self.record(now);
    }

    /// The list as of `lag` before `now`, or the oldest list kept.
    pub fn read(&self, lag: Duration, now: Instant) -> protocol::LiveList {
        self.lists
            .iter()
            .rev()
            .find(|(since, _)| now.saturating_duration_since(*since) >= lag)
            .or(self.lists.first())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn record(&mut self, now: Instant) {
        let vms = self.vms.values().cloned().collect();
        self.lists.push((now, protocol::LiveList { vms }));
        let retained_from = self
            .lists
            .iter()
            .rposition(|(since, _)| now.saturating_duration_since(*since) > HISTORY_RETENTION)
            .unwrap_or(0);
        self.lists.drain(..retained_from);
    }
}
