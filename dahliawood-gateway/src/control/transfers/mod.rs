//! Fetches long values from other VMs, part by part.
//!
//! Lists of changes leave them out, so that what is small and urgent (a target that leaves, an evacuation)
//! does not wait behind them.

pub mod tracker;

use crate::control::parts::PART_BYTES;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, copy};
use crate::structured_log::EventClass;
use async_std::task;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{PartRequest, ValuePart};
use dahliawood_store::keyspace::call::{KeyspaceItem, RangeCall};
use flate2::read::ZlibDecoder;
use serde::Serialize;
use std::io::Read;
use std::rc::Rc;
use std::time::Duration;
use tracker::{PartOutcome, TransferStep};

/// How long a part may take beyond the deadline of a call: it shares a slow link with requests.
const PART_TIME: Duration = Duration::from_millis(800);
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause after the store did not answer either.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// The most bytes of a decompressed value.
const VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// Log event for a transfer that goes on elsewhere.
#[derive(Serialize)]
struct TransferEvent<'a> {
    key: &'a str,
    from: &'a str,
    cause: String,
}

/// Tells that a key was written at `revision` and its value is to be fetched, unless it is known.
pub fn announce(state: &ControlState, key: &str, revision: u64, teller: &str) {
    let mut view = state.view.borrow_mut();
    if view
        .get(key)
        .is_some_and(|known| known.revision >= revision)
    {
        return;
    }
    view.expect_value(key);
    drop(view);
    state.transfers.borrow_mut().announce(key, revision, teller);
    state.shared.set_outdated(true);
    // One pending message is enough.
    let _notified = state.transfer_wake.0.try_send(());
}

/// Fetches values until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    loop {
        let step = state.transfers.borrow().plan();
        match step {
            None => {
                state.shared.set_outdated(false);
                let _woken = state.transfer_wake.1.recv().await;
            }
            Some(TransferStep::Whole { key }) => read_whole(&state, &key).await,
            Some(TransferStep::Part {
                key,
                revision,
                offset,
                teller,
                turn,
            }) => {
                let request = PartRequest {
                    key,
                    revision,
                    offset,
                    most: PART_BYTES,
                };
                fetch_part(&state, request, &teller, turn).await;
            }
        }
    }
}

/// The VM to ask after `turn` failures: the one that told of the write, then others of its failure
/// domain, then all others, and again.
fn source(state: &ControlState, teller: &str, turn: u32) -> Option<VmRecord> {
    let vms = state.shared.vms.load();
    let own = &state.shared.settings;
    let mut others: Vec<&VmRecord> = vms.iter().filter(|vm| vm.name != own.name).collect();
    others.sort_by_key(|vm| (vm.name != teller, vm.domain != own.domain));
    let place = (turn as usize).checked_rem(others.len())?;
    others.get(place).copied().cloned()
}

async fn fetch_part(state: &ControlState, request: PartRequest, teller: &str, turn: u32) {
    let key = request.key.clone();
    let Some(vm) = source(state, teller, turn) else {
        state.transfers.borrow_mut().record_failure(&key);
        return;
    };
    state.transfers.borrow_mut().record_call(&key);
    let fetched = call(state, &vm, &request).await;
    let outcome = match fetched {
        Ok(part) => {
            let mut transfers = state.transfers.borrow_mut();
            transfers.record_part(&key, request.revision, part.length, &part.data)
        }
        Err(error) => {
            state.peers.forget(vm.peer);
            state.transfers.borrow_mut().record_failure(&key);
            let event = || TransferEvent {
                key: &key,
                from: &vm.name,
                cause: error.to_string(),
            };
            state
                .shared
                .log
                .write(EventClass::State, "transfer-failed", event);
            task::sleep(RETRY_PAUSE).await;
            return;
        }
    };
    let PartOutcome::Complete { revision, bytes } = outcome else {
        return;
    };
    let mut value = Vec::new();
    let decoded = ZlibDecoder::new(bytes.as_slice())
        .take(VALUE_BYTES)
        .read_to_end(&mut value);
    if let Err(error) = decoded {
        log::warn!(
            "the value of '{key}' from {} cannot be read: {error}",
            vm.name
        );
        state.transfers.borrow_mut().record_corrupt(&key);
        return;
    }
    copy::apply_value(
        state,
        KeyspaceItem {
            key,
            value: Some(value),
            revision,
        },
    );
}

async fn call(
    state: &ControlState,
    vm: &VmRecord,
    request: &PartRequest,
) -> Result<ValuePart, CallError> {
    let client = state.peers.client(vm.peer).await?;
    client.part(request, PART_TIME).await
}

/// Reads a value from the store, which answers with the latest write.
async fn read_whole(state: &ControlState, key: &str) {
    let call = RangeCall {
        prefix: key.to_owned(),
        after: None,
        may_be_stale: false,
    };
    let read = (state.store.range)(call).await;
    state
        .shared
        .metrics
        .record_store_call("range", read.is_ok());
    let found = read.map(|page| page.items.into_iter().find(|item| item.key == key));
    match found {
        Ok(Some(item)) => copy::apply_value(state, item),
        // Its removal comes with the changes.
        Ok(None) => state.transfers.borrow_mut().supersede(key, u64::MAX),
        Err(error) => {
            log::warn!("the value of '{key}' cannot be read from the store: {error}");
            state.transfers.borrow_mut().record_store_failure(key);
            task::sleep(STORE_PAUSE).await;
        }
    }
}
