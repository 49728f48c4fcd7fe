//! Drives the quota manager: its ticks, its messages to other VMs, and the share document in the
//! store.

use crate::control::ControlState;
use crate::{clock, shared, slots};
use async_std::future::timeout;
use async_std::task;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_peer::quota;
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::shares::{document, holder};
use dahliawood_quota::{limit, member, message, options};
use dahliawood_store::{client, protocol};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The key of the share document in the store.
pub const SHARES_KEY: &str = "dahliawood/shares";

/// How long one watch call on the share document waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed watch call.
const RETRY_STORE: Duration = Duration::from_millis(500);
/// Time between two ticks while no request waits.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies the limits of a configuration to the quota manager; creates the manager if there is
/// none.
pub fn configure(shared: &shared::SharedState, revision: u64, config: &tables::FleetConfig) {
    let now = clock::now();
    let mut quota = shared.quota.lock();
    let manager = quota.manager.get_or_insert_with(|| {
        let entry = own_entry(shared, config);
        manager::QuotaManager::new(entry, options::QuotaOptions::default(), now)
    });
    manager.configure(revision, limit::fleet_limits(config), now);
}

/// This VM's entry for the share document.
fn own_entry(shared: &shared::SharedState, config: &tables::FleetConfig) -> member::MemberEntry {
    let domain = shared.settings.domain.clone();
    let found = config.domains.find(|spec| spec.name == domain);
    let region = found.map(|(_, spec)| config.regions[spec.region].name.clone());
    let region = region.unwrap_or_default();
    member::MemberEntry {
        id: shared.holder_id,
        region,
        domain,
        leaving: false,
        epoch: 0,
    }
}

/// Advances the quota manager at each interval, and at once when woken, until the task is
/// cancelled.
pub async fn run(state: Rc<RefCell<ControlState>>) {
    let shared = state.borrow().shared.clone();
    loop {
        // Returns when the task is woken or the interval is over.
        let _woken = timeout(TICK_INTERVAL, shared.quota.wakeups.recv()).await;
        let effects = shared.quota.lock().tick(clock::now());
        apply_effects(&state, effects);
        slots::tick(&shared);
    }
}

/// Passes the members on the live list to the quota manager; the read of the list began at
/// `read_at`.
///
/// The list may not contain incarnations. A listed address stands for the incarnation in the last
/// heartbeat from that address; if there was none, for every incarnation at that address in the
/// share document.
pub fn apply_live_list(state: &ControlState, read_at: TimeStamp) {
    let mut quota = state.shared.quota.lock();
    let Some(manager) = quota.manager.as_mut() else {
        return;
    };
    let mut listed = Vec::new();
    for member in state.members.members() {
        let address = member.peer;
        if address == state.shared.holder_id.address {
            listed.push(state.shared.holder_id);
        } else if member.incarnation > 0 {
            listed.push(member::HolderId {
                address,
                incarnation: member.incarnation,
            });
        } else {
            let holders = manager.document().members.iter().map(|entry| entry.id);
            listed.extend(holders.filter(|id| id.address == address));
        }
    }
    manager.apply_live_list(&listed, read_at, clock::now());
}

/// Passes quota messages of another VM to the quota manager.
pub fn receive(state: &Rc<RefCell<ControlState>>, batch: quota::QuotaBatch) {
    let shared = state.borrow().shared.clone();
    let mut effects = Vec::new();
    {
        let mut quota = shared.quota.lock();
        let Some(manager) = quota.manager.as_mut() else {
            return;
        };
        for message in batch.messages {
            effects.extend(manager.receive(batch.from, message, clock::now()));
        }
    }
    apply_effects(state, effects);
    // The messages may have brought a loan for which requests wait.
    slots::tick(&shared);
}

/// Carries out the effects of the quota manager.
fn apply_effects(state: &Rc<RefCell<ControlState>>, effects: Vec<effect::QuotaEffect>) {
    let mut outgoing: FastMap<member::HolderId, Vec<message::QuotaMessage>> = FastMap::default();
    for effect in effects {
        match effect {
            effect::QuotaEffect::Send { to, message } => {
                outgoing.entry(to).or_default().push(message);
            }
            effect::QuotaEffect::ReadShares => {
                task::spawn_local(read_shares(Rc::clone(state)));
            }
            effect::QuotaEffect::WriteShares(write) => {
                task::spawn_local(write_shares(Rc::clone(state), write));
            }
            effect::QuotaEffect::Resolved { ticket, admission } => {
                state
                    .borrow()
                    .shared
                    .quota
                    .lock()
                    .resolve(ticket, admission);
            }
        }
    }
    for (to, messages) in outgoing {
        task::spawn_local(send(Rc::clone(state), to, messages));
    }
}

/// Sends quota messages to another VM. Failed sends are not repeated here, because the quota
/// manager recovers from lost messages.
async fn send(
    state: Rc<RefCell<ControlState>>,
    to: member::HolderId,
    messages: Vec<message::QuotaMessage>,
) {
    let (peers, from) = {
        let state = state.borrow();
        (state.peers.clone(), state.shared.holder_id)
    };
    let Ok(connection) = peers.connection(to.address).await else {
        return;
    };
    let batch = quota::QuotaBatch { from, messages };
    if let Err(error) = connection.quota(&batch).await {
        log::debug!("cannot send quota messages to {to}: {error}");
        peers.forget(to.address, &connection);
    }
}

/// Watches the share document in the store until the task is cancelled.
pub async fn watch_shares(state: Rc<RefCell<ControlState>>) {
    let store = state.borrow().store.clone();
    let mut after = 0;
    loop {
        let key = SHARES_KEY.to_owned();
        let watched = (store.watch)(client::WatchCall {
            key,
            after,
            wait: WATCH_WAIT,
        })
        .await;
        state
            .borrow_mut()
            .record_store_call(has_store_answered(&watched));
        match watched {
            Ok(entry) if entry.version == after => {}
            Ok(entry) => {
                after = entry.version;
                apply_entry(&state, &entry);
            }
            Err(_) => task::sleep(RETRY_STORE).await,
        }
    }
}

/// Whether the store answered a call, even if with an error.
fn has_store_answered<T>(result: &Result<T, client::error::StoreError>) -> bool {
    result
        .as_ref()
        .err()
        .is_none_or(client::error::StoreError::is_answer)
}

/// Reads the share document and passes it to the quota manager.
async fn read_shares(state: Rc<RefCell<ControlState>>) {
    let store = state.borrow().store.clone();
    let read = (store.get)(SHARES_KEY.to_owned()).await;
    state
        .borrow_mut()
        .record_store_call(has_store_answered(&read));
    if let Ok(entry) = read {
        apply_entry(&state, &entry);
    }
}

/// Parses the share document and passes it to the quota manager; publishes the members if the
/// document changed them.
fn apply_entry(state: &Rc<RefCell<ControlState>>, entry: &protocol::KeyEntry) {
    let version = document::ShareVersion(entry.version);
    let parsed = entry.value.as_deref().map(serde_json::from_str).transpose();
    match parsed {
        Ok(document) => {
            let state = state.borrow();
            if apply_document(&state.shared, document, version) {
                state.publish_members();
            }
        }
        Err(error) => log::error!("cannot parse the share document in the store: {error}"),
    }
}

/// Passes the share document to the quota manager; returns whether its members changed.
fn apply_document(
    shared: &shared::SharedState,
    document: Option<document::ShareDocument>,
    version: document::ShareVersion,
) -> bool {
    let mut quota = shared.quota.lock();
    let Some(manager) = quota.manager.as_mut() else {
        return false;
    };
    let before = manager.document().members.clone();
    manager.apply_read(document, version, clock::now());
    manager.document().members != before
}

/// Writes the share document and passes the outcome to the quota manager.
async fn write_shares(state: Rc<RefCell<ControlState>>, write: holder::ShareWrite) {
    let value = match serde_json::to_string(&write.document) {
        Ok(value) => value,
        Err(error) => return log::error!("cannot serialize the share document: {error}"),
    };
    let store = state.borrow().store.clone();
    let expected = Some(write.base.map_or(0, |version| version.0));
    let call = client::PutCall {
        key: SHARES_KEY.to_owned(),
        value,
        expected,
        lease: None,
    };
    let written = (store.put)(call).await;
    state
        .borrow_mut()
        .record_store_call(has_store_answered(&written));
    let outcome = match written {
        Ok(version) => holder::WriteOutcome::Applied(document::ShareVersion(version)),
        Err(error) if error.effect() == client::error::WriteEffect::Possible => {
            holder::WriteOutcome::Unknown
        }
        Err(_) => holder::WriteOutcome::Conflict,
    };
    let shared = state.borrow().shared.clone();
    let mut quota = shared.quota.lock();
    if let Some(manager) = quota.manager.as_mut() {
        manager.apply_write_outcome(write.serial, outcome, clock::now());
    }
}
