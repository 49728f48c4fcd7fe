//! Passes sightings of crashes on from VM to VM. Nothing is sent while nothing crashes, but for one
//! call of a VM that starts.

use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use crate::crashes::FleetSighting;
use crate::reach;
use crate::structured_log::EventClass;
use async_std::task;
use dahliawood_gossip::partner;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::SightingMessage;
use dahliawood_request::quarantine::identity::RequestIdentity;
use dahliawood_request::quarantine::table::CrashSighting;
use dahliawood_steer::rendezvous;
use futures::future;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Passes on what this VM has heard until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut is_new = true;
    loop {
        task::sleep(ROUND_INTERVAL).await;
        state.shared.release_sightings(clock::now());
        let told = {
            let mut crashes = state.shared.crashes();
            crashes.expire(clock::now());
            crashes.take_round()
        };
        if is_new || !told.is_empty() {
            let is_answered = tell(&state, is_new, &told).await;
            is_new &= !is_answered;
        }
    }
}

/// Calls this round's partners; returns whether one has answered.
async fn tell(state: &Rc<ControlState>, is_new: bool, told: &[FleetSighting]) -> bool {
    let vms = state.shared.vms.load_full();
    let partners = partners(&vms, &state.shared.settings.name);
    let calls = partners.into_iter().map(|vm| call(state, vm, is_new, told));
    let answers = future::join_all(calls).await;
    answers.into_iter().any(|is_answered| is_answered)
}

fn partners<'a>(vms: &'a [VmRecord], own: &str) -> Vec<&'a VmRecord> {
    let hash = |name: &str| rendezvous::name_hash(name.as_bytes());
    let mut ring: Vec<(u64, &VmRecord)> = vms.iter().map(|vm| (hash(&vm.name), vm)).collect();
    ring.sort_by_key(|(hash, _)| *hash);
    let hashes: Vec<u64> = ring.iter().map(|(hash, _)| *hash).collect();
    let positions = partner::select(&hashes, hash(own), &mut rand::rng());
    let partners = positions.into_iter().map(|position| ring[position].1);
    partners.filter(|vm| vm.name != own).collect()
}

async fn call(
    state: &Rc<ControlState>,
    vm: &VmRecord,
    is_new: bool,
    told: &[FleetSighting],
) -> bool {
    match exchange(state, vm, is_new, told).await {
        Ok(heard) => {
            hear(state, &heard);
            true
        }
        Err(error) => {
            state.peers.forget(vm.peer);
            log::debug!("{} was not told of crashes: {error}", vm.name);
            false
        }
    }
}

async fn exchange(
    state: &ControlState,
    vm: &VmRecord,
    is_new: bool,
    told: &[FleetSighting],
) -> Result<Vec<SightingMessage>, CallError> {
    let client = state.peers.client(vm.peer).await?;
    let now = clock::now();
    let told: Vec<_> = told.iter().map(|sighting| encode(sighting, now)).collect();
    client.sightings(is_new, &told).await
}

/// Handles the call of another VM.
pub fn handle(
    state: &Rc<ControlState>,
    is_new: bool,
    told: &[SightingMessage],
) -> Vec<SightingMessage> {
    hear(state, told);
    let now = clock::now();
    let known = state.shared.crashes().answer(is_new);
    known.iter().map(|sighting| encode(sighting, now)).collect()
}

/// Takes over what another VM tells, unless this VM's own connections contradict it.
fn hear(state: &Rc<ControlState>, told: &[SightingMessage]) {
    let now = clock::now();
    for message in told {
        let sighting = decode(message, now);
        let is_contradicted = match sighting {
            FleetSighting::Crash(crash) => {
                state.shared.outlived(crash.process, crash.crashed_at, now)
            }
            FleetSighting::ProcessGone { process, at } => state.shared.outlived(process, at, now),
            FleetSighting::Completion { .. } => false,
        };
        if is_contradicted {
            state.shared.metrics.contradictions.inc();
        } else if state.shared.see(sighting, now)
            && let FleetSighting::ProcessGone { process, .. } = sighting
        {
            doubt(state, process);
        }
    }
}

/// Log event for a target whose process is gone, as another VM says.
#[derive(Serialize)]
struct DoubtEvent<'a> {
    target: &'a str,
    outcome: &'a str,
}

/// Opens a connection to a target whose process is gone, as another VM says, to see for itself.
fn doubt(state: &Rc<ControlState>, process: u64) {
    let Some((key, address)) = state.shared.placement().begin_doubt(process) else {
        return;
    };
    let state = Rc::clone(state);
    task::spawn_local(async move {
        let is_accepted = reach::probe(&state.shared, address).await.is_ok();
        let is_reachable = state.shared.reach().tracker.is_reachable();
        let shown = (is_accepted || is_reachable).then_some(is_accepted);
        let mut table = state.shared.placement();
        table.settle_doubt(key, shown, clock::now());
        let Some(target) = table.get(key) else {
            return;
        };
        let event = || DoubtEvent {
            target: &target.entry.id,
            outcome: match shown {
                Some(true) => "accepts connections",
                Some(false) => "gone",
                None => "not shown",
            },
        };
        state
            .shared
            .log
            .write(EventClass::State, "target-doubted", event);
    });
}

fn encode(sighting: &FleetSighting, now: TimeStamp) -> SightingMessage {
    match *sighting {
        FleetSighting::Crash(crash) => SightingMessage::Crash {
            identity: crash.identity.0,
            process: crash.process,
            sent_ago: now.since(crash.sent_at),
            seen_ago: now.since(crash.crashed_at),
        },
        FleetSighting::Completion { identity, at } => SightingMessage::Completion {
            identity: identity.0,
            seen_ago: now.since(at),
        },
        FleetSighting::ProcessGone { process, at } => SightingMessage::ProcessGone {
            process,
            seen_ago: now.since(at),
        },
    }
}

fn decode(message: &SightingMessage, now: TimeStamp) -> FleetSighting {
    match *message {
        SightingMessage::Crash {
            identity,
            process,
            sent_ago,
            seen_ago,
        } => FleetSighting::Crash(CrashSighting {
            identity: RequestIdentity(identity),
            process,
            sent_at: now.before(sent_ago),
            crashed_at: now.before(seen_ago),
        }),
        SightingMessage::Completion { identity, seen_ago } => FleetSighting::Completion {
            identity: RequestIdentity(identity),
            at: now.before(seen_ago),
        },
        SightingMessage::ProcessGone { process, seen_ago } => FleetSighting::ProcessGone {
            process,
            at: now.before(seen_ago),
        },
    }
}
