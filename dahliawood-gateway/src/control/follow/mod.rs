//! Follows the key space, in the store or at another VM, and passes its changes on.

use crate::clock;
use crate::control::knowledge::KnowledgeSource;
use crate::control::source::tracker::StoreAnswer;
use crate::control::source::{RelayFailure, SourceRank};
use crate::control::vms::VmRecord;
use crate::control::{ControlState, answers, copy, knowledge, store_status, upstream};
use crate::structured_log::EventClass;
use async_std::future::timeout;
use async_std::task;
use dahliawood_peer::client::error::CallError;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::{FollowCall, FollowOutcome, KeyspaceItem, RangeCall};
use futures::future::{self, Either};
use serde::Serialize;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

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
/// Pause before a VM that is not ready is asked again.
const START_PAUSE: Duration = Duration::from_millis(150);
/// How long nothing is received from a store that does not answer another call, before the call that
/// waits is given up.
const SILENCE_TIME: Duration = Duration::from_millis(100);
/// Prefix that all keys have: a single call waits for all changes.
const ALL_KEYS_PREFIX: &str = "";

/// Pauses after failed calls: doubled with each failure in a row.
#[derive(Clone, Copy, Debug)]
struct BackoffRange {
    initial: Duration,
    longest: Duration,
}

/// What one step of following the key space led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowStep {
    /// The source has answered.
    Answered,
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

/// Log event for a read of the whole key space.
#[derive(Serialize)]
struct ReadEvent {
    pages: usize,
    /// Revisions of the oldest and the newest page.
    oldest: u64,
    newest: u64,
    may_be_stale: bool,
}

/// Follows the key space until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    if state.shared.settings.is_first_start {
        task::sleep(FIRST_START_DELAY).await;
    }
    let mut failures = 0;
    let mut is_synced = false;
    loop {
        let step = match is_synced {
            true => ask_source(&state).await,
            false => read_all(&state).await.map(|()| FollowStep::Answered),
        };
        match step {
            Ok(FollowStep::SourceFailed) => {}
            Ok(step) => {
                match step {
                    FollowStep::Answered if is_synced => copy::confirm(&state),
                    // The next read is not a stale one.
                    FollowStep::MustRead => state.sources.borrow_mut().set_confirmed(),
                    _ => {}
                }
                is_synced = step == FollowStep::Answered;
                failures = 0;
                store_status::set(&state, None);
            }
            Err(error) => {
                copy::confirm(&state);
                state.sources.borrow_mut().record_store_failure();
                store_status::set(&state, Some(&error));
                let pause = backoff(&state, failures);
                failures += 1;
                let _notified = timeout(pause, state.store_status_changed.1.recv()).await;
            }
        }
    }
}

/// The pause after a failed call that follows `failures` others.
fn backoff(state: &ControlState, failures: u32) -> Duration {
    let vms = state.shared.vms.load();
    let range = match state.sources.borrow().rank(&vms, clock::now()) {
        SourceRank::Alone | SourceRank::Relay => RELAY_BACKOFF,
        SourceRank::Follower => OTHER_BACKOFF,
    };
    let doubled = range.initial * (1 << failures.min(8));
    doubled
        .min(range.longest)
        .mul_f64(0.5 + rand::random::<f64>())
}

/// Asks this VM's source, another VM or the store, for changes and applies them.
async fn ask_source(state: &ControlState) -> Result<FollowStep, StoreError> {
    let vms = state.shared.vms.load_full();
    let plan = state.sources.borrow_mut().plan(&vms, clock::now());
    state.is_relayed.set(plan.relay.is_some());
    let source = match plan.relay {
        Some(relay) => KnowledgeSource::Vm(relay.name.clone()),
        None => KnowledgeSource::Store,
    };
    knowledge::set_source(state, source);
    match plan.relay {
        Some(relay) => {
            let limit = plan.wait + plan.answer_time;
            let asked = timeout(limit, upstream::ask(state, relay, plan.wait)).await;
            let asked = asked.unwrap_or(Err(CallError::Deadline));
            Ok(finish_ask(state, relay, asked).await)
        }
        None => follow_store(state, plan.wait, plan.answer_time).await,
    }
}

/// Handles the end of a call to a VM that this one follows.
async fn finish_ask(
    state: &ControlState,
    relay: &VmRecord,
    asked: Result<bool, CallError>,
) -> FollowStep {
    let (failure, cause) = match asked {
        Ok(true) => return FollowStep::Answered,
        Ok(false) => (RelayFailure::Refused, "its copy is not current".to_owned()),
        Err(error) => {
            state.peers.forget(relay.peer);
            let failure = match error {
                CallError::Deadline => RelayFailure::Silent,
                _ => RelayFailure::Refused,
            };
            (failure, error.to_string())
        }
    };
    let now = clock::now();
    if state.sources.borrow().is_starting(now) {
        task::sleep(START_PAUSE).await;
        return FollowStep::SourceFailed;
    }
    let mut sources = state.sources.borrow_mut();
    sources.record_relay_failure(&relay.name, failure, now);
    drop(sources);
    let event = || SourceEvent {
        relay: &relay.name,
        cause,
        age_ms: knowledge::age(state, now).as_millis(),
    };
    state
        .shared
        .log
        .write(EventClass::State, "source-failed", event);
    FollowStep::SourceFailed
}

/// Reads the whole key space, page by page.
///
/// What the first read of a process finds may be some seconds old, so it is not in force before the
/// first answer to a call for later changes.
async fn read_all(state: &ControlState) -> Result<(), StoreError> {
    let is_first = !state.sources.borrow().is_confirmed();
    let asked_at = clock::now();
    let mut items: Vec<KeyspaceItem> = Vec::new();
    let mut revisions: Vec<u64> = Vec::new();
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = RangeCall {
            prefix: ALL_KEYS_PREFIX.to_owned(),
            after,
            may_be_stale: is_first,
        };
        let page_asked_at = clock::now();
        let read = (state.store.range)(call).await;
        if !is_first || read.is_err() {
            answers::record_call(state, page_asked_at, &read);
        }
        state
            .shared
            .metrics
            .record_store_call("range", read.is_ok());
        let page = read?;
        revisions.push(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            break;
        }
    }
    // The pages are no consistent snapshot, and each may come from a replica that is older than those
    // of the others: all is known only up to the oldest page.
    let oldest = revisions.iter().copied().min().unwrap_or(0);
    log_read(state, &revisions, is_first);
    copy::replace(state, items, oldest);
    if !is_first {
        state.sources.borrow_mut().record_read(asked_at);
        copy::notify_followers(state);
    }
    Ok(())
}

/// Logs how old the pages of a read of the whole key space were.
fn log_read(state: &ControlState, revisions: &[u64], may_be_stale: bool) {
    let event = || ReadEvent {
        pages: revisions.len(),
        oldest: revisions.iter().copied().min().unwrap_or(0),
        newest: revisions.iter().copied().max().unwrap_or(0),
        may_be_stale,
    };
    state.shared.log.write(EventClass::State, "read", event);
}

/// Waits until the store does not answer another call, and sends nothing to this one.
async fn wait_for_silence(state: &ControlState) {
    let received = || state.store.received.load(Ordering::Relaxed);
    loop {
        store_status::wait_for_loss(state).await;
        let before = received();
        task::sleep(SILENCE_TIME).await;
        if received() == before {
            return;
        }
    }
}

/// Waits up to `wait` for changes from the store and applies them; the store has `answer_time` to
/// answer once the wait is over.
async fn follow_store(
    state: &ControlState,
    wait: Duration,
    answer_time: Duration,
) -> Result<FollowStep, StoreError> {
    let call = FollowCall {
        prefix: ALL_KEYS_PREFIX.to_owned(),
        after: state.view.borrow().revision(),
        wait,
        answer_time,
    };
    // A renewal of the registration may fail before the call does.
    let asked_at = clock::now();
    let following = pin!((state.store.follow)(call));
    let lost = pin!(wait_for_silence(state));
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
    let has_changes = match &followed {
        Ok(FollowOutcome::Changes { items, .. }) => !items.is_empty(),
        _ => true,
    };
    // The store answers without changes only once the wait is over.
    let waited = match has_changes {
        true => Duration::ZERO,
        false => wait.min(clock::now().since(asked_at)),
    };
    answers::record_call(state, asked_at.after(waited), &followed);
    let FollowOutcome::Changes { items, revision } = followed? else {
        return Ok(FollowStep::MustRead);
    };
    state.sources.borrow_mut().record_store_answer(StoreAnswer {
        asked_at,
        wait,
        answered_at: clock::now(),
        has_changes,
    });
    copy::apply_items(state, items, revision);
    if has_changes && state.sources.borrow().is_confirmed() {
        // Meanwhile changes accumulate in the store.
        let interval = state
            .sources
            .borrow()
            .budget()
            .batch_interval(state.shared.vms.load().len());
        let taken = clock::now().since(asked_at);
        task::sleep(interval.saturating_sub(taken)).await;
    }
    Ok(FollowStep::Answered)
}
