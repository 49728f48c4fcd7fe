//! Deaths, silence, outages, and the VMs' own ticks.

use super::{Event, LOOKUP_TARGETS, VMS, World};
use crate::fate::faults;
use crate::fate::vm::Vm;
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// How often a VM sweeps and writes.
const TICK: Duration = Duration::from_millis(100);

impl World {
    /// Queues the first fault of each kind.
    pub(super) fn schedule_faults(&mut self) {
        self.once_in(faults::VM_DEATH_EVERY, Event::KillVm);
        self.once_in(faults::TARGET_DEATH_EVERY, Event::KillTarget);
        self.once_in(faults::SILENCE_EVERY, Event::Silence);
        self.once_in(faults::OUTAGE_EVERY, Event::Store { up: false });
    }

    fn once_in(&mut self, mean: Duration, event: Event) {
        let share = self.rng.random_range(0.2..1.8);
        self.after(mean.mul_f64(share), event);
    }

    /// Takes in a fault, a recovery or a tick.
    pub(super) fn handle_fault(&mut self, event: Event) {
        match event {
            Event::KillVm => self.kill_vm(),
            Event::StartVm { vm } => self.start_vm(vm),
            Event::KillTarget => self.kill_target(),
            Event::StartTarget { target } => self.targets[target].alive = true,
            Event::Silence => self.silence(),
            Event::Store { up } => self.store_changes(up),
            Event::Tick { vm } => self.tick(vm),
            _ => {}
        }
    }

    fn kill_vm(&mut self) {
        self.once_in(faults::VM_DEATH_EVERY, Event::KillVm);
        let vm = self.rng.random_range(0..VMS);
        if !self.vms[vm].alive {
            return;
        }
        self.faults.vm_deaths += 1;
        self.vms[vm].alive = false;
        let own = self.vms[vm].own;
        self.deaths.insert(own, self.now);
        let mut lost: Vec<_> = self
            .carried
            .iter()
            .filter(|(_, carried)| carried.own == own)
            .map(|(key, _)| *key)
            .collect();
        lost.sort_unstable();
        for key in lost {
            self.lose(key);
        }
        self.after(faults::VM_DOWN, Event::StartVm { vm });
    }

    fn start_vm(&mut self, vm: usize) {
        let incarnation = self.vms[vm].own.incarnation + 1;
        let targets = self.targets.len();
        self.vms[vm] = Vm::new(vm, incarnation, VMS as u32, targets, &mut self.rng);
    }

    fn kill_target(&mut self) {
        self.once_in(faults::TARGET_DEATH_EVERY, Event::KillTarget);
        let target = self.rng.random_range(0..self.targets.len());
        if !self.targets[target].alive {
            return;
        }
        self.faults.target_deaths += 1;
        self.targets[target].alive = false;
        self.targets[target].life += 1;
        // Its open connections end with it; new ones are refused.
        self.vms.iter_mut().for_each(|vm| vm.silent[target] = false);
        self.after(faults::TARGET_DOWN, Event::StartTarget { target });
    }

    fn silence(&mut self) {
        self.once_in(faults::SILENCE_EVERY, Event::Silence);
        self.faults.silences += 1;
        let target = self
            .rng
            .random_range(0..LOOKUP_TARGETS + super::FILING_TARGETS);
        self.vms.iter_mut().for_each(|vm| vm.silent[target] = true);
    }

    fn store_changes(&mut self, up: bool) {
        self.store_up = up;
        if up {
            self.once_in(faults::OUTAGE_EVERY, Event::Store { up: false });
        } else {
            self.faults.outages += 1;
            self.after(faults::OUTAGE, Event::Store { up: true });
        }
    }

    fn tick(&mut self, vm: usize) {
        self.after(TICK, Event::Tick { vm });
        let now: TimeStamp = self.now;
        let lost = self.rng.random_range(0..1_000) < faults::LOST_PER_MILLE;
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
        if !lost {
            state.journal.written(batch.sequence);
        }
    }
}
