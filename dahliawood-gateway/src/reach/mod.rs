//! Watches whether this VM reaches targets, by the connections that it opens to them.
//!
//! Decisions are made by `dahliawood_steer::reach`; this module opens the connections, tells the tracker
//! of all that are opened elsewhere, and acts on changes of its state.

use crate::clock;
use crate::crashes::FleetSighting;
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use async_std::task;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::record::TargetRecord;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::reach::delegation::DelegationTable;
use dahliawood_steer::reach::helper::HelperTable;
use dahliawood_steer::reach::sample;
use dahliawood_steer::reach::tracker::{CHECK_INTERVAL, CheckOutcome, ReachState, ReachTracker};
use dahliawood_steer::rendezvous;
use dahliawood_wire::pool::error::CheckoutError;
use dahliawood_wire::pool::{ConnectionChoice, PooledConnection};
use futures::stream::{FuturesUnordered, StreamExt};
use serde::Serialize;
use std::net::SocketAddr;

/// What this VM knows of its links to targets, and of the VMs that can help it.
#[derive(Clone, Debug, Default)]
pub struct ReachRecords {
    /// Whether it reaches targets.
    pub tracker: ReachTracker,
    /// The VMs that it asked for help.
    pub helpers: HelperTable,
    /// For which services other VMs could not help, while this VM is not cut off.
    pub delegations: DelegationTable,
}

/// Log event for a change of whether this VM reaches targets.
#[derive(Serialize)]
struct ReachEvent {
    state: &'static str,
    /// Targets that are registered.
    targets: usize,
    /// Sightings of this VM that it does not believe any more.
    dropped_sightings: usize,
}

/// Takes a connection to a target from the pool, or opens one, and records whether that worked.
///
/// # Errors
/// All connections are in use, or the target accepts no new one. Nothing has been sent.
pub async fn checkout(
    state: &GatewayState,
    address: SocketAddr,
    choice: ConnectionChoice,
) -> Result<PooledConnection, CheckoutError> {
    let begun = clock::now();
    let taken = state.pool.checkout_live(address, choice).await;
    match &taken {
        Ok(connection) if connection.reused => {}
        Ok(_) => record_made(state, begun),
        Err(error) => record_failed(state, address, error),
    }
    taken
}

/// Opens a connection to a target, which is kept for later requests, and records whether that worked.
///
/// # Errors
/// The limit of connections is reached, or the target does not accept the connection.
pub async fn probe(state: &GatewayState, address: SocketAddr) -> Result<(), CheckoutError> {
    let begun = clock::now();
    let probed = state.pool.probe(address).await;
    match &probed {
        Ok(_) => record_made(state, begun),
        Err(error) => record_failed(state, address, error),
    }
    probed.map(|_| ())
}

fn record_made(state: &GatewayState, begun: TimeStamp) {
    change(state, |tracker, now| tracker.record_made(begun, now));
}

fn record_failed(state: &GatewayState, address: SocketAddr, error: &CheckoutError) {
    if matches!(error, CheckoutError::Exhausted { .. }) {
        return;
    }
    let known = state.placement().len();
    let target = rendezvous::name_hash(address.to_string().as_bytes());
    let mut is_suspected = false;
    change(state, |tracker, now| {
        is_suspected = tracker.record_failed(target, known, now);
    });
    if is_suspected {
        wake(state);
    }
}

/// Has connections opened to learn whether this VM reaches targets.
fn wake(state: &GatewayState) {
    // Full if a wake-up is pending already.
    let _pending = state.reach_wake.0.try_send(());
}

/// Changes the tracker, and acts on a change of its state.
fn change(state: &GatewayState, work: impl FnOnce(&mut ReachTracker, TimeStamp)) {
    let now = clock::now();
    let (before, after) = {
        let mut reach = state.reach();
        let before = reach.tracker.state();
        work(&mut reach.tracker, now);
        (before, reach.tracker.state())
    };
    let has_changed = std::mem::discriminant(&before) != std::mem::discriminant(&after);
    if has_changed {
        act_on_change(state, after);
        // Requests that wait may have to go another way.
        state.waiting.notify_room(now);
    }
}

fn act_on_change(state: &GatewayState, after: ReachState) {
    let is_cut_off = matches!(after, ReachState::CutOff { .. });
    state.metrics.cut_off.set(i64::from(is_cut_off));
    let dropped_sightings = match is_cut_off {
        true => state.crashes().drop_held(),
        false => 0,
    };
    if matches!(after, ReachState::Returning { .. }) {
        state.placement().forgive_failures(clock::now());
    }
    let event = || ReachEvent {
        state: label(after),
        targets: state.placement().len(),
        dropped_sightings,
    };
    state.log.write(EventClass::State, "reach", event);
}

fn label(state: ReachState) -> &'static str {
    match state {
        ReachState::Reachable => "reachable",
        ReachState::Suspected { .. } => "suspected",
        ReachState::CutOff { .. } => "cut-off",
        ReachState::Returning { .. } => "returning",
    }
}

/// Opens connections to learn whether this VM reaches targets, whenever that is in doubt, until the task
/// is cancelled.
pub async fn run(state: SharedState) {
    loop {
        let is_cut_off = state.reach().tracker.is_cut_off();
        if is_cut_off {
            task::sleep(CHECK_INTERVAL).await;
        } else if state.reach().tracker.check_size() == 0
            && state.reach_wake.1.recv().await.is_err()
        {
            return;
        }
        check(&state).await;
    }
}

/// Opens one round of connections; ends as soon as one is made.
async fn check(state: &SharedState) {
    let size = state.reach().tracker.check_size();
    let begun = clock::now();
    let (sampled, known) = {
        let table = state.placement();
        (sample(&table, size), table.len())
    };
    let probes = sampled.into_iter().map(|address| state.pool.probe(address));
    let mut probes: FuturesUnordered<_> = probes.collect();
    let mut outcome = CheckOutcome {
        begun,
        made: 0,
        failed: 0,
    };
    while let Some(probed) = probes.next().await {
        match probed {
            Ok(_) => outcome.made += 1,
            Err(CheckoutError::Exhausted { .. }) => {}
            Err(CheckoutError::Connect { .. }) => outcome.failed += 1,
        }
        if outcome.made > 0 {
            break;
        }
    }
    change(state, |tracker, now| {
        tracker.record_check(outcome, known, now);
    });
}

/// Addresses of at most `most` targets of any service, over as many failure domains as possible.
fn sample(table: &PlacementTable, most: usize) -> Vec<SocketAddr> {
    let all: Vec<&TargetRecord> = table.all().collect();
    let domain = |target: &&TargetRecord| target.entry.domain.clone();
    let sampled = sample::spread(all, domain, most, &mut rand::rng());
    sampled.iter().map(|target| target.entry.address).collect()
}

impl GatewayState {
    /// Holds back what this VM itself saw, until it knows that it is not cut off.
    pub fn witness(&self, sighting: FleetSighting, now: TimeStamp) {
        if !self.crashes().hold(sighting, now) {
            log::warn!("too many sightings are held back; one is dropped");
        }
    }

    /// Takes for true what was held back long enough, once a connection has shown that this VM reaches
    /// targets; opens some if none has.
    pub fn release_sightings(&self, now: TimeStamp) {
        let tracker = self.reach().tracker.clone();
        if tracker.is_cut_off() {
            self.crashes().drop_held();
        }
        if !tracker.is_reachable() {
            return;
        }
        let (released, needs_proof) = {
            let mut crashes = self.crashes();
            let released = crashes.release(|at| tracker.has_made_since(at), now);
            (released, crashes.needs_proof(now))
        };
        if needs_proof {
            change(self, |tracker, now| {
                tracker.suspect(now);
            });
            wake(self);
        }
        for sighting in released {
            self.see(sighting, now);
        }
    }

    /// Whether a connection of this VM shows that a process has outlived the moment `at`.
    pub fn outlived(&self, process: u64, at: TimeStamp, now: TimeStamp) -> bool {
        let address = self
            .placement()
            .process(process)
            .map(|(_, target)| target.entry.address);
        address.is_some_and(|address| self.pool.has_lasting(address, now.since(at)))
    }
}
