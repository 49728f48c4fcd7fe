//! Control thread: follows the key space, registers this VM, and runs the exchange with other VMs
//! and periodic work, so that none of it delays requests.

pub mod answers;
pub mod apply;
pub mod copy;
pub mod follow;
pub mod followers;
pub mod knowledge;
pub mod loads;
pub mod parts;
pub mod peers;
pub mod register;
pub mod relay;
pub mod shares;
pub mod sightings;
pub mod source;
pub mod store_status;
pub mod tick;
pub mod transfers;
pub mod upstream;
pub mod vms;

use crate::clock;
use crate::control::source::budget::FreshnessBudget;
use crate::control::source::tracker::{SourceTracker, TrackerOptions};
use crate::control::vms::VmRecord;
use crate::state::SharedState;
use crate::supervise;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::allocation::absent::AbsentMembers;
use dahliawood_quota::allocation::coordinator::AllocationCoordinator;
use dahliawood_store::keyspace::call::KeyspaceClient;
use dahliawood_store::keyspace::view::KeyspaceView;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

/// State shared by the tasks of the control thread.
pub struct ControlState {
    /// State shared with the traffic thread.
    pub shared: SharedState,
    /// Client of the key space's store.
    pub store: KeyspaceClient,
    /// This VM's copy of the key space.
    pub view: RefCell<KeyspaceView>,
    /// Whether the store answered the last call.
    pub is_store_up: Cell<bool>,
    /// Whom this VM asks for changes, and how old what it knows is.
    pub sources: RefCell<SourceTracker>,
    /// The date of its copy that the VM which this one follows told last.
    pub told_date: RefCell<upstream::ToldDate>,
    /// From whom this VM learns of changes, for logs and metrics.
    pub knowledge: RefCell<knowledge::KnowledgeRecord>,
    /// Whether this VM follows another one instead of the store.
    pub is_relayed: Cell<bool>,
    /// Keys whose changes the first read found, held until they are confirmed.
    pub unconfirmed: RefCell<FastSet<String>>,
    /// Channel that is closed, and replaced, when an answer of this VM's source is applied.
    pub changed: RefCell<(Sender<()>, Receiver<()>)>,
    /// Long values that this VM knows to be written and does not have.
    pub transfers: RefCell<transfers::tracker::TransferTracker>,
    /// Channel that gets a message when there is a value to fetch.
    pub transfer_wake: (Sender<()>, Receiver<()>),
    /// Long values as other VMs fetch them.
    pub part_cache: RefCell<parts::PartCache>,
    /// Connections to other VMs.
    pub peers: peers::PeerTable,
    /// Loads of targets that are shared with other VMs.
    pub loads: loads::LoadExchange,
    /// This VM's incarnation: different for each start of the process.
    pub incarnation: u64,
    /// When the process was started.
    pub started: TimeStamp,
    /// Allocates customers' limits to the VMs while this VM is the coordinator.
    pub coordinator: RefCell<AllocationCoordinator>,
    /// The latest copy of a coordinator's table that this VM has.
    pub table_copy: RefCell<Option<shares::standby::CoordinatorCopy>>,
    /// The limits of all customers.
    pub limits: RefCell<shares::limits::CustomerLimits>,
    /// VMs that are off the list of registered VMs, and may be cut off.
    pub absent: RefCell<AbsentMembers>,
    /// The VMs that the coordinator allocates to.
    pub coordinator_members: RefCell<Arc<Vec<VmRecord>>>,
    /// Channel that gets a message when the store has returned to an older state.
    pub epoch_changed: (Sender<()>, Receiver<()>),
    /// Channel that gets a message when `is_store_up` changes.
    pub store_status_changed: (Sender<()>, Receiver<()>),
}

/// Arguments of [`start`].
pub struct ControlOptions {
    /// State shared with the traffic thread.
    pub shared: SharedState,
    /// Client of the key space's store.
    pub store: KeyspaceClient,
    /// Listener for the calls of other VMs.
    pub peer_listener: TcpListener,
    /// Channel that ends the thread when it is closed.
    pub stop: Receiver<()>,
}

/// Starts the control thread.
///
/// # Errors
/// Fails if the thread cannot be spawned.
pub fn start(options: ControlOptions) -> std::io::Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name("control".to_owned());
    builder.spawn(move || task::block_on(run(options)))
}

async fn run(options: ControlOptions) {
    let incarnation = rand::random_range(1..=u64::MAX);
    let window = options.shared.settings.bounds.quota_window;
    let started = clock::now();
    let sources = SourceTracker::new(TrackerOptions {
        name: options.shared.settings.name.clone(),
        domain: options.shared.settings.domain.clone(),
        started,
        budget: FreshnessBudget::new(&options.shared.settings.bounds),
    });
    let view = KeyspaceView::new(apply::is_leased)
        .with_order(options.shared.codec.order_of)
        .with_leaving(options.shared.codec.is_leaving);
    let loads = loads::LoadExchange::new(&options.shared.settings.name, incarnation);
    let state = Rc::new(ControlState {
        loads,
        shared: options.shared,
        store: options.store,
        view: RefCell::new(view),
        epoch_changed: bounded(1),
        is_store_up: Cell::new(true),
        store_status_changed: bounded(1),
        sources: RefCell::new(sources),
        told_date: RefCell::default(),
        knowledge: RefCell::default(),
        is_relayed: Cell::new(false),
        unconfirmed: RefCell::default(),
        changed: RefCell::new(bounded(1)),
        transfers: RefCell::default(),
        transfer_wake: bounded(1),
        part_cache: RefCell::default(),
        peers: peers::PeerTable::default(),
        coordinator: RefCell::new(AllocationCoordinator::new(window, incarnation)),
        incarnation,
        started,
        table_copy: RefCell::default(),
        coordinator_members: RefCell::default(),
        limits: RefCell::default(),
        absent: RefCell::default(),
    });
    let tasks = [
        task::spawn_local(peers::serve(Rc::clone(&state), options.peer_listener)),
        spawn(&state, "shares", shares::run),
        spawn(&state, "relay", relay::run),
        spawn(&state, "sightings", sightings::run),
        spawn(&state, "loads", loads::run),
        spawn(&state, "region-loads", loads::run_regions),
        spawn(&state, "follow", follow::run),
        spawn(&state, "transfers", transfers::run),
        spawn(&state, "register", register::run),
        spawn(&state, "tick", tick::run),
    ];
    let _closed = options.stop.recv().await;
    for task in tasks {
        task.cancel().await;
    }
}

fn spawn<F: Future<Output = ()> + 'static>(
    state: &Rc<ControlState>,
    name: &'static str,
    start: impl Fn(Rc<ControlState>) -> F + 'static,
) -> task::JoinHandle<()> {
    let state = Rc::clone(state);
    let start = move || start(Rc::clone(&state));
    task::spawn_local(supervise::run(name, start))
}
