//! Table of known targets with the state that this VM keeps for each.

mod service;
mod warmups;

pub use service::ServicePool;

use crate::health::ResultKind;
use crate::placement::breaker::CircuitBreaker;
use crate::placement::cached::ObjectVisit;
use crate::placement::choose::VmLocation;
use crate::placement::cold::{ColdUsage, ColdWindow};
use crate::placement::load::LoadEstimate;
use crate::placement::rank::RequestRank;
use crate::placement::ranking::OrderKey;
use crate::placement::record::{self, TargetRecord};
use crate::placement::statement::{ProcessStatements, StatementMemory};
use crate::placement::warmup::{TargetWarmup, WarmupCause};
use crate::placement::work::links::LinkTimes;
use crate::placement::work::{VisitKind, WorkSample};
use crate::region;
use crate::rendezvous;
use dahliawood_model::catalog::{TargetEntry, TargetLoad, TargetReport};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Result of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetResult {
    /// How it ended.
    pub kind: ResultKind,
    /// Time from sending it to its end.
    pub latency: Duration,
    /// What the target says of itself in its answer, `None` if there was no answer of its own.
    pub report: Option<TargetReport>,
    /// How long it was expected to wait for a slot when it was sent.
    pub expected_wait: Duration,
    /// Time in which a new connection to the target was opened, `None` if one was reused.
    pub connect_time: Option<Duration>,
    /// Hash of the name of the route.
    pub route: u64,
    /// The object that was requested, if it has one.
    pub visit: Option<ObjectVisit>,
    /// How long the request could have waited and still have been in time.
    pub slack: Duration,
}

impl TargetResult {
    fn load(&self) -> Option<TargetLoad> {
        self.report.and_then(|report| report.load)
    }

    /// Time at the target and on the network: the opening of the connection is no work.
    fn exchange(&self) -> Duration {
        self.latency
            .saturating_sub(self.connect_time.unwrap_or_default())
    }
}

/// All registered targets.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    targets: FastMap<TargetKey, TargetRecord>,
    by_id: FastMap<String, TargetKey>,
    /// Targets of each service.
    pub services: FastMap<String, ServicePool>,
    regions: FastMap<String, String>,
    evacuated: FastSet<String>,
    /// What processes have stated that no entry names.
    statements: StatementMemory,
    links: LinkTimes,
    next_key: u32,
    /// Incremented with each change of the targets or of which of them are open.
    generation: u64,
}

impl PlacementTable {
    /// An empty table; `regions` maps each known failure domain to its region.
    pub fn new(regions: FastMap<String, String>) -> Self {
        Self {
            regions,
            ..Self::default()
        }
    }

    /// The target with a key.
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

    /// Number of changes so far of the targets or of which of them are open.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The targets of a service, with their keys.
    pub fn keyed_targets<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetRecord)> + use<'a> {
        let keys = self.services.get(service).map(|pool| &pool.targets);
        let keys = keys.into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// The targets of a service.
    pub fn targets<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = &'a TargetRecord> + use<'a> {
        self.keyed_targets(service).map(|(_, target)| target)
    }

    /// Expected time that a request sent to a target now waits for a slot.
    pub fn expected_wait(&self, target: &TargetRecord, now: TimeStamp) -> Duration {
        let average = self.average_service_time(&target.entry.service);
        target.load.wait(target.entry.slots, average, now)
    }

    /// Whether a target is the most preferred one of its region for an object.
    pub fn is_preferred(&self, key: TargetKey, order: OrderKey) -> bool {
        let Some(target) = self.get(key) else {
            return false;
        };
        let pool = self.services.get(&target.entry.service);
        pool.is_some_and(|pool| pool.kept_orders.is_preferred(key, order))
    }

    /// Ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.by_id.keys()
    }

    /// Adds or updates a target. An entry with another address, service or start time is a new
    /// target: the state of the old one is dropped.
    pub fn upsert(&mut self, entry: TargetEntry, now: TimeStamp) {
        self.generation += 1;
        let cold_until = now.after(entry.cold_for);
        let known = self.by_id.get(&entry.id).copied();
        if let Some(target) = known.and_then(|key| self.targets.get_mut(&key)) {
            let old = &target.entry;
            let is_same = old.started_millis == entry.started_millis
                && old.address == entry.address
                && old.service == entry.service;
            if is_same {
                target.cold_until = match entry.cold_for.is_zero() {
                    true => target.cold_until.min(now),
                    false => target.cold_until.max(cold_until),
                };
                if target.entry.is_draining && !entry.is_draining {
                    target.begin_warmup(WarmupCause::Drain, now);
                }
                if target.entry.cold_for.is_zero() && !entry.cold_for.is_zero() {
                    target.begin_warmup(WarmupCause::Cold, now);
                }
                target.entry = entry;
                return;
            }
        }
        self.remove(&entry.id, now);
        let key = TargetKey(self.next_key);
        self.next_key += 1;
        let region = self.regions.get(&entry.domain).cloned().unwrap_or_default();
        let pool = self.services.entry(entry.service.clone()).or_default();
        pool.targets.push(key);
        let is_reported = pool.is_load_reported(&region, now);
        self.by_id.insert(entry.id.clone(), key);
        let hash = rendezvous::name_hash(entry.id.as_bytes());
        let stated = self
            .statements
            .take(record::process(hash, entry.started_millis));
        let mut target = TargetRecord {
            hash,
            region,
            cold_until,
            returned_at: None,
            cold_window: ColdWindow::default(),
            cold_usage: ColdUsage::default(),
            load: LoadEstimate::default(),
            is_leaving: stated.is_leaving,
            stated_limit: stated.stated_limit,
            breaker: CircuitBreaker::default(),
            warmup: TargetWarmup::default(),
            warmup_changes: Vec::new(),
            entry,
        };
        if !target.entry.cold_for.is_zero() {
            target.begin_warmup(WarmupCause::Cold, now);
        } else if is_reported {
            target.begin_warmup(WarmupCause::Registered, now);
        }
        if stated.asked_until > now {
            target.breaker.ask_pause(stated.asked_until.since(now), now);
            target.begin_warmup(WarmupCause::Pause, stated.asked_until);
        }
        self.targets.insert(key, target);
    }

    /// Removes a target; false if it was not known.
    pub fn remove(&mut self, id: &str, now: TimeStamp) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        self.generation += 1;
        let Some(target) = self.targets.remove(&key) else {
            return false;
        };
        if let Some(pool) = self.services.get_mut(&target.entry.service) {
            pool.targets.retain(|known| *known != key);
        }
        let statements = ProcessStatements::of(&target, now);
        self.statements.keep(target.process(), statements, now);
        true
    }

    /// Sets the evacuated failure domains, whose targets get no requests. Targets whose evacuation
    /// ends may have turned cold during it and not have said so yet.
    pub fn set_evacuated(&mut self, domains: FastSet<String>, now: TimeStamp) {
        self.generation += 1;
        let before = std::mem::replace(&mut self.evacuated, domains);
        let has_ended =
            |domain: &String| before.contains(domain) && !self.evacuated.contains(domain);
        for target in self.targets.values_mut() {
            if has_ended(&target.entry.domain) {
                target.returned_at = Some(now);
                target.begin_warmup(WarmupCause::Evacuation, now);
            }
        }
    }

    /// Whether a target accepts requests, regardless of its health: neither draining nor leaving nor
    /// evacuated.
    pub fn is_open(&self, target: &TargetRecord) -> bool {
        !target.entry.is_draining
            && !target.is_leaving
            && !self.evacuated.contains(&target.entry.domain)
    }

    /// Whether this VM's latest requests to all open targets of a service failed, those in the allowed regions
    /// that are not `tried`, and some of them for want of a connection.
    pub fn reaches_none(
        &self,
        service: &str,
        regions: [&[String]; 2],
        tried: &[TargetKey],
    ) -> bool {
        let targets = self.keyed_targets(service);
        let mut open = targets.filter(|(key, target)| {
            !tried.contains(key)
                && self.is_open(target)
                && region::is_allowed(&target.region, regions)
        });
        let mut is_any_unreached = false;
        open.all(|(_, target)| {
            is_any_unreached |= target.breaker.is_unreached();
            target.breaker.is_failing()
        }) && is_any_unreached
    }

    /// Average service time of a service.
    pub fn average_service_time(&self, service: &str) -> Duration {
        let pool = self.services.get(service);
        pool.map_or(service::ASSUMED_SERVICE_TIME, |pool| {
            pool.average_service_time
        })
    }

    /// Service time of a request whose object its target has cached.
    pub fn cached_service_time(&self, service: &str) -> Duration {
        let average = self.average_service_time(service);
        let pool = self.services.get(service);
        pool.map_or(average, |pool| pool.service_times.cached(average))
    }

    /// Expected work of a route's request whose object its target has cached.
    pub fn expected_cached_work(&self, service: &str, route: u64, now: TimeStamp) -> Duration {
        let pool = self.services.get(service);
        pool.map_or(service::ASSUMED_SERVICE_TIME, |pool| {
            pool.expected_work(route, VisitKind::Cached, now)
        })
    }

    /// Round trip to a target.
    pub fn round_trip(&self, target: &TargetRecord) -> Duration {
        self.links.round_trip(&target.entry.domain)
    }

    /// The share of a rank's requests that is refused to shorten queues.
    pub fn refused_share(&self, service: &str, rank: RequestRank) -> f64 {
        let pool = self.services.get(service);
        pool.map_or(0.0, |pool| pool.rank_shares.share(rank))
    }

    /// Counts a request that is about to be sent within the limit that its target states.
    pub fn reserve(&mut self, key: TargetKey, location: &VmLocation, now: TimeStamp) {
        if let Some(target) = self.targets.get_mut(&key) {
            let limited = target.limited(location);
            target.stated_limit.record(location, limited, now);
        }
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, key: TargetKey, now: TimeStamp) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.load.begin(now);
            target.warmup.record_sent();
            target.cold_window.record(now);
            if now < target.cold_until {
                target.cold_usage.record(&target.cold_window);
            }
        }
    }

    /// Takes over a load that another VM has seen, and judges the target's warm-up by it; returns
    /// whether it is newer than what is known.
    pub fn adopt_load(&mut self, key: TargetKey, load: TargetLoad, now: TimeStamp) -> bool {
        let target = self.targets.get_mut(&key);
        let is_newer = target.is_some_and(|target| target.load.adopt_report(load));
        if is_newer {
            self.judge_load(key, load, now);
        }
        is_newer
    }

    /// Records that a request, for which the target was chosen at `chosen_at`, is written now.
    pub fn record_written(&mut self, key: TargetKey, chosen_at: TimeStamp, now: TimeStamp) {
        if let Some(target) = self.targets.get_mut(&key)
            && now < target.cold_until
        {
            let usage = &mut target.cold_usage;
            usage.longest_delay = usage.longest_delay.max(now.since(chosen_at));
        }
    }

    /// Records that a process is gone, as this VM has seen.
    pub fn record_gone(&mut self, process: u64, now: TimeStamp) {
        let key = self.process(process).map(|(key, _)| key);
        let target = key.and_then(|key| self.targets.get_mut(&key));
        if let Some(target) = target.filter(|target| !target.breaker.is_down()) {
            target.record_contact(now, |breaker| breaker.record(ResultKind::Refused, now), now);
        }
    }

    /// The target whose process has a hash, with its key.
    pub fn process(&self, process: u64) -> Option<(TargetKey, &TargetRecord)> {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| target.process() == process);
        found.map(|(key, target)| (*key, target))
    }

    /// Records that another VM takes a process to be gone. Returns the target to which a connection is to be
    /// opened, to learn whether it is; [`Self::settle_doubt`] takes the outcome.
    pub fn begin_doubt(&mut self, process: u64) -> Option<(TargetKey, SocketAddr)> {
        let key = self.process(process)?.0;
        let target = self.targets.get_mut(&key)?;
        let is_needed = target.breaker.begin_doubt();
        is_needed.then_some((key, target.entry.address))
    }

    /// Records the outcome of a connection to a target that another VM takes to be gone, `None` if it
    /// shows nothing. A process that accepts it may be a new one, which is cold.
    pub fn settle_doubt(&mut self, key: TargetKey, is_accepted: Option<bool>, now: TimeStamp) {
        let Some(target) = self.targets.get_mut(&key) else {
            return;
        };
        target.breaker.settle_doubt();
        match is_accepted {
            Some(true) => {
                target.returned_at = Some(now);
                target.begin_warmup(WarmupCause::Failures, now);
            }
            Some(false) => {
                target.record_contact(now, |breaker| breaker.record(ResultKind::Refused, now), now);
            }
            None => {}
        }
    }

    /// Forgets the failures of all targets: this VM was cut off from them.
    pub fn forgive_failures(&mut self, now: TimeStamp) {
        for target in self.targets.values_mut() {
            target.breaker.forgive();
            target.begin_warmup(WarmupCause::CutOff, now);
        }
    }

    /// Records that a request was sent elsewhere because its preferred target is warming up.
    pub(super) fn record_held(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(&key) {
            target.warmup.record_held();
        }
    }

    /// Takes over what a target says of itself in a response that came through another VM; returns whether
    /// it is new.
    pub fn record_statement(&mut self, id: &str, report: &TargetReport, now: TimeStamp) -> bool {
        let key = self.by_id.get(id);
        let process = key
            .and_then(|key| self.get(*key))
            .map(TargetRecord::process);
        process.is_some_and(|process| self.record_process_statement(process, report, now))
    }

    /// Takes over what a process says of itself, also if its entry is gone; returns whether it is new.
    pub fn record_process_statement(
        &mut self,
        process: u64,
        report: &TargetReport,
        now: TimeStamp,
    ) -> bool {
        let key = self.process(process).map(|(key, _)| key);
        let Some(target) = key.and_then(|key| self.targets.get_mut(&key)) else {
            self.statements.record(process, report, now);
            return false;
        };
        let is_new = target.record_report(report, now);
        if is_new && target.is_leaving {
            self.generation += 1;
        }
        is_new
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The targets to which a connection is to be opened now, at most `most`, to learn whether their
    /// processes are back; [`Self::finish_check`] takes the outcome.
    pub fn begin_checks(&mut self, most: usize, now: TimeStamp) -> Vec<(TargetKey, SocketAddr)> {
        let targets = self.targets.iter_mut();
        let due = targets.filter_map(|(key, target)| {
            let is_due = target.breaker.begin_check(now);
            is_due.then_some((*key, target.entry.address))
        });
        due.take(most).collect()
    }

    /// Records whether a target accepted the connection of a check; returns its id if it is back.
    pub fn finish_check(
        &mut self,
        key: TargetKey,
        is_accepted: bool,
        now: TimeStamp,
    ) -> Option<&str> {
        let target = self.targets.get_mut(&key)?;
        let was_down = target.breaker.is_down();
        target.record_contact(now, |breaker| breaker.finish_check(is_accepted, now), now);
        let is_back = was_down && !target.breaker.is_down();
        is_back.then_some(target.entry.id.as_str())
    }

    /// What this VM sent to each cold target since the last call, with the target's id.
    pub fn take_cold_usage(&mut self) -> Vec<(String, ColdUsage)> {
        let used = self.targets.values_mut();
        let used = used.filter(|target| target.cold_usage.sent > 0);
        used.map(|target| {
            let usage = std::mem::take(&mut target.cold_usage);
            (target.entry.id.clone(), usage)
        })
        .collect()
    }

    /// Number of recent requests of this VM to the target with an id.
    pub fn recent_requests(&self, id: &str, now: TimeStamp) -> usize {
        let target = self.by_id.get(id).and_then(|key| self.get(*key));
        target.map_or(0, |target| target.cold_window.recent(now))
    }

    /// Records the result of a request; returns whether the target states something new in it.
    pub fn finish(&mut self, key: TargetKey, result: TargetResult, now: TimeStamp) -> bool {
        self.judge_response(key, &result, now);
        let Some(target) = self.targets.get_mut(&key) else {
            return false;
        };
        let is_new = result
            .report
            .is_some_and(|report| target.record_report(&report, now));
        if is_new && target.is_leaving {
            self.generation += 1;
        }
        target.load.finish();
        let begun = now.before(result.latency);
        target.record_contact(begun, |breaker| breaker.record(result.kind, now), now);
        if !target.breaker.is_tripped() {
            let change = target.warmup.judge_end(result.kind, begun, now);
            change
                .into_iter()
                .for_each(|change| target.record_change(change));
        }
        let pool = self.services.get_mut(&target.entry.service);
        if let Some(load) = result.load() {
            target.load.record_report(load);
        }
        let domain = &target.entry.domain;
        if let Some(taken) = result.connect_time {
            self.links.record(domain, taken, now);
        }
        let exchange = result.exchange();
        if result.kind == ResultKind::Shed && result.report.is_some() {
            self.links.record(domain, exchange, now);
        }
        let Some(pool) = pool else {
            return is_new;
        };
        let taken = exchange.saturating_sub(self.links.round_trip(domain));
        match result.kind {
            ResultKind::Answered => {}
            ResultKind::TimedOut if result.expected_wait.is_zero() => {
                let kind = pool.visit_kind(key, &result);
                let late = WorkSample::Late(taken);
                pool.work.record(result.route, kind, late, now);
                return is_new;
            }
            _ => return is_new,
        }
        // Otherwise most of the latency was queueing at the target, which distorts the service time.
        let has_queued = result.load().is_some_and(|load| load.waiting > 0);
        if !has_queued {
            let latency = pool.average_latency(key, &result, taken, now);
            target.load.record_latency(latency, now);
        }
        pool.record_answer(key, result, taken, now);
        is_new
    }
}
