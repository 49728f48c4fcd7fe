//! The control thread, the only thread that changes the daemon's state of the fleet.
//!
//! Tasks of this thread talk to the store, the live list and other VMs. They update
//! [`ControlState`] and publish complete snapshots of it to the traffic threads.

pub mod follow;
pub mod heartbeat;
pub mod install;
pub mod live_list;
pub mod members;
pub mod peers;
pub mod quota;
mod request;
pub mod tick;

pub use request::{ControlRequest, ControlStopped, EventRequest, EventResult, call};

use crate::{counters, shared};
use async_std::channel::Receiver;
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_events::kind;
use dahliawood_model::FastSet;
use dahliawood_peer::{message, server};
use dahliawood_store::{budget, client, revision};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// State of the control thread.
pub struct ControlState {
    /// State that is shared with the traffic threads.
    pub shared: Arc<shared::SharedState>,
    /// The VMs of the fleet.
    pub members: members::MemberTable,
    /// Peer addresses to which a task sends heartbeats.
    pub heartbeat_peers: FastSet<SocketAddr>,
    /// The key-value service.
    pub store: client::StoreClient,
    /// This VM's budget of calls to the store.
    pub call_budget: Arc<Mutex<budget::CallBudget>>,
    /// Tracks the revision in force.
    pub tracker: revision::SharedTracker,
    /// Connections to other VMs.
    pub peers: peers::PeerTable,
    /// Whether the store answered the last call.
    is_store_up: bool,
}

/// Options of the control thread.
pub struct ControlOptions {
    /// State that is shared with the traffic threads.
    pub shared: Arc<shared::SharedState>,
    /// Client of the key-value service and the live list.
    pub store: client::StoreClient,
    /// Accepts the connections of other VMs.
    pub listener: TcpListener,
    /// This VM's budget of calls to the store.
    pub call_budget: Arc<Mutex<budget::CallBudget>>,
    /// Tracks the revision in force.
    pub tracker: revision::SharedTracker,
    /// Sends metrics.
    pub metrics: counters::MetricSender,
    /// Requests from other threads.
    pub requests: Receiver<ControlRequest>,
    /// Stops the thread when the channel closes.
    pub stop: Receiver<()>,
}

impl ControlState {
    /// Whether a member has the peer address of the given VM.
    pub fn is_member(&self, member: &members::VmMember) -> bool {
        self.members
            .members()
            .iter()
            .any(|known| known.peer == member.peer)
    }

    /// Sets the call budget to this VM's share among the current members.
    pub fn update_call_budget(&self) {
        let count = self.members.members().len().max(1);
        let mut call_budget = self
            .call_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        call_budget.set_live_vms(count);
    }

    /// Counts a call to the store, and records an event if the store became available or
    /// unavailable.
    pub fn record_store_call(&mut self, is_up: bool) {
        self.shared
            .counters
            .count(counters::CounterKind::StoreCalls);
        if !is_up {
            self.shared
                .counters
                .count(counters::CounterKind::StoreFailed);
        }
        if is_up != self.is_store_up {
            self.is_store_up = is_up;
            let kind = if is_up {
                kind::EventKind::StoreBack
            } else {
                kind::EventKind::StoreLost
            };
            self.shared.events.record(kind);
        }
    }

    /// Whether the store answered the last call.
    pub fn is_store_up(&self) -> bool {
        self.is_store_up
    }

    /// Publishes the members to the traffic threads.
    pub fn publish_members(&self) {
        self.shared
            .members
            .store(Arc::new(self.members.members().to_vec()));
        if let Some(snapshot) = self.shared.snapshot.load_full() {
            install::publish(&self.shared, Arc::clone(&snapshot.state));
        }
    }
}

/// Starts the control thread.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn start(options: ControlOptions) -> std::io::Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(move || task::block_on(run(options)))
}

/// Runs all tasks of the thread until the stop channel closes.
async fn run(options: ControlOptions) {
    let shared = Arc::clone(&options.shared);
    let state = Rc::new(RefCell::new(ControlState {
        shared: options.shared,
        members: members::MemberTable::default(),
        heartbeat_peers: FastSet::default(),
        store: options.store.clone(),
        peers: peers::PeerTable::default(),
        call_budget: options.call_budget,
        tracker: options.tracker.clone(),
        is_store_up: true,
    }));
    let handlers = Rc::new(peer_handlers(&state));
    let tasks = [
        task::spawn_local(async move {
            if let Err(error) = server::serve(options.listener, handlers).await {
                log::error!("the server for other VMs stopped: {error}");
            }
        }),
        task::spawn_local(quota::run(Rc::clone(&state))),
        task::spawn_local(quota::watch_shares(Rc::clone(&state))),
        task::spawn_local(follow::run(shared, options.tracker, options.store)),
        task::spawn_local(live_list::run(Rc::clone(&state))),
        task::spawn_local(tick::run(Rc::clone(&state), options.metrics)),
        task::spawn_local(request::run(Rc::clone(&state), options.requests)),
    ];
    let _closed = options.stop.recv().await;
    for task in tasks {
        task.cancel().await;
    }
}

/// The handlers for calls of other VMs.
fn peer_handlers(state: &Rc<RefCell<ControlState>>) -> server::PeerHandlers {
    let (heartbeat_state, file_state) = (Rc::clone(state), Rc::clone(state));
    let (quota_state, event_state) = (Rc::clone(state), Rc::clone(state));
    server::PeerHandlers {
        beat: Box::new(move |beat| {
            heartbeat::receive_heartbeat(&mut heartbeat_state.borrow_mut(), &beat);
            heartbeat::own_heartbeat(&heartbeat_state.borrow())
        }),
        config: Box::new(move |above| follow::newer_file(&file_state.borrow().tracker, above)),
        quota: Box::new(move |batch| quota::receive(&quota_state, batch)),
        events: Box::new(move |after, count| event_page(&event_state.borrow(), after, count)),
    }
}

/// A page of this VM's events.
fn event_page(state: &ControlState, after: u64, max_events: u32) -> message::EventPage {
    let page = state.shared.events.page(after, max_events as usize);
    let events = page
        .events
        .iter()
        .filter_map(|event| serde_json::to_string(event).ok());
    message::EventPage {
        events: events.collect(),
        next: page.next,
        lost: page.lost,
    }
}
