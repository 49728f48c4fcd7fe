//! Table of targets with the state that one entry VM keeps for each.
//!
//! Entries are never removed, also if a new configuration no longer declares the target, as
//! requests may still run there. Requests hold a [`FlightKey`], which stays valid when the revision
//! changes.

use crate::{drain, health, ramp};
use dahliawood_model::FastMap;
use dahliawood_model::keys::{ArenaKey, DomainKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::{DrainSubject, FleetConfig, TargetSpec};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies the target of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlightKey(pub(crate) u32);

/// One target as this VM sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetState {
    /// Its key in the current configuration.
    pub key: TargetKey,
    /// Its service.
    pub service: ServiceKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its region.
    pub region: RegionKey,
    /// Its slots, shared by the whole fleet.
    pub slots: u32,
    /// The slots that this VM may use at present.
    pub limit: u32,
    /// Requests of this VM that are in flight there.
    pub in_flight: u32,
    /// Its health.
    pub health: health::HealthState,
    /// Its slow start while it is cold.
    pub ramp: Option<ramp::RampState>,
    /// Whether it is declared and not leaving after a drain.
    pub serving: bool,
    address: SocketAddr,
}

impl TargetState {
    /// Maximum concurrent requests of this VM at present, given its slots, slow start, ejection and
    /// pause.
    pub fn in_flight_limit(&self, now: TimeStamp) -> u32 {
        if now < self.health.paused_until {
            return 0;
        }
        match (&self.health.ejection, &self.ramp) {
            (Some(_), _) => self.limit.min(1),
            (None, Some(ramp)) => ramp.in_flight_limit(self.limit),
            (None, None) => self.limit,
        }
    }

    /// Whether it can take one more request.
    pub fn has_room(&self, now: TimeStamp) -> bool {
        self.in_flight < self.in_flight_limit(now)
    }

    /// Whether it is neither ejected nor in slow start.
    pub fn is_warm(&self) -> bool {
        self.health.ejection.is_none() && self.ramp.is_none()
    }
}

/// All targets, the current drains and the links from this VM's region.
#[derive(Clone, Debug)]
pub struct TargetTable {
    pub(crate) states: Vec<TargetState>,
    pub(crate) plans: Vec<drain::DrainPlan>,
    pub(crate) home: RegionKey,
    by_key: Vec<u32>,
    services: Vec<Vec<u32>>,
    link_latencies: Vec<Option<Duration>>,
}

impl TargetTable {
    /// Builds the table for a VM in region `home`. Targets start warm, with a slot limit of zero:
    /// they get no requests before [`TargetTable::set_slot_limit`] raises it.
    pub fn build(config: &FleetConfig, home: RegionKey, now: TimeStamp) -> Self {
        let mut table = Self {
            states: Vec::new(),
            plans: Vec::new(),
            home,
            by_key: Vec::new(),
            services: Vec::new(),
            link_latencies: Vec::new(),
        };
        table.reconfigure(config, home, now);
        table
    }

    /// Applies a new configuration. A target that stays, identified by its address, keeps its
    /// counters, limit and health. A new one begins with slow start, except in the first
    /// configuration. One that is gone, or whose drain takes no time, gets no new requests from now
    /// on; one that serves again is readmitted with slow start. A drain that was already running
    /// keeps its progress.
    pub fn reconfigure(&mut self, config: &FleetConfig, home: RegionKey, now: TimeStamp) {
        self.home = home;
        let is_initial = self.states.is_empty();
        let known: FastMap<SocketAddr, u32> = self
            .states
            .iter()
            .enumerate()
            .map(|(index, state)| (state.address, index as u32))
            .collect();
        let was_serving: Vec<bool> = self.states.iter().map(|state| state.serving).collect();
        self.states
            .iter_mut()
            .for_each(|state| state.serving = false);
        self.by_key.clear();
        for (key, spec) in config.targets.iter() {
            let region = config.target_region(key);
            let index = match known.get(&spec.address) {
                Some(index) => *index,
                None => self.add_state(key, spec, region, !is_initial),
            };
            let state = &mut self.states[index as usize];
            state.key = key;
            state.service = spec.service;
            state.domain = spec.domain;
            state.region = region;
            state.slots = spec.slots;
            state.limit = state.limit.min(spec.slots);
            state.serving = true;
            self.by_key.push(index);
        }
        self.services = config
            .services
            .keys()
            .map(|service| self.service_states(service))
            .collect();
        self.link_latencies = region_latencies(config, self.home);
        self.set_plans(config, now);
        self.apply_leaving();
        for (state, was_serving) in self.states.iter_mut().zip(was_serving) {
            if state.serving && !was_serving {
                state.health.readmit();
                state.ramp = Some(ramp::RampState::default());
            }
        }
    }

    /// The region of the VM that holds the table.
    pub fn home(&self) -> RegionKey {
        self.home
    }

    /// The state of a target of the current configuration.
    pub fn get(&self, target: TargetKey) -> Option<&TargetState> {
        let index = self.by_key.get(target.index())?;
        self.states.get(*index as usize)
    }

    /// All targets of the current configuration.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.by_key
            .iter()
            .map(|index| &self.states[*index as usize])
    }

    /// The targets of a service.
    pub fn service(&self, service: ServiceKey) -> impl Iterator<Item = &TargetState> + Clone {
        let indices = self.indices(service);
        indices.iter().map(|index| &self.states[*index as usize])
    }

    /// Sets the slots of a target that this VM may use, capped at the target's own number. Requests
    /// in flight are not affected; unknown targets are ignored.
    pub fn set_slot_limit(&mut self, target: TargetKey, limit: u32) {
        if let Some(state) = self.get_mut(target) {
            state.limit = limit.min(state.slots);
        }
    }

    /// Stores a target's load report, which serves as a hint; ignores it if older than the last
    /// one.
    pub fn set_report(&mut self, target: TargetKey, report: health::LoadReport) {
        let Some(state) = self.get_mut(target) else {
            return;
        };
        let last = state.health.report.map(|last| last.measured);
        if last.is_none_or(|last| last <= report.measured) {
            state.health.report = Some(report);
        }
    }

    /// Progress of each current drain.
    pub fn drains(&self, now: TimeStamp) -> Vec<drain::DrainProgress> {
        let progress = |plan: &drain::DrainPlan| {
            let covered = self.iter().filter(|state| covers(plan.subject, state));
            plan.progress(covered.map(|state| state.in_flight).sum(), now)
        };
        self.plans.iter().map(progress).collect()
    }

    /// One-way latency of the link to a region; zero for the home region, `None` without a link.
    pub fn link_latency(&self, region: RegionKey) -> Option<Duration> {
        self.link_latencies.get(region.index()).copied().flatten()
    }

    /// The number of regions.
    pub fn region_count(&self) -> usize {
        self.link_latencies.len()
    }

    pub(crate) fn indices(&self, service: ServiceKey) -> &[u32] {
        self.services
            .get(service.index())
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn index_of(&self, target: TargetKey) -> Option<u32> {
        self.by_key.get(target.index()).copied()
    }

    /// Stops new requests to the targets of drains that have taken their last step.
    pub(crate) fn apply_leaving(&mut self) {
        let plans = self.plans.iter().filter(|plan| plan.is_leaving());
        for plan in plans {
            let covered = self
                .states
                .iter_mut()
                .filter(|state| covers(plan.subject, state));
            covered.for_each(|state| state.serving = false);
        }
    }

    fn get_mut(&mut self, target: TargetKey) -> Option<&mut TargetState> {
        let index = self.index_of(target)?;
        self.states.get_mut(index as usize)
    }

    fn add_state(
        &mut self,
        key: TargetKey,
        spec: &TargetSpec,
        region: RegionKey,
        is_cold: bool,
    ) -> u32 {
        self.states.push(TargetState {
            key,
            service: spec.service,
            domain: spec.domain,
            region,
            slots: spec.slots,
            limit: 0,
            in_flight: 0,
            health: health::HealthState::default(),
            ramp: is_cold.then(ramp::RampState::default),
            serving: true,
            address: spec.address,
        });
        (self.states.len() - 1) as u32
    }

    fn service_states(&self, service: ServiceKey) -> Vec<u32> {
        let of_service = |index: &&u32| self.states[**index as usize].service == service;
        self.by_key.iter().filter(of_service).copied().collect()
    }

    fn set_plans(&mut self, config: &FleetConfig, now: TimeStamp) {
        let old = std::mem::take(&mut self.plans);
        let plan_of = |spec| {
            let fresh = drain::DrainPlan::new(spec, config, now);
            let kept = old.iter().find(|plan| plan.continues_as(&fresh));
            kept.map_or(fresh.clone(), |kept| kept.continued(&fresh))
        };
        self.plans = config.drains.iter().map(plan_of).collect();
    }
}

/// Whether a drain of `subject` covers a target.
pub fn covers(subject: DrainSubject, state: &TargetState) -> bool {
    match subject {
        DrainSubject::Target(target) => state.key == target,
        DrainSubject::Domain(domain) => state.domain == domain,
        DrainSubject::Region(region) => state.region == region,
    }
}

fn region_latencies(config: &FleetConfig, home: RegionKey) -> Vec<Option<Duration>> {
    let latency = |region| match config.link_between(home, region) {
        _ if region == home => Some(Duration::ZERO),
        link => link.map(|link| config.links[link].latency),
    };
    config.regions.keys().map(latency).collect()
}
