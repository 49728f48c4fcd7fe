//! Quantities with their units.

use derive_more::Display;

/// Bytes a second, of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{bytes_per_second} B/s")]
pub struct ByteRate {
    /// Bytes a second.
    pub bytes_per_second: u64,
}

/// Requests a second in thousandths, so that a rate below one is exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{} requests/s", self.per_second())]
pub struct RequestRate {
    /// Thousandths of a request a second.
    pub millis_per_second: u64,
}

impl RequestRate {
    /// A whole number of requests a second.
    pub const fn from_whole(requests: u64) -> Self {
        Self {
            millis_per_second: requests * 1_000,
        }
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.millis_per_second as f64 / 1_000.0
    }
}
