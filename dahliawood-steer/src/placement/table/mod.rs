//! The targets that are known, and what this VM holds of each.

use crate::health::ResultKind;
use crate::placement::breaker::CircuitBreaker;
use crate::placement::cold::ColdWindow;
use crate::placement::load::LoadEstimate;
use crate::placement::spillover::SpilloverLevel;
use crate::rendezvous;
use dahliawood_model::catalog::{TargetEntry, TargetLoad};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::time::Duration;

/// The service time that is assumed before any answer.
const ASSUMED_TIME: Duration = Duration::from_millis(300);
/// Weight of the newest answer in a service's average.
const NEWEST: f64 = 0.02;

/// A target with what this VM holds of it.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Hash of its id.
    pub hash: u64,
    /// Its region, empty where its failure domain is in none that is known.
    pub region: String,
    /// Until when it is cold.
    pub cold_until: TimeStamp,
    /// What it was sent while cold.
    pub cold: ColdWindow,
    /// Its work.
    pub load: LoadEstimate,
    /// Its health.
    pub sick: CircuitBreaker,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct ServicePool {
    /// Their keys.
    pub targets: Vec<TargetKey>,
    /// What this region hands to others.
    pub spill: SpilloverLevel,
    /// The average service time of all of them.
    pub usual: Duration,
}

impl Default for ServicePool {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            spill: SpilloverLevel::default(),
            usual: ASSUMED_TIME,
        }
    }
}

/// What became of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetResult {
    /// What became of it.
    pub kind: ResultKind,
    /// From sending it to its answer.
    pub latency: Duration,
    /// What the answer said of the target's load.
    pub load: Option<TargetLoad>,
}

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    targets: FastMap<TargetKey, TargetRecord>,
    by_id: FastMap<String, TargetKey>,
    /// Targets of each service.
    pub services: FastMap<String, ServicePool>,
    regions: FastMap<String, String>,
    evacuated: FastSet<String>,
    next: u32,
}

impl PlacementTable {
    /// A table of the failure domains that are known, each with its region.
    pub fn new(regions: FastMap<String, String>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// The target of a key.
    pub fn get(&self, key: TargetKey) -> Option<&TargetRecord> {
        self.targets.get(&key)
    }

    /// How many targets are known.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.by_id.keys()
    }

    /// Takes what a target says of itself. Another address, service or start is another target,
    /// which knows nothing of before.
    pub fn upsert(&mut self, entry: TargetEntry, now: TimeStamp) {
        let cold_until = now.after(entry.cold_for);
        let known = self.by_id.get(&entry.id).copied();
        if let Some(target) = known.and_then(|key| self.targets.get_mut(&key)) {
            let old = &target.entry;
            let is_same = old.born_millis == entry.born_millis
                && old.address == entry.address
                && old.service == entry.service;
            if is_same {
                target.cold_until = match entry.cold_for.is_zero() {
                    true => target.cold_until.min(now),
                    false => target.cold_until.max(cold_until),
                };
                target.entry = entry;
                return;
            }
        }
        self.remove(&entry.id);
        let key = TargetKey(self.next);
        self.next += 1;
        let region = self.regions.get(&entry.domain).cloned().unwrap_or_default();
        let pool = self.services.entry(entry.service.clone()).or_default();
        pool.targets.push(key);
        self.by_id.insert(entry.id.clone(), key);
        let target = TargetRecord {
            hash: rendezvous::name_hash(entry.id.as_bytes()),
            region,
            cold_until,
            cold: ColdWindow::default(),
            load: LoadEstimate::default(),
            sick: CircuitBreaker::default(),
            entry,
        };
        self.targets.insert(key, target);
    }

    /// Forgets a target; false where it was not known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        let Some(target) = self.targets.remove(&key) else {
            return false;
        };
        if let Some(pool) = self.services.get_mut(&target.entry.service) {
            pool.targets.retain(|known| *known != key);
        }
        true
    }

    /// Sets the failure domains whose targets get nothing.
    pub fn set_evacuated(&mut self, domains: FastSet<String>) {
        self.evacuated = domains;
    }

    /// Whether a target may be sent anything at all, whatever its health.
    pub fn is_open(&self, target: &TargetRecord) -> bool {
        !target.entry.is_draining && !self.evacuated.contains(&target.entry.domain)
    }

    /// The average service time of a service.
    pub fn average_service_time(&self, service: &str) -> Duration {
        let pool = self.services.get(service);
        pool.map_or(ASSUMED_TIME, |pool| pool.usual)
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, key: TargetKey, now: TimeStamp) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.load.begin();
            if now < target.cold_until {
                target.cold.note(now);
            }
        }
    }

    /// Notes what became of a request.
    pub fn finish(&mut self, key: TargetKey, result: TargetResult, now: TimeStamp) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        target.load.finish();
        target.sick.note(result.kind, now);
        if let Some(load) = result.load {
            target.load.report(load);
        }
        if result.kind != ResultKind::Answered {
            return;
        }
        if result.load.is_some_and(|load| load.waiting > 0) {
            // Its time was spent in the target's queue for the most part.
            return;
        }
        target.load.answered(result.latency, now);
        if let Some(pool) = self.services.get_mut(&target.entry.service) {
            pool.usual = pool.usual.mul_f64(1.0 - NEWEST) + result.latency.mul_f64(NEWEST);
        }
    }
}
