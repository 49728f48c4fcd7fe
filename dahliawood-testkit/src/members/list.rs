//! The platform's live list, late and at times wrong.

use dahliawood_membership::identity::VmProfile;
use dahliawood_membership::listing::ListedVm;
use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// A VM on the list, from when and until when.
#[derive(Clone, Debug)]
struct ListSpan {
    entry: ListedVm,
    from: TimeStamp,
    until: TimeStamp,
}

/// The list.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    /// How old it is when it is read.
    pub lag: Duration,
    /// Whether it cannot be read at all.
    pub is_down: bool,
    /// Names that it leaves out although they are on it.
    pub omitted: FastSet<String>,
    spans: Vec<ListSpan>,
}

impl PlatformList {
    /// Adds a VM.
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

    /// Takes a VM off.
    pub fn remove(&mut self, now: TimeStamp, name: &str) {
        let spans = self.spans.iter_mut();
        spans
            .filter(|span| span.entry.profile.name == name && span.until == TimeStamp::MAX)
            .for_each(|span| span.until = now);
    }

    /// What a reading gives, `None` where it cannot be read.
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
