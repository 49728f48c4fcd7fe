//! Finds targets by the hashes of their processes.

use crate::placement::table::PlacementTable;
use dahliawood_model::FastMap;
use dahliawood_model::keys::TargetKey;

/// The targets of a table by the hashes of their processes. Calls carry hundreds of hashes, and the
/// table itself is searched one target after the other.
#[derive(Clone, Debug, Default)]
pub struct ProcessIndex {
    generation: u64,
    keys: FastMap<u64, TargetKey>,
}

impl ProcessIndex {
    /// Follows the table if its targets have changed.
    pub fn refresh(&mut self, table: &PlacementTable) {
        if self.generation == table.generation() {
            return;
        }
        self.generation = table.generation();
        let services = table.services.keys();
        let targets = services.flat_map(|service| table.keyed_targets(service));
        self.keys = targets
            .map(|(key, target)| (target.process(), key))
            .collect();
    }

    /// The target with a process.
    pub fn key(&self, process: u64) -> Option<TargetKey> {
        self.keys.get(&process).copied()
    }

    /// All targets with their processes.
    pub fn targets(&self) -> impl Iterator<Item = (u64, TargetKey)> {
        self.keys.iter().map(|(process, key)| (*process, *key))
    }
}
