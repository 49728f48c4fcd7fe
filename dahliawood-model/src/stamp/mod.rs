//! The monotonic time stamp that is passed to components as `now`.

use std::time::Duration;

/// A reading of a monotonic clock, in microseconds since an origin that the caller chose.
///
/// The clock of the async runtime cannot be paused, so components never read a clock themselves:
/// the code that drives them passes `now`, and tests pass simulated time.
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
    /// The origin of the clock.
    pub const ZERO: Self = Self { micros: 0 };
    /// The latest possible stamp.
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

    /// The stamp `span` later, saturating at [`TimeStamp::MAX`].
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }

    /// The stamp `span` earlier, saturating at [`TimeStamp::ZERO`].
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_sub(micros),
        }
    }

    /// The time from `earlier` to this stamp, or zero if `earlier` is the later of the two.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(earlier.micros))
    }
}
