//! The control thread: follows the key space, registers this VM, and runs what happens at times.

pub mod follow;
pub mod peers;
pub mod register;
pub mod relay;
pub mod shares;
pub mod tick;
pub mod vms;

use crate::clock;
use crate::control::vms::VmRecord;
use crate::state::SharedState;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::allocation::coordinator::AllocationCoordinator;
use dahliawood_store::keyspace::call::KeyspaceClient;
use dahliawood_store::keyspace::view::KeyspaceView;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

/// What the tasks of the control thread share.
pub struct ControlState {
    /// What they share with the traffic thread.
    pub shared: SharedState,
    /// The key space.
    pub store: KeyspaceClient,
    /// What is known of it.
    pub view: RefCell<KeyspaceView>,
    /// Whether the store answered last time.
    pub is_store_up: Cell<bool>,
    /// Connections to other VMs.
    pub peers: peers::PeerTable,
    /// Different for each start of the process.
    pub life: u64,
    /// When it was started.
    pub started: TimeStamp,
    /// The parts of customers' limits, where this VM is the head.
    pub book: RefCell<AllocationCoordinator>,
    /// The VMs that the book knows of.
    pub book_vms: RefCell<Arc<Vec<VmRecord>>>,
    /// Rings whenever that changes.
    pub store_bell: (Sender<()>, Receiver<()>),
}

/// What the control thread is started with.
pub struct ControlOptions {
    /// State to share.
    pub shared: SharedState,
    /// The key space.
    pub store: KeyspaceClient,
    /// Where other VMs are answered.
    pub listener: TcpListener,
    /// Ends the thread when it closes.
    pub stop: Receiver<()>,
}

/// Starts the control thread.
///
/// # Errors
/// The thread cannot be started.
pub fn start(options: ControlOptions) -> std::io::Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(move || task::block_on(run(options)))
}

async fn run(options: ControlOptions) {
    let life = rand::random();
    let window = options.shared.settings.bounds.quota_window;
    let state = Rc::new(ControlState {
        shared: options.shared,
        store: options.store,
        view: RefCell::new(KeyspaceView::new(follow::is_leased)),
        is_store_up: Cell::new(true),
        store_bell: bounded(1),
        peers: peers::PeerTable::default(),
        book: RefCell::new(AllocationCoordinator::new(window, life)),
        life,
        started: clock::now(),
        book_vms: RefCell::default(),
    });
    let tasks = [
        task::spawn_local(peers::serve(Rc::clone(&state), options.listener)),
        task::spawn_local(shares::run(Rc::clone(&state))),
        task::spawn_local(relay::run(Rc::clone(&state))),
        task::spawn_local(follow::run(Rc::clone(&state))),
        task::spawn_local(register::run(Rc::clone(&state))),
        task::spawn_local(tick::run(state)),
    ];
    let _closed = options.stop.recv().await;
    for task in tasks {
        task.cancel().await;
    }
}
