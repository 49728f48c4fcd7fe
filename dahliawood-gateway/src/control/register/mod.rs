//! Keeps this VM registered in the key space, under a lease, until it shuts down.

use crate::control::vms::VmRecord;
use crate::control::{ControlState, follow};
use async_std::future::timeout;
use async_std::task;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::WriteCall;
use std::rc::Rc;
use std::time::Duration;

/// Time after which the registration expires unless it is renewed.
const LEASE_LENGTH: Duration = Duration::from_secs(4);
/// How often the registration is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// The pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// Keeps this VM registered until its shutdown starts.
pub async fn run(state: Rc<ControlState>) {
    let record = VmRecord::own(&state.shared.settings);
    let mut lease = None;
    while !state.shared.is_leaving() {
        let step = match lease {
            Some(id) => renew(&state, id).await,
            None => register(&state, &record).await.map(|id| lease = Some(id)),
        };
        let pause = match step {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                if matches!(error, StoreError::LeaseExpired) {
                    lease = None;
                }
                follow::note_store(&state, Some(&error));
                FAILED_PAUSE
            }
        };
        let _leaving = timeout(pause, state.shared.left.recv()).await;
    }
    if let Some(id) = lease {
        revoke(&state, id).await;
    }
}

/// Registers this VM under a new lease and returns the lease's id.
async fn register(state: &ControlState, record: &VmRecord) -> Result<u64, StoreError> {
    let granted = (state.store.grant_lease)(LEASE_LENGTH).await;
    state.shared.metrics.store_call("grant", granted.is_ok());
    let lease = granted?;
    let value = serde_json::to_vec(record);
    let value = value.map_err(|source| StoreError::Malformed { source })?;
    let call = WriteCall {
        key: record.key(),
        value,
        lease: Some(lease),
    };
    let written = (state.store.write)(call).await;
    state.shared.metrics.store_call("write", written.is_ok());
    written.map(|_| lease)
}

async fn renew(state: &ControlState, lease: u64) -> Result<(), StoreError> {
    let kept = (state.store.renew_lease)(lease).await;
    state.shared.metrics.store_call("keep", kept.is_ok());
    kept
}

/// Revokes the lease, so that look-up answers no longer contain this VM.
async fn revoke(state: &ControlState, lease: u64) {
    while let Err(error) = (state.store.revoke_lease)(lease).await {
        if matches!(error, StoreError::LeaseExpired) {
            return;
        }
        log::warn!("cannot revoke the lease of the registration, retrying: {error}");
        task::sleep(FAILED_PAUSE).await;
    }
}
