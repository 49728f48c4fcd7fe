//! VMs that have left the list of members and may be cut off rather than gone.
//!
//! This handles a partition in which VMs are cut off together with the coordinator: they go on with what it
//! allocated to them for as long as allocations last. A process that is killed uses nothing any more, and is
//! usually back on the list within a moment.

use crate::allocation::{ALLOCATION_LIFETIME, HALF_ALLOCATION_LIFETIME};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};

/// The members that a VM knew lately.
#[derive(Clone, Debug, Default)]
pub struct AbsentMembers {
    members: FastSet<String>,
    /// When members left the list.
    left_at: FastMap<String, TimeStamp>,
}

impl AbsentMembers {
    /// Sets the VMs that are on the list.
    pub fn set_members<'a>(
        &mut self,
        members: impl Iterator<Item = &'a str> + Clone,
        now: TimeStamp,
    ) {
        let mut known = members.clone();
        let is_same = members.clone().count() == self.members.len()
            && known.all(|name| self.members.contains(name));
        if is_same {
            return;
        }
        let before = std::mem::take(&mut self.members);
        self.members = members.map(str::to_owned).collect();
        let gone = before.into_iter();
        let gone = gone.filter(|name| !self.members.contains(name));
        self.left_at.extend(gone.map(|name| (name, now)));
        let members = &self.members;
        let longest = ALLOCATION_LIFETIME + HALF_ALLOCATION_LIFETIME;
        self.left_at
            .retain(|name, at| !members.contains(name) && now.since(*at) < longest);
    }

    /// Whether a VM has left the list that may still use an allocation.
    pub fn has_any(&self, now: TimeStamp) -> bool {
        let longest = ALLOCATION_LIFETIME + HALF_ALLOCATION_LIFETIME;
        self.left_at.values().any(|at| now.since(*at) < longest)
    }
}
