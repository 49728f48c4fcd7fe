//! One target's load as VMs tell it to each other, and the checks of a received one.

use crate::placement::exchange::index::ProcessIndex;
use crate::placement::load;
use crate::placement::table::PlacementTable;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Most requests that queue at a target for each of its slots; targets queue about three.
const MAX_WAITING_PER_SLOT: u32 = 64;

/// The load of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEntry {
    /// Hash of the target's process.
    pub process: u64,
    /// Requests running.
    pub running: u8,
    /// Maximum number of requests that run.
    pub slots: u8,
    /// Requests queued.
    pub waiting: u16,
    /// How long work takes at the target, 1.0 as usual, `None` if it did not say.
    pub pace: Option<f32>,
    /// Upper bound on the time since the target reported it, when the entry was sent.
    pub age: Duration,
}

/// Why a received entry is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredReason {
    /// No registered target has this process.
    Unknown,
    /// It is no longer valid.
    Expired,
    /// Its sender claims to have sent it later than now.
    Future,
    /// Its counts are impossible.
    Implausible,
    /// A newer one is known.
    Older,
}

impl IgnoredReason {
    /// Label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Expired => "expired",
            Self::Future => "future",
            Self::Implausible => "implausible",
            Self::Older => "older",
        }
    }
}

impl LoadEntry {
    /// The entry for a load, `None` if its counts are not plausible or do not fit.
    pub fn new(process: u64, load: &TargetLoad, now: TimeStamp) -> Option<Self> {
        let entry = Self {
            process,
            running: u8::try_from(load.running).ok()?,
            slots: u8::try_from(load.slots).ok()?,
            waiting: u16::try_from(load.waiting).ok()?,
            pace: load.pace,
            age: now.since(load.received_at),
        };
        entry.is_plausible().then_some(entry)
    }

    /// Whether a target can have these counts.
    fn is_plausible(&self) -> bool {
        let most_waiting = u32::from(self.slots) * MAX_WAITING_PER_SLOT;
        self.slots > 0 && self.running <= self.slots && u32::from(self.waiting) <= most_waiting
    }

    /// The load, of an entry that was sent at `sent_at` or later.
    fn load(&self, sent_at: TimeStamp) -> TargetLoad {
        TargetLoad {
            running: self.running.into(),
            waiting: self.waiting.into(),
            slots: self.slots.into(),
            pace: self.pace,
            received_at: sent_at.before(self.age),
        }
    }
}

/// A received load that the table has taken over.
#[derive(Clone, Copy, Debug)]
pub struct AdoptedLoad {
    /// The load, by this VM's clock.
    pub load: TargetLoad,
    /// Until when it may be used.
    pub expires_at: TimeStamp,
}

/// Takes over an entry that was sent at `sent_at` or later, by this VM's clock.
///
/// # Errors
/// Returns why the entry is ignored.
pub fn adopt(
    table: &mut PlacementTable,
    index: &ProcessIndex,
    entry: &LoadEntry,
    sent_at: TimeStamp,
    now: TimeStamp,
) -> Result<AdoptedLoad, IgnoredReason> {
    if !entry.is_plausible() {
        return Err(IgnoredReason::Implausible);
    }
    let key = index.key(entry.process).ok_or(IgnoredReason::Unknown)?;
    let target = table.get(key).ok_or(IgnoredReason::Unknown)?;
    let validity = load::report_validity(table.average_service_time(&target.entry.service));
    let load = entry.load(sent_at);
    let expires_at = load.received_at.after(validity);
    if now >= expires_at {
        return Err(IgnoredReason::Expired);
    }
    match table.adopt_load(key, load, now) {
        true => Ok(AdoptedLoad { load, expires_at }),
        false => Err(IgnoredReason::Older),
    }
}
