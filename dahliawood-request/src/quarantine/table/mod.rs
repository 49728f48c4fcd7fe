//! The suspected requests that one VM knows of, and the verdict on each.

use crate::quarantine::identity::RequestIdentity;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Crashes, of different processes, after which a request is quarantined. They must follow upon each
/// other, the request having been sent after the one before: many targets that crash at once, for a
/// cause of their own, count once.
const MIN_CONSECUTIVE: usize = 3;
/// Most crashes that are remembered per request.
const MAX_CRASHES: usize = 8;
/// Most requests that are remembered.
const MAX_SUSPECTS: usize = 4_096;
/// How long a request is remembered after it was last seen.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// How long a completed request is not suspected: crashes that it met are told of later.
const CLEARED_TIME: Duration = Duration::from_secs(60);
/// How long after its quarantine began a request is first tried again; doubled with each trial.
const FIRST_TRIAL: Duration = Duration::from_secs(60);
/// The longest time between two trials.
const LONGEST_TRIAL: Duration = Duration::from_secs(3_600);

/// A crash of a target's process while a request was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSighting {
    /// The request.
    pub identity: RequestIdentity,
    /// Hash of the target's process.
    pub process: u64,
    /// When the request was sent to it.
    pub sent_at: TimeStamp,
    /// When the crash was noticed.
    pub crashed_at: TimeStamp,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAdmission {
    /// It may.
    Open,
    /// It may be sent once more, to find out whether it still crashes targets.
    Trial,
    /// It crashes targets.
    Quarantined,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    /// The crashes that it met, by when they were noticed.
    crashes: Vec<CrashSighting>,
    completed_at: Option<TimeStamp>,
    /// When it was last sent by a caller, or met a crash.
    seen_at: TimeStamp,
    /// When it may be tried again, `None` if it is not quarantined.
    trial_at: Option<TimeStamp>,
    trials: u32,
}

/// The requests that met crashes.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    suspects: FastMap<RequestIdentity, SuspectRecord>,
}

impl SuspectRecord {
    fn is_cleared(&self, now: TimeStamp) -> bool {
        let is_recent = |completed_at| now.since(completed_at) < CLEARED_TIME;
        self.completed_at.is_some_and(is_recent)
    }

    /// Whether the crashes are enough for a quarantine.
    fn is_guilty(&self) -> bool {
        self.consecutive().count() >= MIN_CONSECUTIVE
    }

    /// Positions of the most crashes of which each was met by a request that was sent after the one
    /// before.
    fn consecutive(&self) -> impl Iterator<Item = usize> {
        let mut last_at = TimeStamp::ZERO;
        let follows = move |(position, crash): (usize, &CrashSighting)| {
            let is_later = crash.sent_at > last_at;
            last_at = if is_later { crash.crashed_at } else { last_at };
            is_later.then_some(position)
        };
        self.crashes.iter().enumerate().filter_map(follows)
    }

    /// Records a crash unless one of the same process is known.
    fn record_crash(&mut self, crash: CrashSighting) -> bool {
        let mut known = self.crashes.iter();
        if known.any(|known| known.process == crash.process) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.crashed_at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_concurrent();
        }
        true
    }

    /// Drops one crash that does not follow upon another, or else the latest.
    fn drop_concurrent(&mut self) {
        let kept: Vec<usize> = self.consecutive().collect();
        let mut positions = (0..self.crashes.len()).rev();
        let dropped = positions.find(|position| !kept.contains(position));
        self.crashes
            .remove(dropped.unwrap_or(self.crashes.len() - 1));
    }
}

impl QuarantineTable {
    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request has met a crash lately and has not completed since.
    pub fn is_suspect(&self, identity: RequestIdentity) -> bool {
        let record = self.suspects.get(&identity);
        record.is_some_and(|record| !record.crashes.is_empty())
    }

    /// Records a crash; returns whether it begins the request's quarantine.
    pub fn record_crash(&mut self, crash: CrashSighting, now: TimeStamp) -> bool {
        self.make_room(now);
        let record = self.suspects.entry(crash.identity).or_default();
        record.seen_at = record.seen_at.max(crash.crashed_at);
        if record.is_cleared(now) || !record.record_crash(crash) {
            return false;
        }
        let begins = record.trial_at.is_none() && record.is_guilty();
        if begins {
            record.trial_at = Some(now.after(FIRST_TRIAL));
        }
        begins
    }

    /// Records that a request completed at a target, which clears it.
    pub fn record_completion(&mut self, identity: RequestIdentity, now: TimeStamp) {
        self.make_room(now);
        let cleared = SuspectRecord {
            completed_at: Some(now),
            seen_at: now,
            ..SuspectRecord::default()
        };
        self.suspects.insert(identity, cleared);
    }

    /// Whether a request may be sent now. Of all VMs only the one for which `is_examiner` holds makes
    /// trials.
    pub fn admit(
        &mut self,
        identity: RequestIdentity,
        is_examiner: impl FnOnce() -> bool,
        now: TimeStamp,
    ) -> RequestAdmission {
        let Some(record) = self.suspects.get_mut(&identity) else {
            return RequestAdmission::Open;
        };
        record.seen_at = now;
        let Some(trial_at) = record.trial_at else {
            return RequestAdmission::Open;
        };
        if now < trial_at || !is_examiner() {
            return RequestAdmission::Quarantined;
        }
        record.trials += 1;
        let interval = FIRST_TRIAL * 2_u32.pow(record.trials.min(16));
        record.trial_at = Some(now.after(interval.min(LONGEST_TRIAL)));
        RequestAdmission::Trial
    }

    /// All remembered crashes, for a VM that knows of none.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashSighting> {
        self.suspects.values().flat_map(|record| &record.crashes)
    }

    /// Drops what was last seen too long ago.
    pub fn expire(&mut self, now: TimeStamp) {
        self.suspects
            .retain(|_, record| now.since(record.seen_at) < MEMORY_TIME);
    }

    /// Drops the request that was seen longest ago if there is no room for another one; one that is
    /// not quarantined, if there is one.
    fn make_room(&mut self, now: TimeStamp) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.expire(now);
        let by_use = |(_, record): &(&RequestIdentity, &SuspectRecord)| {
            (record.trial_at.is_some(), record.seen_at)
        };
        let oldest = self.suspects.iter().min_by_key(by_use);
        let oldest = oldest.map(|(identity, _)| *identity);
        if let Some(identity) = oldest.filter(|_| self.suspects.len() >= MAX_SUSPECTS) {
            self.suspects.remove(&identity);
        }
    }
}
