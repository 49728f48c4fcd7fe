//! What goes wrong at the stand-in, set while it runs.

use serde::{Deserialize, Serialize};

/// Faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Connections are closed without an answer, and nothing takes effect.
    pub down: bool,
    /// Calls are read and never answered; nothing takes effect.
    pub silent: bool,
    /// Each call waits this long before it takes effect, milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and are not answered, percent.
    pub lose_reply_percent: u8,
    /// Share of reads answered from the state at the moment when this fault was set, percent.
    pub stale_read_percent: u8,
    /// How far the live list lags, milliseconds.
    pub live_lag_ms: u64,
}
