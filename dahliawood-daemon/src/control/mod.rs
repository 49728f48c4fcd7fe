//! The control thread: the one place where the daemon's state of the fleet changes.
//!
//! Tasks of this thread talk to the store, the live list and other VMs; what they learn goes into
//! [`ControlState`], and from there, as whole snapshots, to the traffic threads.

pub mod beats;
pub mod follow;
pub mod install;
pub mod live;
pub mod members;
mod question;
pub mod tick;

pub use question::{ControlGone, ControlQuestion, EventAnswer, EventQuestion, ask};

use crate::{counters, shared};
use async_std::channel::Receiver;
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_model::FastSet;
use dahliawood_peer::{message, server};
use dahliawood_store::client;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

/// What the control thread knows.
pub struct ControlState {
    /// What it shares with the traffic threads.
    pub shared: Arc<shared::SharedState>,
    /// The VMs of the fleet.
    pub members: members::MemberTable,
    /// Peer addresses that a task beats to.
    pub beating: FastSet<SocketAddr>,
    /// The key-value service.
    pub store: client::StoreClient,
    /// Whether the store answered last time.
    pub is_store_up: bool,
}

/// What the control thread is started with.
pub struct ControlOptions {
    /// State to share.
    pub shared: Arc<shared::SharedState>,
    /// The key-value service.
    pub store: client::StoreClient,
    /// The live list's service.
    pub live: client::StoreClient,
    /// Where other VMs are answered.
    pub listener: TcpListener,
    /// Sends metrics.
    pub metrics: counters::MetricSender,
    /// Questions from other threads.
    pub questions: Receiver<ControlQuestion>,
    /// Ends the thread when it closes.
    pub stop: Receiver<()>,
}

impl ControlState {
    /// Whether a VM is still a member at that peer address.
    pub fn is_member(&self, member: &members::VmMember) -> bool {
        self.members.members().iter().any(|known| known.peer == member.peer)
    }

    /// Takes an accepted file, from the store or from another VM, and brings it into force where it
    /// is newer than what is.
    pub fn take_file(&mut self, revision: u64, text: String) {
        let current = self.shared.snapshot.load().as_ref().map_or(0, |now| now.state.revision);
        if revision <= current {
            return;
        }
        let file = install::AcceptedFile { revision, text };
        match install::check(&self.shared.settings.domain, file) {
            Ok(state) => {
                install::install(&self.shared, state, self.members.members());
            }
            Err(error) => log::error!("revision {revision} cannot be brought into force: {error}"),
        }
    }

    /// Publishes the members to the traffic threads.
    pub fn publish_members(&self) {
        if let Some(snapshot) = self.shared.snapshot.load_full() {
            install::publish(&self.shared, Arc::clone(&snapshot.state), self.members.members());
        }
    }
}

/// Starts the control thread.
///
/// # Errors
/// Fails where the thread cannot be started.
pub fn start(options: ControlOptions) -> std::io::Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(move || task::block_on(run(options)))
}

/// Runs all tasks of the thread until it is told to stop.
async fn run(options: ControlOptions) {
    let state = Rc::new(RefCell::new(ControlState {
        shared: options.shared,
        members: members::MemberTable::default(),
        beating: FastSet::default(),
        store: options.store.clone(),
        is_store_up: true,
    }));
    let handlers = Rc::new(peer_handlers(&state));
    let tasks = [
        task::spawn_local(async move {
            if let Err(error) = server::serve(options.listener, handlers).await {
                log::error!("other VMs can no longer call: {error}");
            }
        }),
        task::spawn_local(follow::run(Rc::clone(&state))),
        task::spawn_local(live::run(Rc::clone(&state), options.live)),
        task::spawn_local(tick::run(Rc::clone(&state), options.metrics)),
        task::spawn_local(question::run(Rc::clone(&state), options.questions)),
    ];
    let _closed = options.stop.recv().await;
    for task in tasks {
        task.cancel().await;
    }
}

/// What other VMs' calls are answered with.
fn peer_handlers(state: &Rc<RefCell<ControlState>>) -> server::PeerHandlers {
    let (beat_state, file_state, event_state) =
        (Rc::clone(state), Rc::clone(state), Rc::clone(state));
    server::PeerHandlers {
        beat: Box::new(move |beat| {
            beats::take_beat(&mut beat_state.borrow_mut(), &beat);
            beats::own_beat(&beat_state.borrow())
        }),
        config: Box::new(move |above| file_above(&file_state.borrow(), above)),
        events: Box::new(move |after, most| event_page(&event_state.borrow(), after, most)),
    }
}

/// The file in force, where it is above a revision.
fn file_above(state: &ControlState, above: u64) -> Option<message::ConfigText> {
    let snapshot = state.shared.snapshot.load_full()?;
    let config = &snapshot.state;
    (config.revision > above).then(|| message::ConfigText {
        revision: config.revision,
        hash: config.hash.clone(),
        write_id: String::new(),
        text: config.text.clone(),
    })
}

/// A page of this VM's events.
fn event_page(state: &ControlState, after: u64, most: u32) -> message::EventPage {
    let page = state.shared.events.page(after, most as usize);
    let events = page.events.iter().filter_map(|event| serde_json::to_string(event).ok());
    message::EventPage { events: events.collect(), next: page.next, lost: page.lost }
}
