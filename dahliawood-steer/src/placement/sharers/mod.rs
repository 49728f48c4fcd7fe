//! Which VMs divide a limit, and which part of it each has: the limit of a region's cold target, or
//! one of the whole fleet.
//!
//! No VM decides this for the others, and lists of VMs differ: a VM that has just started, or one that
//! was cut off, knows fewer VMs than there are. The parts still add up to no more than the limit,
//! because a VM counts longer with the others than it has a part: it has no part before the others have
//! had time to learn of it, none while it is not registered, and none once its list is outdated; and
//! one that is missing from the list is counted for a while.
//!
//! A limit is divided into whole requests: where it does not go round, the VMs that rank first for
//! the target by rendezvous hashing have one more than the others, so that a limit smaller than the
//! number of VMs is used too.

use crate::placement::cold::WINDOW;
use crate::rendezvous;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time within which VMs in touch learn of a registration: collected changes, and a relay's lag.
const SPREAD_TIME: Duration = Duration::from_secs(2);
/// How long a VM must have been registered before it has a part: until the others have learnt of it,
/// and what they sent before counts no longer.
const ADMISSION_DELAY: Duration = SPREAD_TIME.saturating_add(WINDOW);
/// How long a list of VMs may go unconfirmed before the VM has no part.
const LIST_LIFETIME: Duration = Duration::from_secs(4);
/// How long a VM is counted after it was last on the list; longer than it may have a part by an
/// outdated list.
const COUNT_HOLD: Duration = Duration::from_secs(8);

/// The VMs among which a limit is divided, as one VM knows them.
#[derive(Clone, Debug)]
pub struct LimitSharers {
    /// Hash of this VM's name.
    own: u64,
    /// When each VM was on the list last, by the hash of its name.
    listed_at: FastMap<u64, TimeStamp>,
    /// Since when this VM has been on the list without a break.
    registered_since: Option<TimeStamp>,
    /// When the list was last known to be current.
    confirmed_at: TimeStamp,
}

impl LimitSharers {
    /// The VM named `own`, which knows of no registration yet.
    pub fn new(own: &str) -> Self {
        Self {
            own: rendezvous::name_hash(own.as_bytes()),
            listed_at: FastMap::default(),
            registered_since: None,
            confirmed_at: TimeStamp::ZERO,
        }
    }

    /// Takes over the names of the registered VMs.
    pub fn set_listed<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: TimeStamp) {
        let hashes = names.map(|name| rendezvous::name_hash(name.as_bytes()));
        self.listed_at.extend(hashes.map(|hash| (hash, now)));
        self.listed_at
            .retain(|_, listed_at| now.since(*listed_at) < COUNT_HOLD);
        self.registered_since = match self.listed_at.get(&self.own) {
            Some(listed_at) if *listed_at == now => self.registered_since.or(Some(now)),
            _ => None,
        };
    }

    /// Records that the list was current at `asked_at`, when a call was made that the store, or a VM that has the
    /// list from there, has answered. The time of the answer would not do: a VM that was paused reads
    /// answers from before the pause.
    pub fn confirm(&mut self, asked_at: TimeStamp) {
        self.confirmed_at = self.confirmed_at.max(asked_at);
    }

    /// Number of VMs among which the limit is divided.
    pub fn count(&self) -> usize {
        self.listed_at.len()
    }

    /// Whether the list was confirmed recently enough to be current.
    pub fn is_current(&self, now: TimeStamp) -> bool {
        now.since(self.confirmed_at) < LIST_LIFETIME
    }

    /// Whether this VM has a part of the limit.
    pub fn is_admitted(&self, now: TimeStamp) -> bool {
        let is_known = |since: TimeStamp| now.since(since) >= ADMISSION_DELAY;
        let is_registered = self.registered_since.is_some_and(is_known);
        is_registered && self.is_current(now)
    }

    /// This VM's place among all possible ones for a target, from 0 to 1; different for each target.
    pub fn position(&self, target: u64) -> f64 {
        rendezvous::score(target, self.own) as f64 / u64::MAX as f64
    }

    /// This VM's part of a target's `limit`, in whole requests; the target is given by the hash of
    /// its id.
    pub fn part(&self, limit: usize, target: u64, now: TimeStamp) -> usize {
        if !self.is_admitted(now) {
            return 0;
        }
        let (even, rest) = (limit / self.count(), limit % self.count());
        let own = rendezvous::score(target, self.own);
        let others = self.listed_at.keys();
        let ahead = others.filter(|vm| rendezvous::score(target, **vm) > own);
        even + usize::from(ahead.count() < rest)
    }
}
