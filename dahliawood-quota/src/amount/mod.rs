//! Fixed-point quantities: millionths of a request, byte or slot.

use dahliawood_model::units;
use serde::{Deserialize, Serialize};

/// Millionths in one unit.
pub const MICROS_PER_UNIT: u64 = 1_000_000;

/// An amount of allowance in millionths of a unit (a request, a byte or a slot).
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
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Sum,
    derive_more::Display,
)]
#[display("{micros} u")]
#[serde(transparent)]
pub struct TokenAmount {
    /// Millionths of a unit.
    pub micros: u64,
}

impl TokenAmount {
    /// Zero.
    pub const ZERO: Self = Self { micros: 0 };
    /// One whole unit.
    pub const ONE: Self = Self::from_whole(1);

    /// A whole number of units.
    pub const fn from_whole(units: u64) -> Self {
        Self::from_micros(units.saturating_mul(MICROS_PER_UNIT))
    }

    /// A number of millionths.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Whole units, rounded down.
    pub const fn whole(self) -> u64 {
        self.micros / MICROS_PER_UNIT
    }

    /// Whether the amount is zero.
    pub const fn is_zero(self) -> bool {
        self.micros == 0
    }

    /// This amount less `other`, or zero if `other` is more.
    #[must_use]
    pub const fn saturating_subtract(self, other: Self) -> Self {
        Self::from_micros(self.micros.saturating_sub(other.micros))
    }
}

/// A rate of allowance in millionths of a unit a second.
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
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Sum,
    derive_more::Display,
)]
#[display("{micros_per_second} u/s")]
#[serde(transparent)]
pub struct TokenRate {
    /// Millionths of a unit a second, which is also 10^-12 of a unit a microsecond.
    pub micros_per_second: u64,
}

impl TokenRate {
    /// Zero.
    pub const ZERO: Self = Self {
        micros_per_second: 0,
    };

    /// A number of millionths a second.
    pub const fn from_micros(micros_per_second: u64) -> Self {
        Self { micros_per_second }
    }

    /// A whole number of units a second.
    pub const fn from_whole(units: u64) -> Self {
        Self::from_micros(units.saturating_mul(MICROS_PER_UNIT))
    }

    /// This rate less `other`, or zero if `other` is more.
    #[must_use]
    pub const fn saturating_subtract(self, other: Self) -> Self {
        Self::from_micros(
            self.micros_per_second
                .saturating_sub(other.micros_per_second),
        )
    }
}

impl From<units::RequestRate> for TokenRate {
    fn from(rate: units::RequestRate) -> Self {
        const MICROS_PER_MILLI: u64 = 1_000;
        Self::from_micros(rate.millis_per_second.saturating_mul(MICROS_PER_MILLI))
    }
}

impl From<units::ByteRate> for TokenRate {
    fn from(rate: units::ByteRate) -> Self {
        Self::from_whole(rate.bytes_per_second)
    }
}
