//! What is done each tick, and the stand-ins for allowances.

use super::{LAG_TICKS, RETURNED_US, SECONDS, SERVICE, ShiftBench, ShiftEvent, TICK_US, stamp};
use crate::shift::case::{DRAIN_OVER, FAULT_US, ShiftFault};
use crate::steer::load::{COLOMBIA, REGIONS};
use dahliawood_model::keys::RegionKey;
use dahliawood_model::tables;
use dahliawood_steer::{admission, choice, drain, queue};

impl ShiftBench {
    pub(super) fn tick(&mut self, now_us: u64) {
        if self.case.fault == ShiftFault::Drained && now_us == FAULT_US {
            self.start_drain(now_us);
        }
        if now_us == FAULT_US + LAG_TICKS * TICK_US {
            self.move_slots(false);
        }
        if now_us == FAULT_US + RETURNED_US {
            self.move_slots(true);
        }
        if now_us.is_multiple_of(LAG_TICKS * TICK_US) {
            self.hear();
        }
        for region in 0..REGIONS {
            let rooms = self.rooms(now_us, region);
            let room = move |to: RegionKey| rooms[to.0 as usize];
            let vms = &mut self.regions[region];
            drain::tick(&mut vms.table, &room, stamp(now_us));
            admission::tick(&mut vms.gate, stamp(now_us));
            let rate = choice::slot_rate(vms.table.service(SERVICE));
            for late in queue::refuse_late(&mut vms.waiting, rate, stamp(now_us)) {
                self.refuse(late.item);
            }
            self.serve(now_us, region);
        }
        if now_us < SECONDS * 1_000_000 {
            self.events.schedule(now_us + TICK_US, ShiftEvent::Tick);
        }
    }

    /// Slots move to the region in need, which has them once those that ran have ended: a stand-in
    /// for loans.
    fn move_slots(&mut self, are_free: bool) {
        let (near, far) = self.case.held(true);
        for key in self.config.targets.keys() {
            let home = self.config.target_region(key).0 as usize;
            for (region, vms) in self.regions.iter_mut().enumerate() {
                let slots = match region {
                    region if region == home => near,
                    0 if are_free => far,
                    _ => 0,
                };
                vms.table.set_slot_limit(key, slots);
            }
        }
    }

    /// Takes in how many slots each region has free.
    fn hear(&mut self) {
        for (region, heard) in self.heard.iter_mut().enumerate() {
            let targets = COLOMBIA.region_targets(region);
            let running: u32 = targets.iter().map(|target| self.running[*target]).sum();
            let slots = targets.len() as u32 * COLOMBIA.slots;
            *heard = 1.0 - f64::from(running) / f64::from(slots);
        }
    }

    fn start_drain(&mut self, now_us: u64) {
        self.config.drains.push(tables::DrainSpec {
            subject: tables::DrainSubject::Region(RegionKey(0)),
            over: DRAIN_OVER,
        });
        for (region, vms) in self.regions.iter_mut().enumerate() {
            let home = RegionKey(region as u32);
            vms.table.reconfigure(&self.config, home, stamp(now_us));
        }
    }
}
