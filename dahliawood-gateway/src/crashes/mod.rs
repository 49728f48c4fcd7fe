//! What this VM knows of crashes of targets: its own sightings and those of other VMs, which requests
//! they quarantine, and what is to be passed on.

use dahliawood_gossip::rumor::RumorSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::quarantine::identity::RequestIdentity;
use dahliawood_request::quarantine::table::{CrashSighting, QuarantineTable};
use std::time::Duration;

/// How long a VM holds back what it saw: if it is cut off from all targets, others fail meanwhile.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// How long after a sighting a connection to some target must have been begun, and made, to show that this
/// VM is not cut off: links do not fail all in one moment.
const PROOF_DELAY: Duration = Duration::from_millis(200);
/// Most sightings that are held back; further ones are dropped, as so many ends at once are no crashes.
const MAX_HELD: usize = 1_024;
/// Most sightings in one message.
const MAX_TOLD: usize = 512;

/// Something that a VM saw and that all VMs should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetSighting {
    /// A target's process ended while a request was in flight there.
    Crash(CrashSighting),
    /// A request that had met crashes completed.
    Completion {
        /// The request.
        identity: RequestIdentity,
        /// When it completed.
        at: TimeStamp,
    },
    /// A target's process is gone.
    ProcessGone {
        /// Hash of the process.
        process: u64,
        /// When this was noticed.
        at: TimeStamp,
    },
}

/// What tells sightings apart; two VMs may see the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SightingKey {
    Crash(RequestIdentity, u64),
    Completion(RequestIdentity),
    ProcessGone(u64),
}

/// What a sighting leads to at this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SightingOutcome {
    /// Whether the VM did not know it.
    pub is_new: bool,
    /// Whether it begins a request's quarantine.
    pub begins_quarantine: bool,
}

/// The crashes that one VM knows of.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    /// The requests that met crashes.
    pub quarantine: QuarantineTable,
    /// What this VM saw and does not take for true yet, with the time.
    held: Vec<(TimeStamp, FleetSighting)>,
    rumors: RumorSet<SightingKey, FleetSighting>,
}

impl FleetSighting {
    fn key(&self) -> SightingKey {
        match self {
            Self::Crash(crash) => SightingKey::Crash(crash.identity, crash.process),
            Self::Completion { identity, .. } => SightingKey::Completion(*identity),
            Self::ProcessGone { process, .. } => SightingKey::ProcessGone(*process),
        }
    }
}

impl CrashRecords {
    /// Holds back what this VM saw; false if it is dropped.
    pub fn hold(&mut self, sighting: FleetSighting, now: TimeStamp) -> bool {
        let has_room = self.held.len() < MAX_HELD;
        if has_room {
            self.held.push((now, sighting));
        }
        has_room
    }

    /// What was held back for long enough; `has_made_since` tells whether a connection was made that was
    /// begun after a moment.
    pub fn release(
        &mut self,
        has_made_since: impl Fn(TimeStamp) -> bool,
        now: TimeStamp,
    ) -> Vec<FleetSighting> {
        let due = self.held.extract_if(.., |(held_at, _)| {
            now.since(*held_at) >= HOLD_TIME && has_made_since(held_at.after(PROOF_DELAY))
        });
        due.map(|(_, sighting)| sighting).collect()
    }

    /// Whether something is held back for want of a connection alone.
    pub fn needs_proof(&self, now: TimeStamp) -> bool {
        let mut held = self.held.iter();
        held.any(|(held_at, _)| now.since(*held_at) >= HOLD_TIME)
    }

    /// Drops all that is held back; returns how much that was.
    pub fn drop_held(&mut self) -> usize {
        std::mem::take(&mut self.held).len()
    }

    /// Takes a sighting for true, this VM's or another one's.
    pub fn hear(&mut self, sighting: FleetSighting, now: TimeStamp) -> SightingOutcome {
        if !self.rumors.hear(sighting.key(), sighting, now) {
            return SightingOutcome::default();
        }
        let begins_quarantine = match sighting {
            FleetSighting::Crash(crash) => self.quarantine.record_crash(crash, now),
            FleetSighting::Completion { identity, .. } => {
                self.quarantine.record_completion(identity, now);
                false
            }
            FleetSighting::ProcessGone { .. } => false,
        };
        SightingOutcome {
            is_new: true,
            begins_quarantine,
        }
    }

    /// What this VM passes on in this round.
    pub fn take_round(&mut self) -> Vec<FleetSighting> {
        self.rumors.take_round(MAX_TOLD)
    }

    /// The answer to a VM that passes on what it has heard; one that `is_new` gets all remembered
    /// crashes.
    pub fn answer(&self, is_new: bool) -> Vec<FleetSighting> {
        let remembered = self.quarantine.crashes().filter(|_| is_new);
        let remembered = remembered.copied().map(FleetSighting::Crash);
        let news = self.rumors.news(MAX_TOLD);
        news.into_iter().chain(remembered).collect()
    }

    /// Drops what is out of date.
    pub fn expire(&mut self, now: TimeStamp) {
        self.quarantine.expire(now);
        self.rumors.expire(now);
    }
}
