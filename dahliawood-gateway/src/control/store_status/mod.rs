//! Whether the store answers this VM.

use crate::control::ControlState;
use crate::structured_log::EventClass;
use dahliawood_store::client::error::StoreError;
use futures::future;
use serde::Serialize;

/// Log event for the loss or return of the store.
#[derive(Serialize)]
struct StoreEvent {
    is_up: bool,
    cause: String,
}

/// Records whether the store answered a call.
pub fn set(state: &ControlState, error: Option<&StoreError>) {
    let is_up = error.is_none_or(StoreError::is_answer);
    if state.is_store_up.replace(is_up) != is_up {
        // One pending message is enough.
        let _notified = state.store_status_changed.0.try_send(());
        let cause = error.map_or(String::new(), ToString::to_string);
        let event = || StoreEvent { is_up, cause };
        state.shared.log.write(EventClass::State, "store", event);
    }
}

/// Waits until a call of another task gets no answer from the store.
pub async fn wait_for_loss(state: &ControlState) {
    while state.store_status_changed.1.recv().await.is_ok() {
        if !state.is_store_up.get() {
            return;
        }
    }
    future::pending::<()>().await;
}
