//! What is done at fixed times: members are judged, metrics are sent.

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

/// A VM that has heard no other one for this long, and no store, is isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// Ticks until the task is cancelled.
pub async fn run(state: Rc<RefCell<ControlState>>, mut metrics: counters::MetricSender) {
    loop {
        update_members(&mut state.borrow_mut());
        update_isolation(&state.borrow());
        metrics.send(&state.borrow().shared.counters);
        task::sleep(TICK_INTERVAL).await;
    }
}

/// Judges the members, and publishes them where one changed.
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

/// Stops taking work where neither the store answers nor any other VM is heard; what is accepted
/// elsewhere, a withdrawn key among it, could not reach this VM then.
fn update_isolation(state: &ControlState) {
    let shared = &state.shared;
    let now = clock::now();
    let others = || {
        let members = state.members.members().iter();
        members.filter(|member| member.name != shared.settings.name)
    };
    let is_heard = |member: &members::VmMember| {
        let heard = member.heard;
        heard.is_some_and(|heard| now.since(heard) <= ISOLATED_AFTER)
    };
    let is_alone = others().next().is_some() && !others().any(is_heard);
    let is_isolated = is_alone && !state.is_store_up();
    if shared.set_isolated(is_isolated) {
        let kind = match is_isolated {
            true => kind::EventKind::VmIsolated,
            false => kind::EventKind::VmRejoined,
        };
        shared.events.record(kind);
    }
}

/// Records a member's change.
fn record_change(shared: &shared::SharedState, member: &members::VmMember) {
    let vm = member.name.clone();
    let kind = match member.state {
        lookup::VmState::Live => kind::EventKind::VmJoined { vm },
        lookup::VmState::Suspect => kind::EventKind::VmSuspect { vm },
        lookup::VmState::Leaving => kind::EventKind::VmGone { vm },
    };
    shared.events.record(kind);
}
