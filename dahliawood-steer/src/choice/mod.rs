//! Chooses the target for a request, or decides that the request waits or is refused.
//!
//! The home region is the region of this VM. A request stays there while a target there has a free
//! slot within this VM's share. It goes to another region only if waiting at home is expected to
//! take longer than the round trip, a target there has a free slot, and link and region have
//! headroom. Among several regions one is drawn at random by headroom, so that VMs with the same
//! stale data do not all pick the same one. The decision relies on this VM's own counters: a
//! target's report never frees a slot.

mod pick;

use crate::{health, ramp, target};
use dahliawood_model::keys::{RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// Assumed service time before the first answer.
pub const ASSUMED_SERVICE: Duration = Duration::from_millis(20);
/// Expected wait if this VM holds no slot at all.
pub const NO_SLOT_WAIT: Duration = Duration::from_secs(1);
/// Minimum retry delay told to a refused caller.
pub const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// Headroom for requests to another region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverHeadroom {
    /// Free share of the link, the smaller of both directions, 0 to 1.
    pub link: f64,
    /// Free share of the region's capacity, 0 to 1.
    pub region: f64,
}

impl SpilloverHeadroom {
    /// No headroom.
    pub const NONE: Self = Self {
        link: 0.0,
        region: 0.0,
    };

    /// The smaller of the two shares.
    pub fn least(self) -> f64 {
        self.link.min(self.region)
    }
}

/// One request that needs a target.
#[derive(Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Its service.
    pub service: ServiceKey,
    /// Targets that were already tried.
    pub exclude: &'a [TargetKey],
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Requests of this VM and service that wait ahead of it.
    pub waiting: u32,
    /// Headroom towards a region other than the home region.
    pub headroom: &'a dyn Fn(RegionKey) -> SpilloverHeadroom,
}

impl std::fmt::Debug for ChoiceQuery<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ChoiceQuery")
            .field("service", &self.service)
            .field("exclude", &self.exclude)
            .field("idempotent", &self.idempotent)
            .field("waiting", &self.waiting)
            .finish_non_exhaustive()
    }
}

/// Result of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this target.
    Target(TargetKey, RegionKey),
    /// Wait: every usable target is busy.
    Wait {
        /// Expected wait.
        expected: Duration,
        /// The busy target at which to ask other VMs for the loan of a slot.
        loan_target: TargetKey,
    },
    /// Refuse the request at once; it has not run.
    None {
        /// Why there is no target.
        cause: NoTargetCause,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// Why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum NoTargetCause {
    /// The service has no target that is not leaving.
    #[display("no target of the service is serving")]
    NoTarget,
    /// Every target was already tried.
    #[display("every target was tried")]
    Tried,
    /// Every target is ejected.
    #[display("every target is failing")]
    Ejected,
    /// Only other regions are left, and there is no headroom towards them.
    #[display("no headroom to another region")]
    NoHeadroom,
}

/// Chooses a target for one request; the request is counted as in flight only by [`begin`].
pub fn choose(
    table: &mut target::TargetTable,
    query: &ChoiceQuery<'_>,
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Choice {
    pick::choose(table, query, now, rng)
}

/// Chooses a region whose VMs take over a request that [`choose`] would let wait for `expected`, or
/// would refuse.
///
/// A VM of another region occupies a slot for the round trip as well; a VM of the slot's own region
/// only for the service time. The region is drawn at random by headroom of link and region, among
/// those whose round trip is shorter than the wait. A request that was handed over once must not be
/// handed over again.
pub fn choose_handover_region(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    expected: Option<Duration>,
    rng: &mut impl Rng,
) -> Option<RegionKey> {
    pick::choose_handover_region(table, query, expected, rng)
}

/// Requests per second that this VM's slots of `states` can serve, from the average latency.
pub fn slot_rate<'a>(states: impl Iterator<Item = &'a target::TargetState>) -> f64 {
    let rate = |state: &target::TargetState| {
        let latency_us = match state.health.answers {
            0 => ASSUMED_SERVICE.as_micros() as f64,
            _ => state.health.latency_us.max(1.0),
        };
        f64::from(state.limit) * 1e6 / latency_us
    };
    let usable = states.filter(|state| state.serving && state.health.ejection.is_none());
    usable.map(rate).sum()
}

/// Counts a request as in flight at a target, `None` if the target is not declared.
///
/// Call it under the same lock as the [`choose`] that returned the target.
pub fn begin(table: &mut target::TargetTable, target: TargetKey) -> Option<target::FlightKey> {
    let index = table.index_of(target)?;
    table.states[index as usize].in_flight += 1;
    Some(target::FlightKey(index))
}

/// Counts a request as ended, and records its result in the target's health and slow start.
pub fn finish(
    table: &mut target::TargetTable,
    flight: target::FlightKey,
    report: health::ResultReport,
    now: TimeStamp,
) {
    let index = flight.0 as usize;
    let state = &table.states[index];
    let link = table.link_latency(state.region).unwrap_or_default() * 2;
    let median_us = warm_median_us(table, index);
    let may_eject = allows_soft_ejection(table, index);
    let state = &mut table.states[index];
    state.in_flight = state.in_flight.saturating_sub(1);
    if report.kind == health::ResultKind::Cancelled {
        return;
    }
    state.health.record(report, link, now);
    if state.health.ejection.is_some() {
        end_probe(state, report.kind, now);
        return;
    }
    record_ramp(state, report, link, median_us);
    match state.health.evidence(median_us) {
        Some(health::EjectCause::Connect) => state.health.eject(health::EjectCause::Connect, now),
        Some(cause) if may_eject => state.health.eject(cause, now),
        _ => {}
    }
}

/// Readmits a target whose probe was answered, otherwise ejects it for longer.
fn end_probe(state: &mut target::TargetState, kind: health::ResultKind, now: TimeStamp) {
    match kind {
        health::ResultKind::Answered => {
            state.health.readmit();
            state.ramp = Some(ramp::RampState::default());
        }
        health::ResultKind::ConnectFailed | health::ResultKind::Refused => {
            state.health.eject(health::EjectCause::Connect, now);
        }
        _ => state.health.eject(health::EjectCause::Failures, now),
    }
}

fn record_ramp(
    state: &mut target::TargetState,
    report: health::ResultReport,
    link: Duration,
    median_us: Option<f64>,
) {
    let Some(ramp) = &mut state.ramp else { return };
    let failed = report.kind != health::ResultKind::Answered;
    let latency_us = report.latency.saturating_sub(link).as_micros() as f64;
    if ramp.record(latency_us, failed, median_us) == ramp::RampStep::Warm {
        state.ramp = None;
    }
}

/// Median latency of a target's warm peers, `None` if none has enough samples.
fn warm_median_us(table: &target::TargetTable, index: usize) -> Option<f64> {
    let state = &table.states[index];
    let mut peers: Vec<f64> = table
        .service(state.service)
        .filter(|peer| peer.key != state.key && peer.is_warm())
        .filter(|peer| peer.health.answers >= health::MIN_LATENCY_SAMPLES)
        .map(|peer| peer.health.latency_us)
        .collect();
    if peers.is_empty() {
        return None;
    }
    let middle = peers.len() / 2;
    let (_, median, _) = peers.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// Whether soft evidence may eject one more target of this service and region.
fn allows_soft_ejection(table: &target::TargetTable, index: usize) -> bool {
    let state = &table.states[index];
    let peers = table
        .service(state.service)
        .filter(|peer| peer.region == state.region && peer.serving);
    let ejected = peers.clone().filter(|peer| peer.health.ejection.is_some());
    ejected.count() < health::soft_limit(peers.count())
}
