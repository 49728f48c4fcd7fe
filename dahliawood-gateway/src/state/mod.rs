//! State shared by the control thread and the traffic thread.

use crate::asks::RoomAsks;
use crate::codec::PlatformCodec;
use crate::control::vms::VmRecord;
use crate::line::LineLog;
use crate::metrics::GatewayMetrics;
use crate::settings::GatewaySettings;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_std::channel::{Receiver, Sender, bounded};
use dahliawood_fate::retry::RetryBudget;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_quota::allocation::local::LocalAllocations;
use dahliawood_quota::window::CustomerWindows;
use dahliawood_steer::placement::choose::VmLocation;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::split::round_robin::RoundRobin;
use dahliawood_wire::pool::{PoolOptions, TargetPool};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Limit for opening a connection to a target: a round trip between regions with some margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to a target may be idle if the target does not announce a limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// TCP user timeout: how long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// State shared by the threads; locks are held for a few instructions and never across an await.
#[derive(derive_more::Debug)]
#[debug("GatewayState({})", settings.name)]
pub struct GatewayState {
    /// Settings.
    pub settings: GatewaySettings,
    /// Encodes and decodes the messages of the platform.
    pub codec: PlatformCodec,
    /// The operators' configuration, `None` until it has been read.
    pub catalog: ArcSwapOption<FleetCatalog>,
    /// The registered VMs, this one included.
    pub vms: ArcSwap<Vec<VmRecord>>,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Structured log.
    pub lines: LineLog,
    /// Requests that wait for a larger allocation of their customer's limit.
    pub asks: RoomAsks,
    place: Mutex<PlacementTable>,
    own: Mutex<VmLocation>,
    budgets: Mutex<FastMap<String, RetryBudget>>,
    splits: Mutex<FastMap<String, RoundRobin>>,
    windows: Mutex<CustomerWindows>,
    parts: Mutex<LocalAllocations>,
    is_leaving: AtomicBool,
    is_closed: AtomicBool,
    leave: Sender<()>,
    /// Channel that is closed when the shutdown starts.
    pub left: Receiver<()>,
}

impl GatewayState {
    /// State of a VM that has not read the key space yet.
    pub fn new(settings: GatewaySettings, codec: PlatformCodec, metrics: GatewayMetrics) -> Self {
        let (leave, left) = bounded(1);
        let own = VmLocation {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            vms: 1,
            ..VmLocation::default()
        };
        let options = PoolOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            tcp_user_timeout: USER_TIMEOUT,
            ..PoolOptions::default()
        };
        Self {
            codec,
            catalog: ArcSwapOption::empty(),
            vms: ArcSwap::from_pointee(Vec::new()),
            pool: TargetPool::new(options),
            metrics,
            lines: LineLog::default(),
            asks: RoomAsks::default(),
            place: Mutex::new(PlacementTable::new(settings.regions.clone())),
            own: Mutex::new(own),
            budgets: Mutex::default(),
            splits: Mutex::default(),
            windows: Mutex::new(CustomerWindows::new(settings.bounds.quota_window)),
            parts: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            leave,
            left,
            settings,
        }
    }

    /// The targets, with their load and health.
    pub fn place(&self) -> MutexGuard<'_, PlacementTable> {
        lock(&self.place)
    }

    /// This VM's failure domain and region.
    pub fn own(&self) -> MutexGuard<'_, VmLocation> {
        lock(&self.own)
    }

    /// Each customer's requests on this VM within the rate-limit window.
    pub fn windows(&self) -> MutexGuard<'_, CustomerWindows> {
        lock(&self.windows)
    }

    /// This VM's allocations of customers' limits.
    pub fn parts(&self) -> MutexGuard<'_, LocalAllocations> {
        lock(&self.parts)
    }

    /// State of the weighted split of each route that has several services.
    pub fn splits(&self) -> MutexGuard<'_, FastMap<String, RoundRobin>> {
        lock(&self.splits)
    }

    /// Calls `work` with a service's retry budget, which is this VM's part of the fleet's budget.
    pub fn budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| self.new_budget());
        work(budget)
    }

    fn new_budget(&self) -> RetryBudget {
        let bounds = &self.settings.bounds;
        let vms = self.vms.load().len().max(1) as f64;
        let percent = (bounds.retry_ratio * 100.0) as u32;
        RetryBudget::new(percent, (bounds.retry_extra / vms) as u32)
    }

    /// Whether the VM is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Starts the shutdown.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
        self.leave.close();
    }

    /// Whether the VM has stopped accepting requests.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Records that the VM has stopped accepting requests.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Whether the VM is ready to serve requests.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }
}

/// Locks a mutex; a poisoned lock is used all the same, because a thread that panics while it holds
/// the lock leaves the state consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reference to the state as each thread holds it.
pub type SharedState = Arc<GatewayState>;
