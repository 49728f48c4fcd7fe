//! Polls the platform's live list.

use crate::clock;
use crate::control::{ControlState, heartbeat, members, quota};
use async_std::task;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time between two reads of the live list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list periodically until the task is cancelled. If a read fails, the last list stays in
/// use.
pub async fn run(state: Rc<RefCell<ControlState>>) {
    let store = state.borrow().store.clone();
    loop {
        let read_at = clock::now();
        match (store.live)(()).await {
            Ok(list) => {
                state.borrow_mut().members.apply_live_list(&list);
                state.borrow().update_call_budget();
                start_heartbeats(&state);
                quota::apply_live_list(&state.borrow(), read_at);
            }
            Err(error) => log::debug!("cannot read the live list: {error}"),
        }
        task::sleep(READ_INTERVAL).await;
    }
}

/// Starts a heartbeat task for each member that has none.
fn start_heartbeats(state: &Rc<RefCell<ControlState>>) {
    let members: Vec<members::VmMember> = state.borrow().members.members().to_vec();
    for member in members {
        let is_new = state.borrow_mut().heartbeat_peers.insert(member.peer);
        if is_new {
            task::spawn_local(heartbeat::run(Rc::clone(state), member));
        }
    }
}
