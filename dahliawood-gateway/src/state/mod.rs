//! State shared by the control thread and the traffic thread.

use crate::admission_queue::AdmissionQueue;
use crate::clock;
use crate::codec::PlatformCodec;
use crate::control::vms::VmRecord;
use crate::crashes::{CrashRecords, FleetSighting};
use crate::decisions::{DecisionRecords, RequestDecision};
use crate::forward::waiting::WaitingRequests;
use crate::held_bytes::HeldBytes;
use crate::metrics::GatewayMetrics;
use crate::peer_forward::outgoing::ForwardJob;
use crate::reach::ReachRecords;
use crate::settings::GatewaySettings;
use crate::structured_log::{EventClass, StructuredLog};
use arc_swap::{ArcSwap, ArcSwapOption};
use async_std::channel::{Receiver, Sender, bounded, unbounded};
use dahliawood_model::FastMap;
use dahliawood_model::catalog::{FleetCatalog, TargetReport};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::server::drain::ServerDrain;
use dahliawood_quota::allocation::local::{self, LocalAllocations};
use dahliawood_quota::window::CustomerWindows;
use dahliawood_request::retry::RetryBudget;
use dahliawood_steer::placement::choose::VmLocation;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::rendezvous;
use dahliawood_steer::split::round_robin::RoundRobin;
use dahliawood_wire::pool::{PoolOptions, TargetPool};
use serde::Serialize;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Limit for opening a connection to a target: a round trip between regions with some margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to a target may be idle if the target does not announce a limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// TCP user timeout of connections to targets: how long sent bytes may stay unacknowledged.
pub const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Part of the grace time that is kept for stopping.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// How long after the start of the shutdown requests are passed on that may take longer than the VM
/// runs: callers that asked for VMs before it started still come, and most requests take far less time.
const LATE_TIME: Duration = Duration::from_millis(2_500);

/// Log event for what a target newly says of itself.
#[derive(Serialize)]
struct StatementEvent<'a> {
    target: &'a str,
    /// Requests a second from all VMs, nothing if it states none any more.
    limit: Option<f64>,
    is_leaving: bool,
    pause_ms: Option<u128>,
}

/// Log event for a request or connection that ended because bodies take too much memory.
#[derive(Serialize)]
struct MemoryEvent {
    /// `request`, `response`, `target`, `slow-sender` or `slow-reader`.
    kind: &'static str,
    request_bytes: usize,
    response_bytes: usize,
}

/// Log event for a request that is no longer sent to targets.
#[derive(Serialize)]
struct QuarantineEvent {
    identity: String,
}

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
    pub log: StructuredLog,
    /// Requests that wait for a larger allocation of their customer's limit.
    pub admission_queue: AdmissionQueue,
    /// Requests that wait until a target has room.
    pub waiting: WaitingRequests,
    /// Bytes of bodies that are held in memory.
    pub held_bytes: HeldBytes,
    placement: Mutex<PlacementTable>,
    location: Mutex<VmLocation>,
    crashes: Mutex<CrashRecords>,
    decisions: Mutex<DecisionRecords>,
    budgets: Mutex<FastMap<String, RetryBudget>>,
    splits: Mutex<FastMap<String, RoundRobin>>,
    windows: Mutex<CustomerWindows>,
    allocations: Mutex<LocalAllocations>,
    reach: Mutex<ReachRecords>,
    /// Channel that gets a message when connections are to be opened, to learn whether this VM reaches
    /// targets.
    pub reach_wake: (Sender<()>, Receiver<()>),
    /// Requests that are to be forwarded to other VMs.
    pub forward_jobs: (Sender<ForwardJob>, Receiver<ForwardJob>),
    /// Ends the connections on which other VMs forward requests to this one.
    pub forward_drain: ServerDrain,
    /// Requests of other VMs that are being worked on.
    pub helping: AtomicUsize,
    /// Requests that are worked on beside an earlier one of their connection.
    pub overlapping: AtomicUsize,
    /// Open connections of callers.
    pub connections: AtomicUsize,
    /// Those of them that are kept open after their last response.
    pub lingering: AtomicUsize,
    /// Whether this VM knows of a configuration that it does not have yet.
    is_outdated: AtomicBool,
    /// Whether what this VM knows of the key space is old.
    is_knowledge_old: AtomicBool,
    /// When the shutdown started.
    leaving_since: OnceLock<TimeStamp>,
    has_stopped_accepting: AtomicBool,
    shutdown_sender: Sender<()>,
    /// Channel that is closed when the shutdown starts.
    pub shutdown_started: Receiver<()>,
}

impl GatewayState {
    /// State of a VM that has not read the key space yet.
    pub fn new(settings: GatewaySettings, codec: PlatformCodec, metrics: GatewayMetrics) -> Self {
        let (shutdown_sender, shutdown_started) = bounded(1);
        let location = VmLocation::new(&settings.name, &settings.domain, &settings.region);
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
            log: StructuredLog::default(),
            admission_queue: AdmissionQueue::default(),
            waiting: WaitingRequests::default(),
            held_bytes: HeldBytes::default(),
            placement: Mutex::new(PlacementTable::new(settings.regions.clone())),
            location: Mutex::new(location),
            crashes: Mutex::default(),
            decisions: Mutex::default(),
            budgets: Mutex::default(),
            splits: Mutex::default(),
            windows: Mutex::new(CustomerWindows::new(settings.bounds.quota_window)),
            allocations: Mutex::default(),
            reach: Mutex::default(),
            reach_wake: bounded(1),
            forward_jobs: unbounded(),
            forward_drain: ServerDrain::default(),
            helping: AtomicUsize::new(0),
            overlapping: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            lingering: AtomicUsize::new(0),
            is_outdated: AtomicBool::new(false),
            is_knowledge_old: AtomicBool::new(false),
            leaving_since: OnceLock::new(),
            has_stopped_accepting: AtomicBool::new(false),
            shutdown_sender,
            shutdown_started,
            settings,
        }
    }

    /// The targets, with their load and health.
    pub fn placement(&self) -> MutexGuard<'_, PlacementTable> {
        lock(&self.placement)
    }

    /// This VM's failure domain and region.
    pub fn location(&self) -> MutexGuard<'_, VmLocation> {
        lock(&self.location)
    }

    /// What this VM knows of crashes of targets.
    pub fn crashes(&self) -> MutexGuard<'_, CrashRecords> {
        lock(&self.crashes)
    }

    /// The decisions on requests that are not logged yet, and the origins of the entries they used.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionRecords> {
        lock(&self.decisions)
    }

    /// Records a decision on a request for the log.
    pub fn record_decision(&self, decision: RequestDecision) {
        self.decisions().record(decision, &self.log);
    }

    /// What this VM knows of its links to targets, and of the VMs that can help it.
    pub fn reach(&self) -> MutexGuard<'_, ReachRecords> {
        lock(&self.reach)
    }

    /// Takes a sighting for true, this VM's or another one's, and passes it on; returns whether it is
    /// new.
    pub fn see(&self, sighting: FleetSighting, now: TimeStamp) -> bool {
        let outcome = self.crashes().hear(sighting, now);
        if let FleetSighting::Crash(crash) = sighting
            && outcome.begins_quarantine
        {
            self.metrics.quarantines.inc();
            let event = || QuarantineEvent {
                identity: crash.identity.to_string(),
            };
            self.log.write(EventClass::State, "quarantine", event);
        }
        outcome.is_new
    }

    /// Whether this VM ranks first among the registered ones for a key, by rendezvous hashing.
    pub fn ranks_first(&self, key: u64) -> bool {
        let score = |name: &str| rendezvous::score(key, rendezvous::name_hash(name.as_bytes()));
        let own = score(&self.settings.name);
        let vms = self.vms.load();
        vms.iter().all(|vm| score(&vm.name) <= own)
    }

    /// Each customer's requests on this VM within the rate-limit window.
    pub fn windows(&self) -> MutexGuard<'_, CustomerWindows> {
        lock(&self.windows)
    }

    /// This VM's allocations of customers' limits.
    pub fn allocations(&self) -> MutexGuard<'_, LocalAllocations> {
        lock(&self.allocations)
    }

    /// The fraction of each customer's limit that this VM may use without an allocation.
    pub fn even_fraction(&self) -> f64 {
        local::even_fraction(self.location().fleet_sharers.count())
    }

    /// State of the weighted split of each route that has several services.
    pub fn splits(&self) -> MutexGuard<'_, FastMap<String, RoundRobin>> {
        lock(&self.splits)
    }

    /// Calls `work` with a service's retry budget, which is this VM's part of the fleet's budget.
    pub fn with_budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = &self.settings.bounds;
        let vms = self.location().fleet_sharers.count().max(1) as f64;
        let burst = (bounds.retry_extra / vms) as u32;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.to_owned()).or_insert_with(|| {
            let percent = (bounds.retry_ratio * 100.0) as u32;
            RetryBudget::starting(percent, burst)
        });
        budget.set_burst(burst);
        work(budget)
    }

    /// Counts and logs a request or connection that ended because bodies take too much memory.
    pub fn count_memory_refusal(&self, kind: &'static str) {
        self.metrics
            .memory_refusals
            .with_label_values(&[kind])
            .inc();
        let event = || MemoryEvent {
            kind,
            request_bytes: self.held_bytes.requests.used(),
            response_bytes: self.held_bytes.responses.used(),
        };
        self.log.write(EventClass::Notable, "memory", event);
    }

    /// Logs and counts what a target newly says of itself.
    pub fn log_statement(&self, target: &str, report: &TargetReport) {
        self.metrics.statements.inc();
        let event = || StatementEvent {
            target,
            limit: report.limit,
            is_leaving: report.is_leaving,
            pause_ms: report.pause.map(|pause| pause.as_millis()),
        };
        self.log.write(EventClass::Notable, "statement", event);
    }

    /// Records whether this VM knows of a configuration that it does not have yet.
    pub fn set_outdated(&self, is_outdated: bool) {
        self.is_outdated.store(is_outdated, Ordering::Release);
    }

    /// Records whether what this VM knows of the key space is old.
    pub fn set_knowledge_old(&self, is_old: bool) {
        self.is_knowledge_old.store(is_old, Ordering::Release);
    }

    /// Whether there may be a newer configuration than this VM has, so that what it does not know may
    /// exist.
    pub fn may_be_outdated(&self) -> bool {
        self.is_outdated.load(Ordering::Acquire) || self.is_knowledge_old.load(Ordering::Acquire)
    }

    /// Whether the VM is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// When the requests that are still worked on are given up, if the VM is shutting down.
    pub fn ends_at(&self) -> Option<TimeStamp> {
        let time = self.settings.bounds.grace.saturating_sub(SHUTDOWN_MARGIN);
        Some(self.leaving_since.get()?.after(time))
    }

    /// Whether a request that comes at `now` and may take until `deadline` comes too late to be passed
    /// on: its target could still be at work when the VM stops.
    pub fn is_too_late(&self, now: TimeStamp, deadline: TimeStamp) -> bool {
        let is_late = |since: &TimeStamp| now.since(*since) >= LATE_TIME;
        let is_cut = self.ends_at().is_some_and(|ends_at| ends_at < deadline);
        is_cut && self.leaving_since.get().is_some_and(is_late)
    }

    /// Starts the shutdown.
    pub fn start_shutdown(&self) {
        // A second signal changes nothing.
        let _started = self.leaving_since.set(clock::now());
        self.shutdown_sender.close();
    }

    /// Whether the VM has stopped accepting requests.
    pub fn has_stopped_accepting(&self) -> bool {
        self.has_stopped_accepting.load(Ordering::Acquire)
    }

    /// Records that the VM has stopped accepting requests.
    pub fn stop_accepting(&self) {
        self.has_stopped_accepting.store(true, Ordering::Release);
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
