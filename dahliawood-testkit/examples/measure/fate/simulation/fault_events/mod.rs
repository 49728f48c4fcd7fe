//! Fault events (deaths, silent connections and store outages) and the periodic work of VMs.

use super::{FateEvent, FateSimulation, LOOKUP_TARGETS, VMS};
use crate::fate::faults;
use crate::fate::vm::Vm;
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// Interval at which a VM sweeps its ticket table and writes its journal.
const TICK: Duration = Duration::from_millis(100);

impl FateSimulation {
    /// Schedules the first fault of each kind.
    pub(super) fn schedule_faults(&mut self) {
        self.schedule_fault(faults::VM_DEATH_INTERVAL, FateEvent::KillVm);
        self.schedule_fault(faults::TARGET_DEATH_INTERVAL, FateEvent::KillTarget);
        self.schedule_fault(faults::SILENCE_INTERVAL, FateEvent::SilenceConnections);
        self.schedule_fault(
            faults::OUTAGE_INTERVAL,
            FateEvent::StoreChange { up: false },
        );
    }

    fn schedule_fault(&mut self, mean: Duration, event: FateEvent) {
        let share = self.rng.random_range(0.2..1.8);
        self.after(mean.mul_f64(share), event);
    }

    /// Handles a fault, a recovery or a tick.
    pub(super) fn handle_fault(&mut self, event: FateEvent) {
        match event {
            FateEvent::KillVm => self.kill_vm(),
            FateEvent::StartVm { vm } => self.start_vm(vm),
            FateEvent::KillTarget => self.kill_target(),
            FateEvent::StartTarget { target } => self.targets[target].alive = true,
            FateEvent::SilenceConnections => self.silence_connections(),
            FateEvent::StoreChange { up } => self.change_store(up),
            FateEvent::Tick { vm } => self.tick(vm),
            _ => {}
        }
    }

    fn kill_vm(&mut self) {
        self.schedule_fault(faults::VM_DEATH_INTERVAL, FateEvent::KillVm);
        let vm = self.rng.random_range(0..VMS);
        if !self.vms[vm].alive {
            return;
        }
        self.faults.vm_deaths += 1;
        self.vms[vm].alive = false;
        let own = self.vms[vm].own;
        self.deaths.insert(own, self.now);
        let mut lost: Vec<_> = self
            .active_requests
            .iter()
            .filter(|(_, request)| request.own == own)
            .map(|(key, _)| *key)
            .collect();
        lost.sort_unstable();
        for key in lost {
            self.lose_request(key);
        }
        self.after(faults::VM_DOWN, FateEvent::StartVm { vm });
    }

    fn start_vm(&mut self, vm: usize) {
        let incarnation = self.vms[vm].own.incarnation + 1;
        let targets = self.targets.len();
        self.vms[vm] = Vm::new(vm, incarnation, VMS as u32, targets, &mut self.rng);
    }

    fn kill_target(&mut self) {
        self.schedule_fault(faults::TARGET_DEATH_INTERVAL, FateEvent::KillTarget);
        let target = self.rng.random_range(0..self.targets.len());
        if !self.targets[target].alive {
            return;
        }
        self.faults.target_deaths += 1;
        self.targets[target].alive = false;
        self.targets[target].incarnation += 1;
        // Its open connections are closed, and new ones are refused.
        self.vms.iter_mut().for_each(|vm| vm.silent[target] = false);
        self.after(faults::TARGET_DOWN, FateEvent::StartTarget { target });
    }

    fn silence_connections(&mut self) {
        self.schedule_fault(faults::SILENCE_INTERVAL, FateEvent::SilenceConnections);
        self.faults.silences += 1;
        let target = self
            .rng
            .random_range(0..LOOKUP_TARGETS + super::FILING_TARGETS);
        self.vms.iter_mut().for_each(|vm| vm.silent[target] = true);
    }

    fn change_store(&mut self, up: bool) {
        self.store_up = up;
        if up {
            self.schedule_fault(
                faults::OUTAGE_INTERVAL,
                FateEvent::StoreChange { up: false },
            );
        } else {
            self.faults.outages += 1;
            self.after(faults::OUTAGE_DURATION, FateEvent::StoreChange { up: true });
        }
    }

    fn tick(&mut self, vm: usize) {
        self.after(TICK, FateEvent::Tick { vm });
        let now: TimeStamp = self.now;
        let is_reply_lost = self.rng.random_range(0..1_000) < faults::LOST_REPLIES_PER_MILLE;
        let state = &mut self.vms[vm];
        if !state.alive {
            return;
        }
        state.tickets.sweep(now);
        let Some(batch) = state.journal.next_write(now) else {
            return;
        };
        if !self.store_up {
            return;
        }
        for entry in &batch.entries {
            self.store.insert((state.own, entry.serial), entry.clone());
        }
        if !is_reply_lost {
            state.journal.written(batch.sequence);
        }
    }
}
