//! Reads the platform's live list again and again.

use crate::clock;
use crate::control::{ControlState, allowance, beats, members};
use async_std::task;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time between two readings of the live list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list until the task is cancelled; through an outage the last reading stands.
pub async fn run(state: Rc<RefCell<ControlState>>) {
    let store = state.borrow().store.clone();
    loop {
        let read_at = clock::now();
        match (store.live)(()).await {
            Ok(list) => {
                state.borrow_mut().members.take_live(&list);
                state.borrow().share_calls();
                beat_to_new(&state);
                allowance::take_live(&state.borrow(), read_at);
            }
            Err(error) => log::debug!("the live list cannot be read: {error}"),
        }
        task::sleep(READ_INTERVAL).await;
    }
}

/// Starts a task for each member that none beats to.
fn beat_to_new(state: &Rc<RefCell<ControlState>>) {
    let members: Vec<members::VmMember> = state.borrow().members.members().to_vec();
    for member in members {
        let is_new = state.borrow_mut().beating.insert(member.peer);
        if is_new {
            task::spawn_local(beats::run(Rc::clone(state), member));
        }
    }
}
