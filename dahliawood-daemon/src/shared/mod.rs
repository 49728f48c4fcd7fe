//! What the control thread and the traffic threads share.

use crate::control::members;
use crate::front::budget;
use crate::{clock, counters, eventlog, quota, settings, snapshot, waiters};
use arc_swap::{ArcSwap, ArcSwapOption};
use dahliawood_model::FastMap;
use dahliawood_model::keys::RegionKey;
use dahliawood_model::tables;
use dahliawood_quota::{limit, member};
use dahliawood_steer::{choice, drain, target};
use dahliawood_wire::pool;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// State of one daemon, behind an `Arc`.
pub struct SharedState {
    /// Checked settings.
    pub settings: settings::DaemonSettings,
    /// Incarnation of this process: higher for each start of a VM of this name.
    pub incarnation: u64,
    /// This VM as others hold allowance with it.
    pub holder_id: member::HolderId,
    /// The VMs of the fleet, as the control thread knows them.
    pub members: ArcSwap<Vec<members::VmMember>>,
    /// What requests are answered from; empty until a configuration is known.
    pub snapshot: ArcSwapOption<snapshot::RouteSnapshot>,
    /// The time line.
    pub events: eventlog::EventLog,
    /// Counters.
    pub counters: counters::CounterTable,
    /// Requests being answered.
    pub in_flight: AtomicUsize,
    /// Requests that wait for a slot.
    pub waiters: waiters::WaiterTable,
    /// Allowance.
    pub quota: quota::SharedManager,
    /// What services may spend on second tries.
    pub budgets: budget::BudgetTable,
    /// Connections to targets.
    pub pool: pool::TargetPool,
    targets: Mutex<Option<target::TargetTable>>,
    drain_steps: Mutex<FastMap<tables::DrainSubject, drain::DrainStep>>,
    is_isolated: AtomicBool,
    shutdown_begun: AtomicU64,
}

/// What a daemon is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonPhase {
    /// It knows no configuration yet and takes no work.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("serving")]
    Serving,
    /// It reaches neither the store nor another VM, so that it could miss a withdrawn key, and takes
    /// no work.
    #[display("isolated")]
    Isolated,
    /// It finishes what is in flight.
    #[display("leaving")]
    Leaving,
}

impl SharedState {
    /// The state of a daemon that has just started.
    pub fn new(settings: settings::DaemonSettings, holder_id: member::HolderId) -> Self {
        Self {
            incarnation: holder_id.incarnation,
            holder_id,
            members: ArcSwap::default(),
            snapshot: ArcSwapOption::empty(),
            events: eventlog::EventLog::new(&settings.name),
            counters: counters::CounterTable::default(),
            in_flight: AtomicUsize::new(0),
            waiters: waiters::WaiterTable::default(),
            quota: quota::SharedManager::default(),
            budgets: budget::BudgetTable::default(),
            pool: pool::TargetPool::new(pool::PoolOptions::default()),
            targets: Mutex::new(None),
            drain_steps: Mutex::default(),
            is_isolated: AtomicBool::new(false),
            shutdown_begun: AtomicU64::new(0),
            settings,
        }
    }

    /// What the daemon is doing.
    pub fn phase(&self) -> DaemonPhase {
        if self.shutdown_begun.load(Ordering::Acquire) == 1 {
            return DaemonPhase::Leaving;
        }
        if self.snapshot.load().is_none() {
            return DaemonPhase::Starting;
        }
        match self.is_isolated.load(Ordering::Acquire) {
            true => DaemonPhase::Isolated,
            false => DaemonPhase::Serving,
        }
    }

    /// Sets whether the VM is cut off from everything; says whether that is a change.
    pub fn set_isolated(&self, is_isolated: bool) -> bool {
        self.is_isolated.swap(is_isolated, Ordering::AcqRel) != is_isolated
    }

    /// Begins the shutdown; says whether it had begun before.
    pub fn begin_shutdown(&self) -> bool {
        self.shutdown_begun.swap(1, Ordering::AcqRel) == 1
    }

    /// The targets, `None` until a configuration is known; held for microseconds only.
    pub fn targets(&self) -> MutexGuard<'_, Option<target::TargetTable>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The last step of each drain, for the time line.
    pub fn drain_steps(&self) -> MutexGuard<'_, FastMap<tables::DrainSubject, drain::DrainStep>> {
        self.drain_steps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Headroom on the way to another region and back.
    ///
    /// The way there is measured by what this VM may send on the link now; the way back is paced by
    /// the same kind of allowance, which this VM does not hold and so cannot see. The region's own
    /// slots bound what runs there.
    pub fn spillover_headroom(
        &self,
        config: &tables::FleetConfig,
        region: RegionKey,
    ) -> choice::SpilloverHeadroom {
        let home = config
            .domains
            .find(|domain| domain.name == self.settings.domain);
        let Some((_, home)) = home else {
            return choice::SpilloverHeadroom::NONE;
        };
        let is_linked = config.link_between(home.region, region).is_some()
            && config.link_between(region, home.region).is_some();
        if !is_linked {
            return choice::SpilloverHeadroom::NONE;
        }
        let link = self
            .quota
            .available_fraction(&limit::link_name(config, home.region, region), clock::now());
        choice::SpilloverHeadroom { link, region: 1.0 }
    }
}
