//! Rates with their units.

use derive_more::Display;

/// A byte rate of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{bytes_per_second} B/s")]
pub struct ByteRate {
    /// Bytes per second.
    pub bytes_per_second: u64,
}

/// A request rate in thousandths of a request per second, so that rates below one are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{} requests/s", self.per_second())]
pub struct RequestRate {
    /// Thousandths of a request per second.
    pub millis_per_second: u64,
}

impl RequestRate {
    /// The rate of a whole number of requests per second.
    pub const fn from_whole(requests: u64) -> Self {
        Self {
            millis_per_second: requests * 1_000,
        }
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.millis_per_second as f64 / 1_000.0
    }
}
