//! The faults of the stand-in, which can be changed while the stand-in runs.

use serde::{Deserialize, Serialize};

/// Faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Whether each connection is closed without a response; calls have no effect.
    pub down: bool,
    /// Whether calls are read and never answered; calls have no effect.
    pub silent: bool,
    /// Delay before each call takes effect, milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect without a response, percent.
    pub lose_reply_percent: u8,
    /// Share of reads answered from the state at the time when this fault was set, percent.
    pub stale_read_percent: u8,
    /// Lag of the live list, milliseconds.
    pub live_lag_ms: u64,
}
