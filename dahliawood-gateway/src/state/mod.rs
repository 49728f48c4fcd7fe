//! What the control thread and the traffic thread share.

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

/// How long opening a connection to a target may take: a round trip between regions, and some more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to a target may be idle, where the target says nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// How long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// What the threads share; locks are held for a few instructions and never over an await.
#[derive(derive_more::Debug)]
#[debug("GatewayState({})", settings.name)]
pub struct GatewayState {
    /// Settings.
    pub settings: GatewaySettings,
    /// Encodes and decodes the messages of the platform.
    pub codec: PlatformCodec,
    /// What is declared, `None` until it is known.
    pub catalog: ArcSwapOption<FleetCatalog>,
    /// The VMs that live, this one included.
    pub vms: ArcSwap<Vec<VmRecord>>,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Log lines.
    pub lines: LineLog,
    /// Requests that wait for room in a customer's limit.
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
    /// Closed once the VM leaves.
    pub left: Receiver<()>,
}

impl GatewayState {
    /// A VM that knows nothing yet.
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

    /// The targets.
    pub fn place(&self) -> MutexGuard<'_, PlacementTable> {
        lock(&self.place)
    }

    /// Where this VM stands.
    pub fn own(&self) -> MutexGuard<'_, VmLocation> {
        lock(&self.own)
    }

    /// What customers have sent.
    pub fn windows(&self) -> MutexGuard<'_, CustomerWindows> {
        lock(&self.windows)
    }

    /// This VM's parts of customers' limits.
    pub fn parts(&self) -> MutexGuard<'_, LocalAllocations> {
        lock(&self.parts)
    }

    /// The state of each route's split.
    pub fn splits(&self) -> MutexGuard<'_, FastMap<String, RoundRobin>> {
        lock(&self.splits)
    }

    /// Works with a service's budget of second tries, a VM's part of the fleet's.
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

    /// Whether the VM has stopped taking requests.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Notes that the VM has stopped taking requests.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Whether the VM takes work.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }
}

/// Locks; a thread that panicked while it held the lock left the state whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The state as the threads hold it.
pub type SharedState = Arc<GatewayState>;
