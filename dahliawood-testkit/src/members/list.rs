//! The platform's live list, which lags, can be unreadable, and can omit VMs.

use dahliawood_membership::identity::VmProfile;
use dahliawood_membership::listing::ListedVm;
use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// The time span during which a VM is on the list.
#[derive(Clone, Debug)]
struct ListSpan {
    entry: ListedVm,
    from: TimeStamp,
    until: TimeStamp,
}

/// The live list with its history and its faults.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    /// Age of the list that a reader gets.
    pub lag: Duration,
    /// Whether reading the list fails.
    pub is_down: bool,
    /// Names of VMs that readers don't get although they are on the list.
    pub omitted: FastSet<String>,
    spans: Vec<ListSpan>,
}

impl PlatformList {
    /// Adds a VM to the list.
    pub fn add(&mut self, now: TimeStamp, profile: &Arc<VmProfile>) {
        self.spans.push(ListSpan {
            entry: ListedVm {
                profile: Arc::clone(profile),
                incarnation: None,
                leaving: false,
            },
            from: now,
            until: TimeStamp::MAX,
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&mut self, now: TimeStamp, name: &str) {
        let spans = self.spans.iter_mut();
        spans
            .filter(|span| span.entry.profile.name == name && span.until == TimeStamp::MAX)
            .for_each(|span| span.until = now);
    }

    /// The list as a reader gets it at `now`; `None` where reading fails.
    pub(super) fn read(&self, now: TimeStamp) -> Option<Vec<ListedVm>> {
        if self.is_down {
            return None;
        }
        let seen =
            TimeStamp::from_micros(now.as_micros().saturating_sub(self.lag.as_micros() as u64))
                .max(TimeStamp::from_millis(1));
        let spans = self.spans.iter();
        let current = spans.filter(|span| span.from <= seen && seen < span.until);
        let listed = current.filter(|span| !self.omitted.contains(&span.entry.profile.name));
        Some(listed.map(|span| span.entry.clone()).collect())
    }
}
