//! Keeps this VM registered in the key space, under a lease, until it shuts down.

use crate::control::vms::VmRecord;
use crate::control::{ControlState, store_status};
use async_std::future::timeout;
use async_std::task;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::WriteCall;
use futures::future::{self, Either};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Time after which the registration expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(4);
/// How often the registration is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// How often a VM that follows another one renews: it does not need the calls to notice that the
/// store is silent.
const RELAYED_RENEW_INTERVAL: Duration = Duration::from_millis(1_800);
/// Time within which the VMs register again after the store has returned to an older state.
const RESTORE_SPREAD: Duration = Duration::from_millis(400);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Keeps this VM registered until its shutdown starts.
pub async fn run(state: Rc<ControlState>) {
    let record = VmRecord::from_settings(&state.shared.settings);
    let mut lease = None;
    while !state.shared.is_leaving() {
        let step = match lease {
            Some(id) => renew(&state, id).await,
            None => register(&state, &record).await.map(|id| lease = Some(id)),
        };
        let pause = match step {
            Ok(()) if state.is_relayed.get() => RELAYED_RENEW_INTERVAL,
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                if matches!(error, StoreError::LeaseExpired) {
                    lease = None;
                }
                // A VM that follows another one depends on that one's calls instead.
                if !state.is_relayed.get() {
                    store_status::set(&state, Some(&error));
                }
                RETRY_PAUSE
            }
        };
        let shutdown = pin!(state.shared.shutdown_started.recv());
        let restored = pin!(state.epoch_changed.1.recv());
        let woken = timeout(pause, future::select(shutdown, restored)).await;
        if matches!(woken, Ok(Either::Right(_))) {
            lease = None;
            task::sleep(RESTORE_SPREAD.mul_f64(rand::random())).await;
        }
    }
    if let Some(id) = lease {
        revoke(&state, id).await;
    }
}

/// Registers this VM under a new lease and returns the lease's id.
async fn register(state: &ControlState, record: &VmRecord) -> Result<u64, StoreError> {
    let granted = (state.store.grant_lease)(LEASE_TTL).await;
    state
        .shared
        .metrics
        .record_store_call("grant", granted.is_ok());
    let lease = granted?;
    let value = serde_json::to_vec(record);
    let value = value.map_err(|source| StoreError::Malformed { source })?;
    let call = WriteCall {
        key: record.key(),
        value,
        lease: Some(lease),
    };
    let written = (state.store.write)(call).await;
    state
        .shared
        .metrics
        .record_store_call("write", written.is_ok());
    written.map(|_| lease)
}

async fn renew(state: &ControlState, lease: u64) -> Result<(), StoreError> {
    let renewed = (state.store.renew_lease)(lease).await;
    state
        .shared
        .metrics
        .record_store_call("keep", renewed.is_ok());
    renewed
}

/// Revokes the lease, so that look-up answers no longer contain this VM.
async fn revoke(state: &ControlState, lease: u64) {
    while let Err(error) = (state.store.revoke_lease)(lease).await {
        if matches!(error, StoreError::LeaseExpired) {
            return;
        }
        log::warn!("cannot revoke the lease of the registration, retrying: {error}");
        task::sleep(RETRY_PAUSE).await;
    }
}
