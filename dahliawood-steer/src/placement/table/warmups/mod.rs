//! Judges the warm-ups of the targets in a table.

use crate::placement::record::TargetRecord;
use crate::placement::table::{PlacementTable, TargetResult};
use crate::placement::warmup::{PeerLoad, WarmupChange, WarmupSample};
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;

impl PlacementTable {
    /// Judges the warm-up of a target by a load report that another VM received; `received_at` of the
    /// report is when it was made, by this VM's clock.
    pub fn judge_load(&mut self, key: TargetKey, load: TargetLoad, now: TimeStamp) {
        self.judge(key, load, None, now);
    }

    /// Judges the warm-up of a target by a response of its own to this VM.
    pub(super) fn judge_response(&mut self, key: TargetKey, result: &TargetResult, now: TimeStamp) {
        if let Some(load) = result.load()
            && let Some(target) = self.targets.get(&key)
        {
            let pool = self.services.get(&target.entry.service);
            let taken = result.exchange().saturating_sub(self.round_trip(target));
            let slowness = pool.and_then(|pool| pool.slowness(result, taken, now));
            self.judge(key, load, slowness, now);
        }
    }

    fn judge(&mut self, key: TargetKey, load: TargetLoad, slowness: Option<f64>, now: TimeStamp) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        let Some(pool) = self.services.get_mut(&target.entry.service) else {
            return;
        };
        let sample = WarmupSample {
            load,
            slowness,
            service_time: pool.average_service_time,
            is_cold: now < target.cold_until,
        };
        if !pool.peer_loads.contains_key(&target.region) {
            let peers = PeerLoad::default();
            pool.peer_loads.insert(target.region.clone(), peers);
        }
        let Some(peers) = pool.peer_loads.get_mut(&target.region) else {
            return;
        };
        let is_first = peers.record(load, target.warmup.share().is_some());
        let change = target.warmup.judge(sample, peers);
        change
            .into_iter()
            .for_each(|change| target.record_change(change));
        if is_first {
            let (service, region) = (target.entry.service.clone(), target.region.clone());
            self.cancel_common_warmups(&service, &region);
        }
    }

    /// Cancels the warm-ups of a service in a region if most of its targets are warming up when the first
    /// report arrives: the service, or this VM, has just started.
    fn cancel_common_warmups(&mut self, service: &str, region: &str) {
        let keyed = self.keyed_targets(service);
        let local: Vec<_> = keyed
            .filter(|(_, target)| target.region == region)
            .collect();
        let is_warming =
            |(_, target): &&(TargetKey, &TargetRecord)| target.warmup.share().is_some();
        let warming = local.iter().filter(is_warming).count();
        if 2 * warming <= local.len() {
            return;
        }
        let keys: Vec<TargetKey> = local.into_iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(target) = self.targets.get_mut(&key) {
                target.warmup.cancel();
                target.warmup_changes.clear();
            }
        }
    }

    /// The changes of warm-ups since the last call, with the targets' ids, of services whose targets
    /// report their load.
    pub fn take_warmup_changes(&mut self, now: TimeStamp) -> Vec<(String, WarmupChange)> {
        let mut taken = Vec::new();
        for target in self.targets.values_mut() {
            let changes = std::mem::take(&mut target.warmup_changes);
            let pool = self.services.get(&target.entry.service);
            if pool.is_some_and(|pool| pool.is_load_reported(&target.region, now)) {
                taken.extend(
                    changes
                        .into_iter()
                        .map(|change| (target.entry.id.clone(), change)),
                );
            }
        }
        taken
    }

    /// Number of targets that are warming up, of services whose targets report their load.
    pub fn warming_count(&self, now: TimeStamp) -> usize {
        let is_warming = |target: &&TargetRecord| {
            let pool = self.services.get(&target.entry.service);
            target.warmup.share().is_some()
                && pool.is_some_and(|pool| pool.is_load_reported(&target.region, now))
        };
        self.targets.values().filter(is_warming).count()
    }
}
