//! Shares the loads of targets with other VMs: calls the collector of this VM's region, and, while this
//! VM collects, the collectors of the other regions. Requests never wait for any of it.

pub mod wire;

use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use crate::structured_log::EventClass;
use async_std::future::timeout;
use async_std::task;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::loads::{LoadsRequest, LoadsResponse};
use dahliawood_steer::placement::exchange::collector::{
    self, CollectorCandidate, CollectorFailure, SkippedCollectors,
};
use dahliawood_steer::placement::exchange::participant::{
    CalleeRole, EntryOutcomes, LoadParticipant,
};
use dahliawood_steer::rendezvous;
use futures::future;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Deadline of a call, connecting included: several round trips between regions, and shorter than
/// the time between two calls.
const CALL_DEADLINE: Duration = Duration::from_millis(200);

/// State of the exchange at this VM.
pub struct LoadExchange {
    participant: RefCell<LoadParticipant>,
    skipped: RefCell<SkippedCollectors>,
}

impl LoadExchange {
    /// The state of the VM with a name and an incarnation, which has not called yet.
    pub fn new(name: &str, incarnation: u64) -> Self {
        let own = rendezvous::name_hash(name.as_bytes());
        Self {
            participant: RefCell::new(LoadParticipant::new(own, incarnation)),
            skipped: RefCell::default(),
        }
    }
}

/// Log event for a change of the collector that this VM calls, or is.
#[derive(Serialize)]
struct CollectorEvent<'a> {
    region: &'a str,
    collector: &'a str,
    /// Registered VMs of this VM's region.
    vms: usize,
}

/// The collector to call, with its identity for the choice of collectors.
struct Collector {
    vm: VmRecord,
    candidate: CollectorCandidate,
    /// Registered VMs of its region.
    vms: usize,
}

/// Calls the collector of this VM's region until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let name = rendezvous::name_hash(state.shared.settings.name.as_bytes());
    let mut interval = Duration::ZERO;
    loop {
        let vms = vm_count(&state, &state.shared.settings.region);
        let before = std::mem::replace(&mut interval, collector::interval(vms));
        // VMs that start together learn of each other together.
        let wait = match interval > before {
            true => collector::first_delay(name, interval),
            false => interval,
        };
        task::sleep(wait).await;
        while !call_own_region(&state).await {
            task::sleep(collector::MIN_INTERVAL).await;
        }
    }
}

/// Calls the collectors of the other regions while this VM collects, until the task is cancelled.
pub async fn run_regions(state: Rc<ControlState>) {
    loop {
        task::sleep(collector::REGION_INTERVAL).await;
        if state.shared.is_leaving() || !has_loads(&state) || !is_collector(&state) {
            continue;
        }
        let own = &state.shared.settings.region;
        let vms = state.shared.vms.load_full();
        let regions: BTreeSet<&str> = vms.iter().map(|vm| vm.region.as_str()).collect();
        let others = regions.into_iter().filter(|region| region != own);
        let calls = others.filter_map(|region| {
            let collector = select(&state, region)?;
            let role = CalleeRole::OtherRegion(rendezvous::name_hash(region.as_bytes()));
            Some(call(&state, collector, role))
        });
        future::join_all(calls.collect::<Vec<_>>()).await;
    }
}

/// Calls the collector of this VM's region, if the exchange is in effect; returns whether one has
/// answered or none is to be called.
async fn call_own_region(state: &ControlState) -> bool {
    if state.shared.is_leaving() || !has_loads(state) {
        return true;
    }
    let Some(collector) = select(state, &state.shared.settings.region) else {
        return true;
    };
    if collector.vm.name == state.shared.settings.name {
        follow(state, &collector, CalleeRole::OwnRegion);
        return true;
    }
    call(state, collector, CalleeRole::OwnRegion).await
}

/// Whether this VM collects the loads of its region.
fn is_collector(state: &ControlState) -> bool {
    let settings = &state.shared.settings;
    let selected = select(state, &settings.region);
    selected.is_some_and(|selected| selected.vm.name == settings.name)
}

/// Whether targets report their load, as far as this VM knows.
fn has_loads(state: &ControlState) -> bool {
    let table = state.shared.placement();
    table.all().any(|target| target.load.has_report())
}

fn vm_count(state: &ControlState, region: &str) -> usize {
    let vms = state.shared.vms.load();
    vms.iter().filter(|vm| vm.region == region).count()
}

/// Selects the collector of a region, `None` if the region has too few VMs.
fn select(state: &ControlState, region: &str) -> Option<Collector> {
    let all = state.shared.vms.load();
    let vms: Vec<&VmRecord> = all.iter().filter(|vm| vm.region == region).collect();
    if vms.len() < collector::MIN_VMS {
        return None;
    }
    let candidates: Vec<_> = vms.iter().map(|vm| candidate(vm)).collect();
    let key = rendezvous::name_hash(region.as_bytes());
    let skipped = state.loads.skipped.borrow();
    let position = collector::select(key, &candidates, &skipped, clock::now())?;
    Some(Collector {
        vm: vms[position].clone(),
        candidate: candidates[position],
        vms: vms.len(),
    })
}

fn candidate(vm: &VmRecord) -> CollectorCandidate {
    CollectorCandidate {
        name: rendezvous::name_hash(vm.name.as_bytes()),
        born_millis: vm.born_millis,
        weight: vm.processor_millis,
    }
}

/// Directs calls to a collector, and logs it if it is another one than before.
fn follow(state: &ControlState, collector: &Collector, role: CalleeRole) {
    let process = rendezvous::score(collector.candidate.name, collector.candidate.born_millis);
    let mut participant = state.loads.participant.borrow_mut();
    if participant.follow(role, process) {
        log_collector(state, collector);
    }
}

/// Calls a collector and takes over its answer; returns whether it answered.
async fn call(state: &ControlState, collector: Collector, role: CalleeRole) -> bool {
    follow(state, &collector, role);
    let (call, pending) = {
        let mut participant = state.loads.participant.borrow_mut();
        participant.call(role, &state.shared.placement(), clock::now())
    };
    let request = wire::request(&call);
    let called = timeout(CALL_DEADLINE, send(state, &collector.vm, &request)).await;
    match called.unwrap_or(Err(CallError::Deadline)) {
        Ok(response) if response.is_serving => {
            let metrics = &state.shared.metrics;
            metrics.record_load_call("answered");
            metrics.record_loads("sent", call.entries.len());
            let answer = wire::answer(&response);
            let mut participant = state.loads.participant.borrow_mut();
            let mut table = state.shared.placement();
            let outcomes = participant.receive(pending, &answer, &mut table, clock::now());
            drop(table);
            count(state, &outcomes);
            true
        }
        Ok(_) => {
            skip(state, &collector, CollectorFailure::Unavailable, "leaving");
            false
        }
        Err(error) if error.is_unimplemented() => {
            skip(
                state,
                &collector,
                CollectorFailure::Unimplemented,
                "unimplemented",
            );
            false
        }
        Err(error) => {
            log::debug!("{} does not share loads: {error}", collector.vm.name);
            state.peers.forget(collector.vm.peer);
            skip(state, &collector, CollectorFailure::Unavailable, "failed");
            false
        }
    }
}

async fn send(
    state: &ControlState,
    vm: &VmRecord,
    request: &LoadsRequest,
) -> Result<LoadsResponse, CallError> {
    let client = state.peers.client(vm.peer).await?;
    client.loads(request).await
}

fn skip(state: &ControlState, collector: &Collector, failure: CollectorFailure, outcome: &str) {
    state.shared.metrics.record_load_call(outcome);
    let mut skipped = state.loads.skipped.borrow_mut();
    skipped.record(&collector.candidate, failure, clock::now());
}

fn log_collector(state: &ControlState, collector: &Collector) {
    let event = || CollectorEvent {
        region: &collector.vm.region,
        collector: &collector.vm.name,
        vms: collector.vms,
    };
    state
        .shared
        .log
        .write(EventClass::State, "load-collector", event);
}

/// Handles the call of another VM, which takes this VM for the collector.
pub fn handle(state: &ControlState, request: &LoadsRequest) -> LoadsResponse {
    if state.shared.is_leaving() {
        return LoadsResponse::default();
    }
    let call = wire::call(request);
    let (answer, outcomes) = {
        let mut participant = state.loads.participant.borrow_mut();
        let mut table = state.shared.placement();
        participant.answer(&call, &mut table, clock::now())
    };
    count(state, &outcomes);
    state
        .shared
        .metrics
        .record_loads("sent", answer.entries.len());
    wire::response(&answer)
}

/// Counts what became of received entries, and lets waiting requests try again where some are news.
fn count(state: &ControlState, outcomes: &EntryOutcomes) {
    if outcomes.iter().any(Result::is_ok) {
        state.shared.waiting.notify_room(clock::now());
    }
    for outcome in outcomes {
        let label = match outcome {
            Ok(()) => "adopted",
            Err(reason) => reason.label(),
        };
        state.shared.metrics.record_loads(label, 1);
    }
}
