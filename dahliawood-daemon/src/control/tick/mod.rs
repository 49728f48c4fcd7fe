//! Periodic work: updates the state of the members, checks for isolation and sends metrics.

use crate::control::{ControlState, members};
use crate::{clock, counters, shared};
use async_std::task;
use dahliawood_events::kind;
use dahliawood_steer::lookup;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A VM that has had no heartbeat from any other VM for this long, while the store does not answer
/// either, is isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Does the periodic work until the task is cancelled.
pub async fn run(state: Rc<RefCell<ControlState>>, mut metrics: counters::MetricSender) {
    loop {
        update_members(&mut state.borrow_mut());
        update_isolation(&state.borrow());
        metrics.send(&state.borrow().shared.counters);
        task::sleep(TICK_INTERVAL).await;
    }
}

/// Updates the state of the members, and publishes them if one changed.
fn update_members(state: &mut ControlState) {
    let changed = state.members.update_states(clock::now());
    if changed.is_empty() {
        return;
    }
    changed
        .iter()
        .for_each(|member| record_change(&state.shared, member));
    state.publish_members();
}

/// Marks this VM as isolated if neither the store answers nor any other VM sends heartbeats. A
/// newly accepted revision, which may withdraw a key, could not reach an isolated VM, so it must
/// refuse requests.
fn update_isolation(state: &ControlState) {
    let shared = &state.shared;
    let now = clock::now();
    let others = || {
        let members = state.members.members().iter();
        members.filter(|member| member.name != shared.settings.name)
    };
    let is_alive = |member: &members::VmMember| {
        let last_heartbeat = member.last_heartbeat;
        last_heartbeat.is_some_and(|last_heartbeat| now.since(last_heartbeat) <= ISOLATED_AFTER)
    };
    let is_alone = others().next().is_some() && !others().any(is_alive);
    let is_isolated = is_alone && !state.is_store_up();
    if shared.set_isolated(is_isolated) {
        let kind = match is_isolated {
            true => kind::EventKind::VmIsolated,
            false => kind::EventKind::VmRejoined,
        };
        shared.events.record(kind);
    }
}

/// Records an event for the new state of a member.
fn record_change(shared: &shared::SharedState, member: &members::VmMember) {
    let vm = member.name.clone();
    let kind = match member.state {
        lookup::VmState::Live => kind::EventKind::VmJoined { vm },
        lookup::VmState::Suspect => kind::EventKind::VmSuspect { vm },
        lookup::VmState::Leaving => kind::EventKind::VmGone { vm },
    };
    shared.events.record(kind);
}
