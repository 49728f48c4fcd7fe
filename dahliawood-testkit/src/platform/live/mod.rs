//! The live list with its lag.

use dahliawood_store::protocol;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long an old list is kept at least, which bounds the lag that can be set.
const HISTORY_KEPT: Duration = Duration::from_secs(120);

/// The VMs as they are and the lists of the last while.
#[derive(Debug)]
pub struct LiveHistory {
    vms: BTreeMap<String, protocol::LiveVm>,
    lists: Vec<(Instant, protocol::LiveList)>,
}

impl LiveHistory {
    /// An empty list since `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            vms: BTreeMap::new(),
            lists: vec![(now, protocol::LiveList::default())],
        }
    }

    /// Adds or replaces a VM.
    pub fn put(&mut self, vm: protocol::LiveVm, now: Instant) {
        self.vms.insert(vm.name.clone(), vm);
        self.record(now);
    }

    /// Removes a VM.
    pub fn remove(&mut self, name: &str, now: Instant) {
        self.vms.remove(name);
        self.record(now);
    }

    /// The list as it was `lag` before `now`.
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
        let kept = self
            .lists
            .iter()
            .rposition(|(since, _)| now.saturating_duration_since(*since) > HISTORY_KEPT)
            .unwrap_or(0);
        self.lists.drain(..kept);
    }
}
