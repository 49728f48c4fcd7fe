//! One VM's part in the exchange: what it tells in a call, what it answers, and what it takes over.

use crate::placement::exchange::entry::{self, IgnoredReason, LoadEntry};
use crate::placement::exchange::index::ProcessIndex;
use crate::placement::exchange::link::{self, CollectorLink};
use crate::placement::exchange::log::{LoadLog, LoadTeller, LogCursor};
use crate::placement::table::PlacementTable;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;

/// Most entries that a VM tells in a call. With [`MAX_ANSWERED`] and a call each 3 s, as with 300 VMs
/// in a region, a VM's traffic stays below 3 KB/s.
const MAX_TOLD: usize = 96;
/// Most entries that a collector returns, or tells the collector of another region.
const MAX_ANSWERED: usize = 384;

/// Whom a VM calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CalleeRole {
    /// The collector of its own region.
    OwnRegion,
    /// The collector of another region, by the hash of the region's name.
    OtherRegion(u64),
}

/// A call to a collector.
#[derive(Clone, Debug, Default)]
pub struct LoadCall {
    /// Hash of the caller's name.
    pub caller: u64,
    /// Whether the caller collects for another region, and gets no entries.
    pub is_collector: bool,
    /// How far the callee's log was read.
    pub cursor: LogCursor,
    /// The callee's clock when the call was sent, at the least.
    pub clock: TimeStamp,
    /// What the caller tells.
    pub entries: Vec<LoadEntry>,
}

/// What the caller keeps of a call until its answer arrives.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall {
    role: CalleeRole,
    sent_at: TimeStamp,
    told: LogCursor,
}

/// The answer to a call.
#[derive(Clone, Debug, Default)]
pub struct LoadAnswer {
    /// How far the callee's log has been read.
    pub cursor: LogCursor,
    /// The callee's clock.
    pub clock: TimeStamp,
    /// What the callee tells.
    pub entries: Vec<LoadEntry>,
}

/// What became of each received entry.
pub type EntryOutcomes = Vec<Result<(), IgnoredReason>>;

/// The state of one VM.
#[derive(Clone, Debug)]
pub struct LoadParticipant {
    own: u64,
    life: u64,
    index: ProcessIndex,
    log: LoadLog,
    links: FastMap<CalleeRole, CollectorLink>,
}

impl LoadParticipant {
    /// The VM with the hash `own` of its name; `life` is its incarnation, not 0.
    pub fn new(own: u64, life: u64) -> Self {
        Self {
            own,
            life,
            index: ProcessIndex::default(),
            log: LoadLog::new(life),
            links: FastMap::default(),
        }
    }

    /// Directs the calls of a role to a process; returns whether it is another one than before.
    pub fn follow(&mut self, role: CalleeRole, callee: u64) -> bool {
        self.links.entry(role).or_default().follow(callee)
    }

    /// Builds the next call of a role.
    pub fn call(
        &mut self,
        role: CalleeRole,
        table: &PlacementTable,
        now: TimeStamp,
    ) -> (LoadCall, PendingCall) {
        self.update(table, now);
        let link = self.links.entry(role).or_default();
        let is_collector = role != CalleeRole::OwnRegion;
        let most = match (link.callee_clock(now), is_collector) {
            (None, _) => 0,
            (Some(_), true) => MAX_ANSWERED,
            (Some(_), false) => MAX_TOLD,
        };
        let is_told = |teller| teller != LoadTeller::Region;
        let page = self.log.read(link.told, is_told, most, now);
        let call = LoadCall {
            caller: self.own,
            is_collector,
            cursor: link.cursor,
            clock: link.callee_clock(now).unwrap_or_default(),
            entries: page.entries,
        };
        let pending = PendingCall {
            role,
            sent_at: now,
            told: page.next,
        };
        (call, pending)
    }

    /// Answers the call of another VM, and takes over what it tells.
    pub fn answer(
        &mut self,
        call: &LoadCall,
        table: &mut PlacementTable,
        now: TimeStamp,
    ) -> (LoadAnswer, EntryOutcomes) {
        self.update(table, now);
        let outcomes = self.hear(call, table, now);
        let most = match call.is_collector {
            true => 0,
            false => MAX_ANSWERED,
        };
        let is_told = |teller| teller != LoadTeller::Vm(call.caller);
        let page = self.log.read(call.cursor, is_told, most, now);
        let answer = LoadAnswer {
            cursor: page.next,
            clock: now,
            entries: page.entries,
        };
        (answer, outcomes)
    }

    /// Takes over the answer to a call.
    pub fn receive(
        &mut self,
        pending: PendingCall,
        answer: &LoadAnswer,
        table: &mut PlacementTable,
        now: TimeStamp,
    ) -> EntryOutcomes {
        self.index.refresh(table);
        let link = self.links.entry(pending.role).or_default();
        let is_same = link.record_response(answer.clock, answer.cursor, now);
        if is_same {
            link.told = pending.told;
        } else {
            // The callee has just started and knows nothing that it was told before.
            link.told = LogCursor::default();
        }
        let entries = answer.entries.iter();
        let adopted = entries.map(|entry| {
            let adopted = entry::adopt(table, &self.index, entry, pending.sent_at, now);
            adopted.map(|_| ())
        });
        adopted.collect()
    }

    /// Takes over what a caller tells.
    fn hear(
        &mut self,
        call: &LoadCall,
        table: &mut PlacementTable,
        now: TimeStamp,
    ) -> EntryOutcomes {
        if call.cursor.life != self.life {
            // The clock reading is that of an earlier process, so that the ages are not known.
            return vec![Err(IgnoredReason::Expired); call.entries.len()];
        }
        let sent_at = match link::sent_at(call.clock, now) {
            Ok(sent_at) => sent_at,
            Err(reason) => return vec![Err(reason); call.entries.len()],
        };
        let teller = match call.is_collector {
            true => LoadTeller::Region,
            false => LoadTeller::Vm(call.caller),
        };
        let mut outcomes = EntryOutcomes::with_capacity(call.entries.len());
        for entry in &call.entries {
            let adopted = entry::adopt(table, &self.index, entry, sent_at, now);
            if let Ok(adopted) = adopted {
                let (load, expires_at) = (adopted.load, adopted.expires_at);
                self.log.record(entry.process, load, expires_at, teller);
            }
            outcomes.push(adopted.map(|_| ()));
        }
        outcomes
    }

    /// Follows this VM's own table.
    fn update(&mut self, table: &PlacementTable, now: TimeStamp) {
        self.index.refresh(table);
        self.log.record_own(table, &self.index, self.own, now);
    }
}
