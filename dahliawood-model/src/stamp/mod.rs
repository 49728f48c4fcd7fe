//! The time stamp that every system is given as `now`.

use std::time::Duration;

/// A reading of a monotonic clock, in microseconds since an origin that the caller chose.
///
/// The runtime's clock cannot be paused, so systems never read one: whoever drives them passes
/// `now`, and a test passes whatever time it likes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[display("{micros} us")]
#[serde(transparent)]
pub struct TimeStamp {
    micros: u64,
}

impl TimeStamp {
    /// The origin.
    pub const ZERO: Self = Self { micros: 0 };
    /// Later than every other stamp.
    pub const MAX: Self = Self { micros: u64::MAX };

    /// A stamp `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// A stamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis * 1_000,
        }
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// The stamp `span` later, at most [`TimeStamp::MAX`].
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }

    /// The stamp `span` earlier, at least [`TimeStamp::ZERO`].
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_sub(micros),
        }
    }

    /// The time from `earlier` to this stamp, zero where `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}
