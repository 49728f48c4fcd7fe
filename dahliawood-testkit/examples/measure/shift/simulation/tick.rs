//! Periodic work of the simulation, and the stand-ins for slot loans and load reports.

use super::{
    REPORT_INTERVAL_TICKS, SECONDS, SERVICE, SLOTS_MOVED_AFTER_US, ShiftEvent, ShiftSimulation,
    TICK_US, stamp,
};
use crate::shift::case::{DRAIN_PERIOD, FAULT_US, ShiftFault};
use crate::steer::load::{COLOMBIA, REGIONS};
use dahliawood_model::keys::RegionKey;
use dahliawood_model::tables;
use dahliawood_steer::{admission, choice, drain, queue};

impl ShiftSimulation {
    pub(super) fn tick(&mut self, now_us: u64) {
        if self.case.fault == ShiftFault::Drained && now_us == FAULT_US {
            self.start_drain(now_us);
        }
        if now_us == FAULT_US + REPORT_INTERVAL_TICKS * TICK_US {
            self.move_slots(false);
        }
        if now_us == FAULT_US + SLOTS_MOVED_AFTER_US {
            self.move_slots(true);
        }
        if now_us.is_multiple_of(REPORT_INTERVAL_TICKS * TICK_US) {
            self.update_reported_headroom();
        }
        for region in 0..REGIONS {
            let headrooms = self.headrooms(now_us, region);
            let headroom = move |to: RegionKey| headrooms[to.0 as usize];
            let vms = &mut self.regions[region];
            drain::tick(&mut vms.table, &headroom, stamp(now_us));
            admission::tick(&mut vms.gate, stamp(now_us));
            let rate = choice::slot_rate(vms.table.service(SERVICE));
            for late in queue::refuse_late(&mut vms.waiting, rate, stamp(now_us)) {
                self.refuse(late.item);
            }
            self.dispatch_waiting(now_us, region);
        }
        if now_us < SECONDS * 1_000_000 {
            self.events.schedule(now_us + TICK_US, ShiftEvent::Tick);
        }
    }

    /// Moves slots from the other regions to the first one, a stand-in for loans. The first region
    /// gets them only once `are_free`: the requests that ran on them have ended.
    fn move_slots(&mut self, are_free: bool) {
        let (local_slots, remote_slots) = self.case.slot_limits(true);
        for key in self.config.targets.keys() {
            let home = self.config.target_region(key).0 as usize;
            for (region, vms) in self.regions.iter_mut().enumerate() {
                let slots = match region {
                    region if region == home => local_slots,
                    0 if are_free => remote_slots,
                    _ => 0,
                };
                vms.table.set_slot_limit(key, slots);
            }
        }
    }

    /// Updates the reported share of free slots of each region.
    fn update_reported_headroom(&mut self) {
        for (region, reported_headroom) in self.reported_headroom.iter_mut().enumerate() {
            let targets = COLOMBIA.region_targets(region);
            let running: u32 = targets.iter().map(|target| self.running[*target]).sum();
            let slots = targets.len() as u32 * COLOMBIA.slots;
            *reported_headroom = 1.0 - f64::from(running) / f64::from(slots);
        }
    }

    fn start_drain(&mut self, now_us: u64) {
        self.config.drains.push(tables::DrainSpec {
            subject: tables::DrainSubject::Region(RegionKey(0)),
            over: DRAIN_PERIOD,
        });
        for (region, vms) in self.regions.iter_mut().enumerate() {
            let home = RegionKey(region as u32);
            vms.table.reconfigure(&self.config, home, stamp(now_us));
        }
    }
}
