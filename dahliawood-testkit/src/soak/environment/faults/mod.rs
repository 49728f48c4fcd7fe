//! Applies the events of a plan.

use crate::instance::InstanceFault;
use crate::keyspace::StoreFault;
use crate::serving::lock;
use crate::soak::check::{ChangeKind, InjectedFault, SoakChange};
use crate::soak::environment::network::VmNetwork;
use crate::soak::environment::targets::Departure;
use crate::soak::environment::{SoakEnvironment, run_after};
use crate::soak::plan::{LinkFault, SoakEvent, SoakStep, VmGroup};
use crate::soak::proxy::FaultProxy;
use crate::soak::vm;
use rustix::process::Signal;
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Items of a page of the store's lists while some replicas are behind.
const SHORT_PAGE: usize = 25;

impl SoakEnvironment {
    /// Applies an event; a background task ends it after its duration.
    ///
    /// # Errors
    /// Fails where a stand-in cannot be started or a signal cannot be sent.
    pub async fn apply(&mut self, step: &SoakStep) -> io::Result<()> {
        let from = Instant::now();
        let until = from + step.duration;
        let event = step.event;
        lock(&self.faults).push(InjectedFault { from, until, event });
        if event == SoakEvent::StoreRestored {
            self.restore_store().await;
        }
        if from >= self.old_reads_until {
            self.store.copy();
        }
        match event {
            SoakEvent::StoreRestored => {}
            SoakEvent::TargetLeaving(index) => {
                let departure = Departure::Stated;
                self.replace_target(index, step.duration, departure).await?;
            }
            SoakEvent::TargetReplaced(index) => {
                let departure = Departure::Removed;
                self.replace_target(index, step.duration, departure).await?;
            }
            SoakEvent::TargetDrained(index) => {
                let departure = Departure::Drained;
                self.replace_target(index, step.duration, departure).await?;
            }
            SoakEvent::TargetLimited(index) => self.limit_target(index, step.duration),
            SoakEvent::TargetPausing(index) => self.pause_target(index, step.duration),
            SoakEvent::TargetLink(endpoint, fault) => {
                disrupt(&self.endpoints[endpoint].proxy, fault, step.duration);
            }
            SoakEvent::TargetFault(endpoint, fault) => {
                if let Some(target) = self.endpoints[endpoint].instances.last().cloned() {
                    target.set_fault(fault);
                    run_after(step.duration, move || target.set_fault(InstanceFault::Off));
                }
            }
            SoakEvent::VmCutOff(vm, cut) => {
                self.networks[vm].cut_off(cut, step.duration).await?;
            }
            SoakEvent::VmPaused(vm) => self.pause(&[vm], step.duration)?,
            SoakEvent::GroupPaused(group) => self.pause(&self.members(group), step.duration)?,
            SoakEvent::VmKilled(vm) => self.restart(vm, Signal::KILL, step.duration)?,
            SoakEvent::VmTerminated(vm) => self.restart(vm, Signal::TERM, step.duration)?,
            SoakEvent::GroupKilled(group) => {
                for vm in self.members(group) {
                    self.restart(vm, Signal::KILL, step.duration)?;
                }
            }
            SoakEvent::VmReloaded(vm) => self.signal(vm, Signal::HUP)?,
            SoakEvent::RoutesGrown => {
                self.version = self.version.next(&mut self.rng).grown();
                self.publish();
            }
            SoakEvent::RoutesChanged => {
                self.version = self.version.next(&mut self.rng);
                self.publish();
            }
            SoakEvent::DomainEvacuated(domain) => self.evacuate(domain, step.duration),
            event => self.disturb_store(event, step.duration),
        }
        Ok(())
    }

    /// Applies an event of the store, or of links of VMs to it or to each other.
    fn disturb_store(&mut self, event: SoakEvent, duration: Duration) {
        let all: Vec<usize> = (0..self.networks.len()).collect();
        match event {
            SoakEvent::StoreLink(vm, fault) => self.networks[vm].disrupt_store(fault, duration),
            SoakEvent::GroupStoreLink(group, fault) => {
                for vm in self.members(group) {
                    self.networks[vm].disrupt_store(fault, duration);
                }
            }
            SoakEvent::GroupPeerLinks(group, fault) => {
                for vm in self.members(group) {
                    self.networks[vm].disrupt_peers(fault, duration);
                }
            }
            SoakEvent::StoreStalled(vm) => self.refuse(&[vm], StoreFault::Stalled, duration),
            SoakEvent::GroupRefused(group, fault) => {
                self.refuse(&self.members(group), fault, duration);
            }
            SoakEvent::StoreUnavailable => self.refuse(&all, StoreFault::Unavailable, duration),
            SoakEvent::StoreCompacted => self.store.compact(),
            SoakEvent::StoreReadsOld => self.read_old(duration),
            _ => {}
        }
    }

    /// The VMs of a group.
    fn members(&self, group: VmGroup) -> Vec<usize> {
        let vms = 0..self.networks.len();
        vms.filter(|vm| group.contains(*vm)).collect()
    }

    fn pause(&self, paused: &[usize], duration: Duration) -> io::Result<()> {
        for vm in paused {
            self.signal(*vm, Signal::STOP)?;
        }
        let (vms, paused) = (Arc::clone(&self.vms), paused.to_vec());
        // A process may have exited in the meantime; then no signal is sent.
        run_after(duration, move || {
            for vm in paused {
                let _sent = lock(&vms)[vm].signal(Signal::CONT);
            }
        });
        Ok(())
    }

    /// Lets the store treat the calls of some VMs in a way of its own for a time.
    fn refuse(&self, vms: &[usize], fault: StoreFault, duration: Duration) {
        let networks = vms.iter().map(|vm| self.networks[*vm].clone());
        let networks: Vec<_> = networks.collect();
        let set_fault = move |fault| {
            let mut networks = networks.iter();
            networks
                .by_ref()
                .for_each(|network| network.set_store_fault(fault));
        };
        set_fault(fault);
        run_after(duration, move || set_fault(StoreFault::Off));
    }

    /// Lets some replicas stay as they are now for a time.
    fn read_old(&mut self, duration: Duration) {
        self.old_reads_until = self.old_reads_until.max(Instant::now() + duration);
        for (vm, network) in self.networks.iter().enumerate() {
            // Each kind of replica at some VMs.
            network.set_old_reads(vm.is_multiple_of(2), SHORT_PAGE);
        }
        let networks = self.networks.clone();
        run_after(duration, move || {
            networks.iter().for_each(VmNetwork::end_old_reads);
        });
    }

    /// Evacuates a failure domain for a time.
    fn evacuate(&self, domain: usize, duration: Duration) {
        let key = format!("op/evacuate/{}", vm::domain_name(domain));
        if self.store.has(&key) {
            return;
        }
        self.store.put(&key, &json!({}));
        let kind = ChangeKind::EvacuationBegun(domain);
        let at = Instant::now();
        self.record(SoakChange { at, kind });
        let (store, changes) = (self.store.clone(), Arc::clone(&self.changes));
        run_after(duration, move || {
            let at = Instant::now();
            store.remove(&key);
            let kind = ChangeKind::EvacuationEnded(domain);
            lock(&changes).push(SoakChange { at, kind });
        });
    }
}

/// Injects a fault into a link for a time.
pub(super) fn disrupt(link: &FaultProxy, fault: LinkFault, duration: Duration) {
    link.set_fault(Some(fault));
    let link = link.clone();
    run_after(duration, move || link.set_fault(None));
}
