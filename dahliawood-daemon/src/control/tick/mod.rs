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

/// Ticks until the task is cancelled.
pub async fn run(state: Rc<RefCell<ControlState>>, mut metrics: counters::MetricSender) {
    loop {
        judge(&mut state.borrow_mut());
        metrics.send(&state.borrow().shared.counters);
        task::sleep(TICK_INTERVAL).await;
    }
}

/// Judges the members, and publishes them where one changed.
fn judge(state: &mut ControlState) {
    let changed = state.members.judge(clock::now());
    if changed.is_empty() {
        return;
    }
    changed
        .iter()
        .for_each(|member| record(&state.shared, member));
    state.publish_members();
}

/// Records a member's change.
fn record(shared: &shared::SharedState, member: &members::VmMember) {
    let vm = member.name.clone();
    let kind = match member.state {
        lookup::VmState::Live => kind::EventKind::VmJoined { vm },
        lookup::VmState::Suspect => kind::EventKind::VmSuspect { vm },
        lookup::VmState::Leaving => kind::EventKind::VmGone { vm },
    };
    shared.events.record(kind);
}
