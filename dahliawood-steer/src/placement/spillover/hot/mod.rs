//! The objects that are requested most at this VM.
//!
//! This handles a load pattern in which a customer suddenly requests one object so often that the region
//! of that object would take a much larger share of the requests at once, and lose it again when the
//! customer stops. The requests for a hot object are divided among the regions by the regions' shares, so
//! that they change no region's part of the requests; a first visit in each region costs little for it.

use crate::rendezvous;
use std::collections::VecDeque;

/// Number of the newest requests that are looked at.
const RECENT_REQUESTS: usize = 64;
/// Requests for one object among these from which on it is hot. An object with a smaller share changes
/// the share of a region by less than half of what the fleet tolerates.
const HOT_REQUESTS: usize = 4;

/// The objects of the newest requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    objects: VecDeque<u64>,
    requests: u64,
}

impl RecentObjects {
    /// Records a request for an object; returns the hash that decides in which region it runs.
    pub(super) fn record(&mut self, object: u64) -> u64 {
        self.requests = self.requests.wrapping_add(1);
        self.objects.push_front(object);
        self.objects.truncate(RECENT_REQUESTS);
        let requests = self.objects.iter().filter(|recent| **recent == object);
        match requests.count() >= HOT_REQUESTS {
            true => rendezvous::score(object, self.requests),
            false => object,
        }
    }
}
