//! Copies the key space from other VMs while the store does not answer this VM.
//!
//! This handles the failure in which this VM cannot reach the store but other VMs can: without the
//! copy it would miss new configuration versions and targets.

use crate::clock;
use crate::control::knowledge::KnowledgeSource;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, answers, apply, copy, knowledge, upstream};
use async_std::task;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::KeyspaceSnapshot;
use std::rc::Rc;
use std::time::Duration;

/// How often another VM is asked for its copy.
const RELAY_INTERVAL: Duration = Duration::from_millis(350);

/// Asks other VMs in turn while the store does not answer, until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut turn: usize = rand::random::<u16>().into();
    loop {
        task::sleep(RELAY_INTERVAL).await;
        let is_up = state.is_store_up.get();
        if is_up && !state.view.borrow().is_settling(clock::now()) {
            continue;
        }
        turn += 1;
        let vms = state.shared.vms.load_full();
        let Some(vm) = next_vm(&vms, &state.shared.settings.name, turn) else {
            continue;
        };
        if is_up {
            // It may know that the store was not away.
            if let Err(error) = answers::ask(&state, vm).await {
                state.peers.forget(vm.peer);
                log::debug!("{} did not tell when the store answered: {error}", vm.name);
            }
            continue;
        }
        let asked_at = clock::now();
        match fetch_snapshot(&state, vm).await {
            Ok(snapshot) => {
                knowledge::set_source(&state, KnowledgeSource::Vm(vm.name.clone()));
                let date = snapshot.date.filter(|_| snapshot.is_settled);
                if let Some(told) = snapshot.answers {
                    answers::record_told(&state, asked_at, told);
                }
                upstream::announce_left_out(&state, &snapshot, &vm.name);
                copy::apply_snapshot(&state, snapshot);
                if let Some(date) = date {
                    let now = clock::now();
                    let mut sources = state.sources.borrow_mut();
                    sources.record_relay_answer(asked_at, date.offset_millis, now);
                }
                apply::confirm_sharers(&state);
            }
            Err(error) => {
                state.peers.forget(vm.peer);
                log::debug!(
                    "{} did not send its copy of the key space: {error}",
                    vm.name
                );
            }
        }
    }
}

/// Selects one of the other VMs, round-robin.
fn next_vm<'a>(vms: &'a [VmRecord], own: &str, turn: usize) -> Option<&'a VmRecord> {
    let others: Vec<_> = vms.iter().filter(|vm| vm.name != own).collect();
    let index = turn.checked_rem(others.len())?;
    others.get(index).copied()
}

async fn fetch_snapshot(
    state: &ControlState,
    vm: &VmRecord,
) -> Result<KeyspaceSnapshot, CallError> {
    let client = state.peers.client(vm.peer).await?;
    let above = state.view.borrow().heard_revision();
    client.keyspace(above, true).await
}
