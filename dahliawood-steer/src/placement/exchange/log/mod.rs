//! The loads that a VM has learned lately, in the order in which it learned them.

use crate::placement::exchange::entry::LoadEntry;
use crate::placement::exchange::index::ProcessIndex;
use crate::placement::load;
use crate::placement::table::PlacementTable;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::stamp::TimeStamp;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Most targets in the log, some 100 bytes each.
const MAX_TARGETS: usize = 4_096;

/// Who told a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTeller {
    /// A VM of this region, by the hash of its name.
    Vm(u64),
    /// The collector of another region.
    Region,
}

/// How far a reader has read the log of one process of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCursor {
    /// Incarnation of the process, 0 if nothing was read.
    pub life: u64,
    /// Position of the last load that was read.
    pub position: u64,
}

#[derive(Clone, Copy, Debug)]
struct LoggedLoad {
    position: u64,
    load: TargetLoad,
    expires_at: TimeStamp,
    teller: LoadTeller,
}

/// The latest load of each target. A newer load takes the place of an older one, at a new position.
#[derive(Clone, Debug)]
pub struct LoadLog {
    life: u64,
    position: u64,
    loads: FastMap<u64, LoggedLoad>,
    /// Processes by the positions of their loads.
    order: BTreeMap<u64, u64>,
}

/// The entries that a reader gets.
pub struct LogPage {
    /// The entries.
    pub entries: Vec<LoadEntry>,
    /// Where the reader continues.
    pub next: LogCursor,
}

impl LoadLog {
    /// An empty log of the process with an incarnation.
    pub fn new(life: u64) -> Self {
        Self {
            life,
            position: 0,
            loads: FastMap::default(),
            order: BTreeMap::new(),
        }
    }

    /// Records a load, unless a newer one of its target is known.
    pub fn record(
        &mut self,
        process: u64,
        load: TargetLoad,
        expires_at: TimeStamp,
        teller: LoadTeller,
    ) {
        let known = self.loads.get(&process);
        if known.is_some_and(|known| known.load.received_at >= load.received_at) {
            return;
        }
        self.position += 1;
        let logged = LoggedLoad {
            position: self.position,
            load,
            expires_at,
            teller,
        };
        if let Some(replaced) = self.loads.insert(process, logged) {
            self.order.remove(&replaced.position);
        }
        self.order.insert(self.position, process);
        if self.order.len() > MAX_TARGETS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.loads.remove(&oldest);
        }
    }

    /// Records the loads that this VM's own responses carried; `own` is the hash of its name.
    pub fn record_own(
        &mut self,
        table: &PlacementTable,
        index: &ProcessIndex,
        own: u64,
        now: TimeStamp,
    ) {
        for (process, key) in index.targets() {
            let Some(target) = table.get(key) else {
                continue;
            };
            let Some(load) = target.load.own_report() else {
                continue;
            };
            let average = table.average_service_time(&target.entry.service);
            let expires_at = load.received_at.after(load::report_validity(average));
            if now < expires_at {
                self.record(process, load, expires_at, LoadTeller::Vm(own));
            }
        }
    }

    /// The valid loads after a cursor whose teller `is_wanted`. If there are more than `most`, those
    /// of the busiest targets: a target that is not reported is taken to be idle.
    pub fn read(
        &self,
        cursor: LogCursor,
        is_wanted: impl Fn(LoadTeller) -> bool,
        most: usize,
        now: TimeStamp,
    ) -> LogPage {
        // A cursor of another process says nothing about this log.
        let after = match cursor.life == self.life {
            true => cursor.position,
            false => 0,
        };
        let processes = self.order.range(after.saturating_add(1)..);
        let entries = processes.filter_map(|(_, process)| {
            let logged = self.loads.get(process)?;
            let is_read = now < logged.expires_at && is_wanted(logged.teller);
            let entry = is_read.then(|| LoadEntry::new(*process, &logged.load, now));
            entry.flatten()
        });
        let mut entries: Vec<LoadEntry> = entries.collect();
        if entries.len() > most {
            entries.sort_by_key(|entry| Reverse(ahead_per_slot(entry)));
            entries.truncate(most);
        }
        let next = LogCursor {
            life: self.life,
            position: self.position,
        };
        LogPage { entries, next }
    }
}

/// Requests at a target for each of its slots, in hundredths.
fn ahead_per_slot(entry: &LoadEntry) -> u32 {
    (u32::from(entry.running) + u32::from(entry.waiting)) * 100 / u32::from(entry.slots.max(1))
}
