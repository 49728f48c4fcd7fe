//! From whom a VM learns of changes of the key space: from the store, or from another VM of its
//! failure domain.
//!
//! This handles the load of a large fleet: if every VM followed the store, the store would deliver
//! every change as often as there are VMs. In each failure domain the VM that ranks first follows
//! the store, and the others follow that VM. All VMs rank alike by rendezvous hashing over the
//! registered VMs, without agreement: while lists differ, or a VM is unreachable to some, more VMs
//! than needed follow the store. A VM whose relays fail follows the store itself for a while: what the
//! store refuses to the relays it may still tell this VM.

pub mod budget;
pub mod tracker;

use crate::control::vms::VmRecord;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::rendezvous;
use std::time::Duration;

/// Fewest VMs of a failure domain for which one VM follows another; in smaller ones all follow the
/// store, which saves the time that a failed VM is noticed.
const MIN_DOMAIN_VMS: usize = 3;
/// VMs of a failure domain, by rank, that others follow.
const RELAYS: usize = 2;
/// Power of a VM's processor share that is its weight among the relays of its failure domain: a VM
/// with little processor time is rarely one.
const WEIGHT_POWER: i32 = 2;
/// How long a VM that failed as a relay is not followed.
const SUSPECT_TIME: Duration = Duration::from_secs(3);

/// How a VM failed as a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// It answered, or refused the connection, at once.
    Refused,
    /// It did not answer in time. Waiting for a second relay would delay changes too long.
    Silent,
}

/// Which relays failed lately.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    suspects: FastMap<String, TimeStamp>,
    /// No relay is followed until then.
    suspended_until: TimeStamp,
}

/// What a VM is to the others of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRank {
    /// The failure domain is small: nobody follows another VM.
    Alone,
    /// Others may follow this VM.
    Relay,
    /// Nobody follows this VM.
    Follower,
}

/// A VM's place among the VMs of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceChoice<'a> {
    /// The VM to follow, `None` for the store.
    pub relay: Option<&'a VmRecord>,
    /// Whether VMs of its failure domain follow each other, and whether they may follow this one.
    pub rank: SourceRank,
}

impl SourceSelector {
    /// Selects the source of the VM named `own` in `domain`.
    pub fn select<'a>(
        &self,
        vms: &'a [VmRecord],
        own: &str,
        domain: &str,
        now: TimeStamp,
    ) -> SourceChoice<'a> {
        let near = vms.iter().filter(|vm| vm.domain == domain);
        let mut near: Vec<&VmRecord> = near.collect();
        if near.len() < MIN_DOMAIN_VMS {
            return SourceChoice {
                relay: None,
                rank: SourceRank::Alone,
            };
        }
        let domain_hash = rendezvous::name_hash(domain.as_bytes());
        let distance = |vm: &VmRecord| {
            let weight = f64::from(vm.processor_millis.max(1)).powi(WEIGHT_POWER);
            let name_hash = rendezvous::name_hash(vm.name.as_bytes());
            rendezvous::weighted_distance(domain_hash, name_hash, weight)
        };
        near.sort_by(|a, b| distance(a).total_cmp(&distance(b)));
        near.truncate(RELAYS);
        let rank = match near.iter().any(|vm| vm.name == own) {
            true => SourceRank::Relay,
            false => SourceRank::Follower,
        };
        let ahead = near.into_iter().take_while(|vm| vm.name != own);
        let mut sound = ahead.filter(|vm| !self.is_suspect(&vm.name, now));
        SourceChoice {
            relay: sound.next(),
            rank,
        }
    }

    fn is_suspect(&self, name: &str, now: TimeStamp) -> bool {
        let until = self.suspects.get(name);
        now < self.suspended_until || until.is_some_and(|until| now < *until)
    }

    /// Records that a VM failed as a relay.
    pub fn record_failure(&mut self, name: &str, failure: RelayFailure, now: TimeStamp) {
        let until = now.after(SUSPECT_TIME);
        match failure {
            RelayFailure::Refused => {
                self.suspects.retain(|_, until| now < *until);
                self.suspects.insert(name.to_owned(), until);
            }
            RelayFailure::Silent => self.suspended_until = until,
        }
    }
}
