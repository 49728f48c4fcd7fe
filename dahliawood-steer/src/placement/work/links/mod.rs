//! Round trips to the targets of each failure domain.
//!
//! This handles latencies that include the network: a request to another region takes some ten
//! milliseconds longer than its work, which would count as work at all targets.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time after which the least round trip is measured anew, so that it follows a change of the path.
const EXPIRY: Duration = Duration::from_secs(60);
/// Longest round trip that is believed: longer ones are pauses of a process.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(100);

/// The least round trip to each failure domain.
#[derive(Clone, Debug, Default)]
pub struct LinkTimes {
    domains: FastMap<String, LinkTime>,
}

#[derive(Clone, Copy, Debug)]
struct LinkTime {
    least: Duration,
    measured_at: TimeStamp,
}

impl LinkTimes {
    /// The round trip to a failure domain, zero if it is not known.
    pub fn round_trip(&self, domain: &str) -> Duration {
        let link = self.domains.get(domain);
        link.map_or(Duration::ZERO, |link| link.least)
    }

    /// Records a time that was at least one round trip.
    pub fn record(&mut self, domain: &str, taken: Duration, now: TimeStamp) {
        if taken > MAX_ROUND_TRIP {
            return;
        }
        let measured = LinkTime {
            least: taken,
            measured_at: now,
        };
        match self.domains.get_mut(domain) {
            Some(link) if taken <= link.least || now.since(link.measured_at) >= EXPIRY => {
                *link = measured;
            }
            Some(_) => {}
            None => {
                self.domains.insert(domain.to_owned(), measured);
            }
        }
    }
}
