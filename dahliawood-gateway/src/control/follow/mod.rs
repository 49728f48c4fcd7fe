//! Follows the key space, in the store or at another VM, and passes its changes on.

use crate::clock;
use crate::control::knowledge::KnowledgeSource;
use crate::control::source::{RelayFailure, SourceSelector};
use crate::control::vms::VMS_PREFIX;
use crate::control::{ControlState, apply, knowledge, upstream};
use crate::structured_log::EventClass;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use dahliawood_peer::client::error::CallError;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::{FollowCall, FollowOutcome, KeyspaceItem, RangeCall};
use dahliawood_store::keyspace::view::ViewChange;
use futures::future::{self, Either};
use serde::Serialize;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// How long a call waits for changes; TCP detects a connection that goes silent meanwhile.
const FOLLOW_WAIT: Duration = Duration::from_secs(15);
/// The same wait after the store failed to answer: short, to find out soon whether it answers
/// again.
const RECONNECT_WAIT: Duration = Duration::from_millis(200);
/// Delay between calls, in which changes accumulate in the store: each change would otherwise cost
/// a call from every VM.
const BATCH_INTERVAL: Duration = Duration::from_millis(350);
/// Number of VMs above which the delay grows in proportion to the number of VMs.
const BATCH_INTERVAL_VMS: f64 = 16.0;
/// The longest delay: a part of the time within which changes must be in force.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(800);
/// Backoff after failed calls of a VM that others follow.
const RELAY_BACKOFF: BackoffRange = BackoffRange {
    initial: Duration::from_millis(150),
    longest: Duration::from_millis(500),
};
/// Backoff after failed calls of any other VM.
const OTHER_BACKOFF: BackoffRange = BackoffRange {
    initial: Duration::from_millis(400),
    longest: Duration::from_millis(1_600),
};
/// How long VMs that start together wait before the first read, so that all are registered by then.
const FIRST_START_DELAY: Duration = Duration::from_millis(900);
/// How long after its start a VM waits for the VM that it would follow to be ready.
const START_TIME: Duration = Duration::from_secs(2);
/// Pause before a VM that is not ready is asked again.
const START_PAUSE: Duration = Duration::from_millis(150);
/// Prefix that all keys have: a single call waits for all changes.
const ALL_KEYS_PREFIX: &str = "";
/// Log event for the loss or return of the store.
#[derive(Serialize)]
struct StoreEvent {
    is_up: bool,
    cause: String,
}

/// Log event for a return of the store to an older state.
#[derive(Serialize)]
struct RestorationEvent {
    epoch: u64,
}

/// Pauses after failed calls: doubled with each failure in a row.
#[derive(Clone, Copy, Debug)]
struct BackoffRange {
    initial: Duration,
    longest: Duration,
}

/// What one step of following the key space led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowStep {
    /// This VM's copy is current.
    Current,
    /// The whole key space must be read again.
    MustRead,
    /// The VM that this one follows failed; another source is next.
    SourceFailed,
}

/// Log event for a VM that failed as the source of changes.
#[derive(Serialize)]
struct SourceEvent<'a> {
    relay: &'a str,
    cause: String,
    /// How old this VM's knowledge was by then.
    age_ms: u128,
}

/// Follows the key space until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    if state.shared.settings.is_first_start {
        task::sleep(FIRST_START_DELAY).await;
    }
    let mut selector = SourceSelector::default();
    let mut failures = 0;
    let mut is_synced = false;
    loop {
        let step = match is_synced {
            true => follow_source(&state, &mut selector).await,
            false => read_all(&state).await.map(|()| FollowStep::Current),
        };
        match step {
            Ok(FollowStep::SourceFailed) => {}
            Ok(step) => {
                match step {
                    FollowStep::Current if is_synced => confirm(&state),
                    // The next read is not a stale one.
                    FollowStep::MustRead => state.is_confirmed.set(true),
                    _ => {}
                }
                is_synced = step == FollowStep::Current;
                failures = 0;
                set_store_status(&state, None);
            }
            Err(error) => {
                confirm(&state);
                set_store_status(&state, Some(&error));
                let pause = backoff(&state, &selector, failures);
                failures += 1;
                let _notified = timeout(pause, state.store_status_changed.1.recv()).await;
            }
        }
    }
}

/// The pause after a failed call that follows `failures` others.
fn backoff(state: &ControlState, selector: &SourceSelector, failures: u32) -> Duration {
    let vms = state.shared.vms.load();
    let settings = &state.shared.settings;
    let choice = selector.select(&vms, &settings.name, &settings.domain, clock::now());
    let range = match choice.is_relay {
        true => RELAY_BACKOFF,
        false => OTHER_BACKOFF,
    };
    let doubled = range.initial * (1 << failures.min(8));
    doubled
        .min(range.longest)
        .mul_f64(0.5 + rand::random::<f64>())
}

/// Applies what the first read found: the answer to a later call has confirmed it, or none can be
/// had.
fn confirm(state: &ControlState) {
    let changes = std::mem::take(&mut *state.unconfirmed.borrow_mut());
    apply::apply_changes(state, &changes);
    state.is_confirmed.set(true);
}

/// Waits for changes from this VM's source, another VM or the store, and applies them.
async fn follow_source(
    state: &ControlState,
    selector: &mut SourceSelector,
) -> Result<FollowStep, StoreError> {
    let vms = state.shared.vms.load_full();
    let settings = &state.shared.settings;
    let choice = selector.select(&vms, &settings.name, &settings.domain, clock::now());
    state.is_relayed.set(choice.relay.is_some());
    let Some(relay) = choice.relay else {
        knowledge::set_source(state, KnowledgeSource::Store);
        let step = follow(state).await;
        upstream::record_store_answer(state, step.is_ok());
        return step;
    };
    knowledge::set_source(state, KnowledgeSource::Vm(relay.name.clone()));
    let (failure, cause) = match upstream::follow_relay(state, relay).await {
        Ok(true) => return Ok(FollowStep::Current),
        Ok(false) => (
            RelayFailure::Refused,
            "it does not follow the store".to_owned(),
        ),
        Err(error) => {
            state.peers.forget(relay.peer);
            let failure = match error {
                CallError::Deadline => RelayFailure::Silent,
                _ => RelayFailure::Refused,
            };
            (failure, error.to_string())
        }
    };
    if !state.is_confirmed.get() && clock::now().since(state.started) < START_TIME {
        task::sleep(START_PAUSE).await;
        return Ok(FollowStep::SourceFailed);
    }
    selector.record_failure(&relay.name, failure, clock::now());
    let event = || SourceEvent {
        relay: &relay.name,
        cause,
        age_ms: knowledge::age(state, clock::now()).as_millis(),
    };
    state
        .shared
        .log
        .write(EventClass::State, "source-failed", event);
    Ok(FollowStep::SourceFailed)
}

/// Records whether the store answered a call.
pub fn set_store_status(state: &ControlState, error: Option<&StoreError>) {
    let is_up = error.is_none_or(StoreError::is_answer);
    state
        .view
        .borrow_mut()
        .set_unavailable(!is_up, clock::now());
    if state.is_store_up.replace(is_up) != is_up {
        // One pending message is enough.
        let _notified = state.store_status_changed.0.try_send(());
        let cause = error.map_or(String::new(), ToString::to_string);
        let event = || StoreEvent { is_up, cause };
        state.shared.log.write(EventClass::State, "store", event);
    }
}

/// Reads the whole key space, page by page.
///
/// What the first read of a process finds may be some seconds old, so it is not in force before the
/// first answer to a call for later changes.
async fn read_all(state: &ControlState) -> Result<(), StoreError> {
    let is_first = !state.is_confirmed.get();
    let asked_at = clock::now();
    let mut items: Vec<KeyspaceItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = RangeCall {
            prefix: ALL_KEYS_PREFIX.to_owned(),
            after,
            may_be_stale: is_first,
        };
        let read = (state.store.range)(call).await;
        state
            .shared
            .metrics
            .record_store_call("range", read.is_ok());
        let page = read?;
        // The pages are no consistent snapshot: following continues from the revision of the first
        // page, so that later changes are not missed.
        revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            break;
        }
    }
    state.record_heard(asked_at);
    let revision = revision.unwrap_or(0);
    let epoch = state.view.borrow().epoch();
    let changes = state
        .view
        .borrow_mut()
        .replace(items, revision, clock::now());
    note_restoration(state, epoch);
    state.change_log.borrow_mut().reset(revision);
    if is_first {
        let is_vm = |change: &ViewChange| change.key.starts_with(VMS_PREFIX);
        let (vms, others) = changes.into_iter().partition::<Vec<_>, _>(is_vm);
        apply::apply_changes(state, &vms);
        state.unconfirmed.borrow_mut().extend(others);
    } else {
        confirm(state);
        apply::apply_changes(state, &changes);
        notify_followers(state);
    }
    Ok(())
}

/// Logs that the store has returned to an older state since the view had `epoch`, and lets this VM
/// register again.
pub fn note_restoration(state: &ControlState, epoch: u64) {
    let now = state.view.borrow().epoch();
    let is_first = !state.is_confirmed.get();
    if is_first || now == epoch {
        return;
    }
    // One pending message is enough.
    let _notified = state.epoch_changed.0.try_send(());
    let event = || RestorationEvent { epoch: now };
    state
        .shared
        .log
        .write(EventClass::State, "restoration", event);
}

/// Waits until a call of another task gets no answer from the store.
async fn wait_for_store_loss(state: &ControlState) {
    while state.store_status_changed.1.recv().await.is_ok() {
        if !state.is_store_up.get() {
            return;
        }
    }
    future::pending::<()>().await;
}

/// Waits for changes from the store and applies them.
async fn follow(state: &ControlState) -> Result<FollowStep, StoreError> {
    let call = FollowCall {
        prefix: ALL_KEYS_PREFIX.to_owned(),
        after: state.view.borrow().revision(),
        wait: match (state.is_confirmed.get(), state.is_store_up.get()) {
            (false, _) => Duration::ZERO,
            (true, true) => FOLLOW_WAIT,
            (true, false) => RECONNECT_WAIT,
        },
    };
    // A call that waits cannot tell a silent connection from a store without changes; the renewal
    // of the registration fails first on such a connection.
    let asked_at = clock::now();
    let following = pin!((state.store.follow)(call));
    let lost = pin!(wait_for_store_loss(state));
    let followed = match future::select(following, lost).await {
        Either::Left((followed, _)) => followed,
        Either::Right(((), _)) => Err(StoreError::ConnectionLost {
            reason: "the store did not answer another call".to_owned(),
        }),
    };
    state
        .shared
        .metrics
        .record_store_call("follow", followed.is_ok());
    let FollowOutcome::Changes { items, revision } = followed? else {
        return Ok(FollowStep::MustRead);
    };
    state.record_heard(asked_at);
    let is_empty = items.is_empty();
    apply_items(state, items, revision);
    if !is_empty && state.is_confirmed.get() {
        task::sleep(batch_interval(state.shared.vms.load().len())).await;
    }
    Ok(FollowStep::Current)
}

/// Applies the changes that lead to `revision`, and passes them on to VMs that follow this one.
pub fn apply_items(state: &ControlState, items: Vec<KeyspaceItem>, revision: u64) {
    let is_empty = items.is_empty();
    state.change_log.borrow_mut().extend(&items, revision);
    let changes = state.view.borrow_mut().apply(items, revision, clock::now());
    if state.is_confirmed.get() {
        apply::apply_changes(state, &changes);
    } else {
        state.unconfirmed.borrow_mut().extend(changes);
    }
    if !is_empty {
        notify_followers(state);
    }
}

/// Wakes the calls of VMs that wait for changes.
pub fn notify_followers(state: &ControlState) {
    let (sender, _) = state.changed.replace(bounded(1));
    sender.close();
}

/// The delay between calls in a fleet of `vms` VMs.
fn batch_interval(vms: usize) -> Duration {
    let interval = BATCH_INTERVAL.mul_f64((vms as f64 / BATCH_INTERVAL_VMS).max(1.0));
    interval.min(MAX_BATCH_INTERVAL)
}
