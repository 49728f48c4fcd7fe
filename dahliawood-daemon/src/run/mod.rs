//! A daemon from its start to the end of its graceful shutdown.

pub mod error;

use crate::front::listen;
use crate::{clock, control, counters, operator, settings, shared};
use async_std::channel::{Sender, bounded};
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_events::kind;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::manager::QuotaManager;
use dahliawood_quota::member;
use dahliawood_store::{budget, client, clock as store_clock};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often the shutdown looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long no request may have come before the shutdown ends: other VMs stop naming this one
/// within two beats, and callers with older answers are still served meanwhile.
const QUIET_BEFORE_END: Duration = Duration::from_millis(1_500);

/// How long the shutdown waits until its shares are given up; later they are reclaimed by others.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// VMs that share the calls on the store, until the live list was read.
const VMS_ASSUMED: usize = 16;
/// Questions to the control thread that may wait.
const MOST_QUESTIONS: usize = 64;

/// A running daemon.
pub struct DaemonHandle {
    /// Its state.
    pub shared: Arc<shared::SharedState>,
    /// Where callers are answered.
    pub listen: SocketAddr,
    /// Where other VMs are answered.
    pub peer_listen: SocketAddr,
    /// Where operators are answered.
    pub operator_listen: SocketAddr,
    control: Option<thread::JoinHandle<()>>,
    stop: Sender<()>,
    front: task::JoinHandle<()>,
    operator: task::JoinHandle<()>,
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownOutcome {
    /// Requests that were still in flight.
    pub cut: usize,
}

/// Starts a daemon; ports may be 0.
///
/// # Errors
/// Fails where an address cannot be bound, another daemon's for instance.
pub async fn start(settings: settings::DaemonSettings) -> Result<DaemonHandle, error::StartError> {
    let front = bind(settings.listen).await?;
    let peer = bind(settings.peer_listen).await?;
    let operator = bind(settings.operator_listen).await?;
    let listen = front.local_addr().context(error::BindSnafu {
        address: settings.listen,
    })?;
    let peer_listen = peer
        .local_addr()
        .context(error::BindSnafu { address: listen })?;
    let operator_listen = operator
        .local_addr()
        .context(error::BindSnafu { address: listen })?;
    let metrics = counters::MetricSender::new(settings.statsd).context(error::MetricsSnafu)?;
    let calls = Arc::new(Mutex::new(budget::CallBudget::new(
        budget::BudgetOptions::default(),
        VMS_ASSUMED,
        clock::now(),
    )));
    let store = platform(&settings, &calls);
    let incarnation = clock::wall_micros();
    let me = member::HolderId {
        address: peer_listen,
        incarnation,
    };
    let shared = Arc::new(shared::SharedState::new(settings, me));
    let tracker = control::follow::tracker(&shared);
    shared
        .events
        .record(kind::EventKind::VmStarted { incarnation });
    let (stop, stopped) = bounded(1);
    let (ask, questions) = bounded(MOST_QUESTIONS);
    let control = control::start(control::ControlOptions {
        shared: Arc::clone(&shared),
        store: store.clone(),
        listener: peer,
        tracker: tracker.clone(),
        calls,
        metrics,
        questions,
        stop: stopped,
    });
    let state = operator::OperatorState {
        shared: Arc::clone(&shared),
        store,
        tracker,
        control: ask,
    };
    Ok(DaemonHandle {
        control: Some(control.context(error::ThreadSnafu)?),
        front: task::spawn(listen::run(front, Arc::clone(&shared))),
        operator: task::spawn(operator::run(operator, state)),
        shared,
        listen,
        peer_listen,
        operator_listen,
        stop,
    })
}

/// The platform's two services as one client, within this VM's share of the fleet's calls.
fn platform(
    settings: &settings::DaemonSettings,
    calls: &Arc<Mutex<budget::CallBudget>>,
) -> client::StoreClient {
    let live_list = client::http(client::HttpOptions::new(settings.live_list));
    let platform = client::StoreClient {
        live: live_list.live,
        ..client::http(client::HttpOptions::new(settings.store))
    };
    budget::limit(&platform, calls, &store_clock::boot())
}

/// Binds an address.
async fn bind(address: SocketAddr) -> Result<TcpListener, error::StartError> {
    TcpListener::bind(address)
        .await
        .context(error::BindSnafu { address })
}

impl DaemonHandle {
    /// Shuts down: other VMs hear of it and stop naming this one, connections are closed after
    /// their answer, and what is in flight ends, up to the limit of the settings.
    pub async fn shutdown(self) -> ShutdownOutcome {
        if !self.shared.leave() {
            self.shared.events.record(kind::EventKind::VmLeaving);
        }
        if let Some(book) = self.shared.desk.lock().book.as_mut() {
            book.leave();
        }
        let limit = clock::now().after(self.shared.settings.drain_limit);
        let mut quiet_since = clock::now();
        while clock::now() < limit {
            if self.shared.in_flight.load(Ordering::Acquire) > 0 {
                quiet_since = clock::now();
            }
            let is_quiet = clock::now().since(quiet_since) >= QUIET_BEFORE_END;
            if is_quiet && self.has_given_up(quiet_since) {
                break;
            }
            task::sleep(DRAIN_POLL).await;
        }
        let cut = self.shared.in_flight.load(Ordering::Acquire);
        self.shared
            .events
            .record(kind::EventKind::VmStopped { cut: cut as u64 });
        self.abort().await;
        ShutdownOutcome { cut }
    }

    /// Whether the shares are given up, or the store has had long enough for that.
    fn has_given_up(&self, quiet_since: TimeStamp) -> bool {
        let desk = self.shared.desk.lock();
        let book = desk.book.as_ref();
        let is_released = book.is_none_or(QuotaManager::is_released);
        is_released || clock::now().since(quiet_since) >= RELEASE_LIMIT
    }

    /// Ends at once: whatever is in flight is cut.
    pub async fn abort(mut self) {
        self.front.cancel().await;
        self.operator.cancel().await;
        self.stop.close();
        let Some(control) = self.control.take() else {
            return;
        };
        if task::spawn_blocking(move || control.join()).await.is_err() {
            log::error!("the control thread panicked");
        }
    }
}
