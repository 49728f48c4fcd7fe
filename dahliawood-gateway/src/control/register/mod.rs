//! Keeps this VM registered in the key space, under a lease, until it shuts down.

pub mod tracker;

use crate::clock;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, answers, store_status};
use async_std::future::timeout;
use async_std::task;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::{WriteCall, WriteOutcome};
use futures::future::{self, Either};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tracker::{ListedEntry, RegistrationStep, RegistrationTracker};

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
/// The pause after a write whose condition did not hold.
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);

/// What a step of the registration led to.
enum StepOutcome {
    /// The entry is written and its lease runs.
    Registered,
    /// A lease was granted; the entry is written next.
    Granted,
    /// The entry is another one than expected.
    Conflict,
}

/// Keeps this VM registered until its shutdown starts.
pub async fn run(state: Rc<ControlState>) {
    let record = VmRecord::from_settings(&state.shared.settings);
    let mut registration = match RegistrationTracker::new(&record) {
        Ok(registration) => registration,
        Err(error) => {
            log::error!("the VM's record cannot be encoded: {error}");
            return;
        }
    };
    while !state.shared.is_leaving() {
        let pause = match step(&state, &mut registration).await {
            Ok(StepOutcome::Registered) if state.is_relayed.get() => RELAYED_RENEW_INTERVAL,
            Ok(StepOutcome::Registered) => RENEW_INTERVAL,
            Ok(StepOutcome::Granted) => continue,
            Ok(StepOutcome::Conflict) => CONFLICT_PAUSE,
            Err(error) => {
                if matches!(error, StoreError::LeaseExpired) {
                    registration.forget_lease();
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
            registration.forget_lease();
            task::sleep(RESTORE_SPREAD.mul_f64(rand::random())).await;
        }
    }
    if let Some(lease) = registration.lease() {
        revoke(&state, lease).await;
    }
}

/// Makes the next call of the registration.
async fn step(
    state: &ControlState,
    registration: &mut RegistrationTracker,
) -> Result<StepOutcome, StoreError> {
    match plan(state, registration) {
        RegistrationStep::Grant => {
            registration.record_lease(grant(state).await?);
            Ok(StepOutcome::Granted)
        }
        RegistrationStep::Renew { lease } => {
            renew(state, lease).await?;
            Ok(StepOutcome::Registered)
        }
        RegistrationStep::Write(call) => match write(state, call).await? {
            WriteOutcome::Written { revision } => {
                registration.record_written(revision);
                Ok(StepOutcome::Registered)
            }
            WriteOutcome::Conflict { current } => {
                registration.record_conflict(current.as_ref());
                Ok(StepOutcome::Conflict)
            }
        },
    }
}

/// Decides on the next call by what this VM's copy of the key space has for its entry.
fn plan(state: &ControlState, registration: &mut RegistrationTracker) -> RegistrationStep {
    let view = state.view.borrow();
    let listed = ListedEntry {
        entry: view.get(registration.key()),
        revision: view.revision(),
    };
    registration.plan(listed)
}

async fn grant(state: &ControlState) -> Result<u64, StoreError> {
    let asked_at = clock::now();
    let granted = (state.store.grant_lease)(LEASE_TTL).await;
    answers::record_call(state, asked_at, &granted);
    record_call(state, "grant", granted.is_ok());
    granted
}

async fn write(state: &ControlState, call: WriteCall) -> Result<WriteOutcome, StoreError> {
    let asked_at = clock::now();
    let written = (state.store.write)(call).await;
    answers::record_call(state, asked_at, &written);
    record_call(state, "write", written.is_ok());
    written
}

async fn renew(state: &ControlState, lease: u64) -> Result<(), StoreError> {
    let asked_at = clock::now();
    let renewed = (state.store.renew_lease)(lease).await;
    answers::record_call(state, asked_at, &renewed);
    record_call(state, "keep", renewed.is_ok());
    renewed
}

fn record_call(state: &ControlState, kind: &str, is_ok: bool) {
    state.shared.metrics.record_store_call(kind, is_ok);
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
