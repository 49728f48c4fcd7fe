//! Copies the key space from other VMs while the store does not answer this VM.
//!
//! This handles the failure in which this VM cannot reach the store but other VMs can: without the
//! copy it would miss new configuration versions and targets.

use crate::clock;
use crate::control::knowledge::KnowledgeSource;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, apply, follow, knowledge};
use async_std::task;
use dahliawood_model::FastSet;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::KeyspaceSnapshot;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::view::RelaySource;
use std::rc::Rc;
use std::time::Duration;

/// How often another VM is asked for its copy.
const RELAY_INTERVAL: Duration = Duration::from_millis(350);

/// Asks other VMs in turn while the store does not answer, until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut turn: usize = rand::random::<u16>().into();
    loop {
        task::sleep(RELAY_INTERVAL).await;
        if state.is_store_up.get() {
            continue;
        }
        turn += 1;
        let vms = state.shared.vms.load_full();
        let Some(vm) = next_vm(&vms, &state.shared.settings.name, turn) else {
            continue;
        };
        let asked_at = clock::now();
        match fetch_snapshot(&state, vm).await {
            Ok(snapshot) => {
                knowledge::set_source(&state, KnowledgeSource::Vm(vm.name.clone()));
                apply_snapshot(&state, snapshot);
                apply::confirm_sharers(&state, asked_at);
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
    client.keyspace(above).await
}

/// Applies what is newer in another VM's copy of the key space.
pub fn apply_snapshot(state: &ControlState, snapshot: KeyspaceSnapshot) {
    let source = RelaySource {
        revision: snapshot.revision,
        is_settled: snapshot.is_settled,
    };
    if !state.view.borrow().has_newer(source) {
        return;
    }
    let listed: FastSet<String> = snapshot.keys.iter().map(|key| key.key.clone()).collect();
    let newer = snapshot.keys.into_iter().filter(|key| key.value.is_some());
    let items = newer.map(|key| KeyspaceItem {
        key: key.key,
        value: key.value,
        revision: key.revision,
    });
    let epoch = state.view.borrow().epoch();
    let changes =
        state
            .view
            .borrow_mut()
            .apply_relayed(items.collect(), &listed, source, clock::now());
    follow::note_restoration(state, epoch);
    let revision = state.view.borrow().revision();
    state.change_log.borrow_mut().reset(revision);
    apply::apply_changes(state, &changes);
    follow::notify_followers(state);
}
