//! State that the control thread and the traffic threads share.

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

/// State of one daemon, shared through an `Arc`.
pub struct SharedState {
    /// The validated settings.
    pub settings: settings::DaemonSettings,
    /// Incarnation of this process; it increases with each start of a VM of this name.
    pub incarnation: u64,
    /// The id of this VM as a holder of quota.
    pub holder_id: member::HolderId,
    /// The VMs of the fleet, as last published by the control thread.
    pub members: ArcSwap<Vec<members::VmMember>>,
    /// The routing data for requests; empty until a configuration is known.
    pub snapshot: ArcSwapOption<snapshot::RouteSnapshot>,
    /// The event log.
    pub events: eventlog::EventLog,
    /// Counters of this VM's work.
    pub counters: counters::CounterTable,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Requests that wait for a slot at a target.
    pub waiters: waiters::WaiterTable,
    /// The quota manager.
    pub quota: quota::SharedManager,
    /// Retry budgets of the services.
    pub budgets: budget::BudgetTable,
    /// Connection pool for targets.
    pub pool: pool::TargetPool,
    targets: Mutex<Option<target::TargetTable>>,
    drain_steps: Mutex<FastMap<tables::DrainSubject, drain::DrainStep>>,
    is_isolated: AtomicBool,
    shutdown_begun: AtomicU64,
}

/// The phase that a daemon is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DaemonPhase {
    /// No configuration is known yet; requests are refused.
    #[display("starting")]
    Starting,
    /// Requests are served.
    #[display("serving")]
    Serving,
    /// The daemon reaches neither the store nor another VM, so it could miss that a key was
    /// withdrawn; requests are refused.
    #[display("isolated")]
    Isolated,
    /// The daemon shuts down and finishes the requests in flight.
    #[display("leaving")]
    Leaving,
}

impl SharedState {
    /// Creates the state of a daemon that has just started.
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

    /// The current phase of the daemon.
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

    /// Sets whether the VM is isolated; returns whether the value changed.
    pub fn set_isolated(&self, is_isolated: bool) -> bool {
        self.is_isolated.swap(is_isolated, Ordering::AcqRel) != is_isolated
    }

    /// Begins the shutdown; returns whether it had begun before.
    pub fn begin_shutdown(&self) -> bool {
        self.shutdown_begun.swap(1, Ordering::AcqRel) == 1
    }

    /// Locks the table of targets, `None` until a configuration is known. Hold the lock for
    /// microseconds only.
    pub fn targets(&self) -> MutexGuard<'_, Option<target::TargetTable>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the last step of each drain; the event log records changes of it.
    pub fn drain_steps(&self) -> MutexGuard<'_, FastMap<tables::DrainSubject, drain::DrainStep>> {
        self.drain_steps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Headroom for requests that this VM sends to another region.
    ///
    /// For the outbound direction, this is the fraction of the link's burst that this VM may send
    /// now. The responses are paced by the quota of the opposite link, which this method does not
    /// measure. The slots of the region's targets bound the load there.
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
