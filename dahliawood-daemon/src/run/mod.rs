//! Start and graceful shutdown of a daemon.

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

/// How often the shutdown checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long no request may have been in flight before the shutdown ends. Other VMs stop listing
/// this VM in look-ups within two heartbeats; until then, callers with older look-up answers are
/// served.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(1_500);

/// How long the shutdown waits until the VM has given up its quota shares; after that, other VMs
/// reclaim them.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of VMs among which the store's call budget is divided until the live list was read.
const ASSUMED_LIVE_VMS: usize = 16;
/// Capacity of the queue of requests to the control thread.
const MAX_CONTROL_REQUESTS: usize = 64;

/// A running daemon.
pub struct DaemonHandle {
    /// State that all threads share.
    pub shared: Arc<shared::SharedState>,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other VMs.
    pub peer_listen: SocketAddr,
    /// The address for operators.
    pub operator_listen: SocketAddr,
    control: Option<thread::JoinHandle<()>>,
    stop: Sender<()>,
    front: task::JoinHandle<()>,
    operator: task::JoinHandle<()>,
}

/// The outcome of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownOutcome {
    /// Number of requests that were still in flight and were aborted.
    pub cut: usize,
}

/// Starts a daemon; with port 0, the system chooses a free port.
///
/// # Errors
/// Fails if an address cannot be bound, for instance because another daemon uses it, if the metrics
/// socket cannot be created, or if the control thread cannot be started.
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
    let call_budget = Arc::new(Mutex::new(budget::CallBudget::new(
        budget::BudgetOptions::default(),
        ASSUMED_LIVE_VMS,
        clock::now(),
    )));
    let store = platform_client(&settings, &call_budget);
    let incarnation = clock::wall_micros();
    let holder_id = member::HolderId {
        address: peer_listen,
        incarnation,
    };
    let shared = Arc::new(shared::SharedState::new(settings, holder_id));
    let tracker = control::follow::tracker(&shared);
    shared
        .events
        .record(kind::EventKind::VmStarted { incarnation });
    let (stop, stopped) = bounded(1);
    let (control_sender, requests) = bounded(MAX_CONTROL_REQUESTS);
    let control = control::start(control::ControlOptions {
        shared: Arc::clone(&shared),
        store: store.clone(),
        listener: peer,
        tracker: tracker.clone(),
        call_budget,
        metrics,
        requests,
        stop: stopped,
    });
    let state = operator::OperatorState {
        shared: Arc::clone(&shared),
        store,
        tracker,
        control: control_sender,
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

/// A client for the platform's key-value service and live list, limited to this VM's share of the
/// fleet's call budget.
fn platform_client(
    settings: &settings::DaemonSettings,
    call_budget: &Arc<Mutex<budget::CallBudget>>,
) -> client::StoreClient {
    let live_list = client::http(client::HttpOptions::new(settings.live_list));
    let platform = client::StoreClient {
        live: live_list.live,
        ..client::http(client::HttpOptions::new(settings.store))
    };
    budget::limit(&platform, call_budget, &store_clock::boot())
}

/// Binds an address.
async fn bind(address: SocketAddr) -> Result<TcpListener, error::StartError> {
    TcpListener::bind(address)
        .await
        .context(error::BindSnafu { address })
}

impl DaemonHandle {
    /// Shuts down gracefully: tells other VMs, which then stop listing this one, closes each
    /// connection after its current response, and waits for requests in flight up to the drain
    /// limit of the settings.
    pub async fn shutdown(self) -> ShutdownOutcome {
        if !self.shared.begin_shutdown() {
            self.shared.events.record(kind::EventKind::VmLeaving);
        }
        if let Some(manager) = self.shared.quota.lock().manager.as_mut() {
            manager.leave();
        }
        let limit = clock::now().after(self.shared.settings.drain_limit);
        let mut idle_since = clock::now();
        while clock::now() < limit {
            if self.shared.in_flight.load(Ordering::Acquire) > 0 {
                idle_since = clock::now();
            }
            let is_idle = clock::now().since(idle_since) >= IDLE_BEFORE_EXIT;
            if is_idle && self.is_quota_released(idle_since) {
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

    /// Whether the VM has given up its quota shares, or [`RELEASE_TIMEOUT`] has passed since
    /// `idle_since`.
    fn is_quota_released(&self, idle_since: TimeStamp) -> bool {
        let quota = self.shared.quota.lock();
        let manager = quota.manager.as_ref();
        let is_released = manager.is_none_or(QuotaManager::is_released);
        is_released || clock::now().since(idle_since) >= RELEASE_TIMEOUT
    }

    /// Ends at once and aborts all requests in flight.
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
