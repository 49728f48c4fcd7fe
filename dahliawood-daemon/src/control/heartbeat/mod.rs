//! Exchanges heartbeats with other VMs, and fetches the configuration file of a VM that has a newer
//! revision in force.

use crate::control::{ControlState, follow, members};
use crate::{clock, counters};
use async_std::task;
use dahliawood_events::clock as hybrid;
use dahliawood_peer::{client, message};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time between two heartbeats to one VM.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// This VM's own heartbeat.
pub fn own_heartbeat(state: &ControlState) -> message::VmBeat {
    let shared = &state.shared;
    message::VmBeat {
        name: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        revision: shared
            .snapshot
            .load()
            .as_ref()
            .map_or(0, |snapshot| snapshot.state.revision),
        leaving: shared.phase() == crate::shared::DaemonPhase::Leaving,
        clock: shared.events.stamp().0,
        heard: Vec::new(),
    }
}

/// Applies the heartbeat of another VM.
pub fn receive_heartbeat(state: &mut ControlState, beat: &message::VmBeat) {
    state.shared.events.follow(hybrid::HybridStamp(beat.clock));
    state.members.apply_heartbeat(beat, clock::now());
}

/// Sends heartbeats to one VM until it is no longer a member.
pub async fn run(state: Rc<RefCell<ControlState>>, member: members::VmMember) {
    while state.borrow().is_member(&member) {
        let result = exchange(&state, &member).await;
        state
            .borrow()
            .shared
            .counters
            .count(counters::CounterKind::Heartbeats);
        if let Err(error) = result {
            state
                .borrow()
                .shared
                .counters
                .count(counters::CounterKind::HeartbeatsFailed);
            log::debug!("heartbeat exchange with {} failed: {error}", member.name);
        }
        task::sleep(HEARTBEAT_INTERVAL).await;
    }
    state.borrow_mut().heartbeat_peers.remove(&member.peer);
}

/// Exchanges heartbeats once, and fetches the other VM's file if its revision is newer.
async fn exchange(
    state: &Rc<RefCell<ControlState>>,
    member: &members::VmMember,
) -> Result<(), client::error::CallError> {
    let peers = state.borrow().peers.clone();
    let peer = peers.connection(member.peer).await?;
    let result = exchange_over(state, &peer).await;
    if result.is_err() {
        peers.forget(member.peer, &peer);
    }
    result
}

/// Does the exchange over an open connection.
async fn exchange_over(
    state: &Rc<RefCell<ControlState>>,
    peer: &client::PeerClient,
) -> Result<(), client::error::CallError> {
    let beat = own_heartbeat(&state.borrow());
    let answer = peer.beat(&beat).await?;
    receive_heartbeat(&mut state.borrow_mut(), &answer);
    if answer.revision <= beat.revision {
        return Ok(());
    }
    if let Some(file) = peer.config(beat.revision).await? {
        follow::receive_file(&state.borrow().tracker, &file);
    }
    Ok(())
}
