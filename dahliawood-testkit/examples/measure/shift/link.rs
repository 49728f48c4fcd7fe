//! A paced link and its peak use.

use std::collections::VecDeque;

/// Bytes that may be sent at once, as a time at the cap, microseconds.
const BURST_US: f64 = 20_000.0;
/// The span over which use is held against the cap, microseconds.
const SPAN_US: u64 = 1_000_000;

/// One direction of a link.
pub struct PacedLink {
    bytes_per_us: f64,
    free_bytes: f64,
    filled_us: u64,
    sent: VecDeque<(u64, f64)>,
    sent_bytes: f64,
    /// The most that was sent in a span, as a share of what the cap and one burst allow.
    pub peak: f64,
}

impl PacedLink {
    /// A link with a cap in bytes a microsecond.
    pub fn new(bytes_per_us: f64) -> Self {
        Self {
            bytes_per_us,
            free_bytes: bytes_per_us * BURST_US,
            filled_us: 0,
            sent: VecDeque::new(),
            sent_bytes: 0.0,
            peak: 0.0,
        }
    }

    /// The free share of the bucket once an answer of `bytes` is set aside.
    pub fn room(&mut self, bytes: f64, now_us: u64) -> f64 {
        let burst_bytes = self.bytes_per_us * BURST_US;
        let filled = (now_us - self.filled_us) as f64 * self.bytes_per_us;
        self.free_bytes = (self.free_bytes + filled).min(burst_bytes);
        self.filled_us = now_us;
        ((self.free_bytes - bytes) / burst_bytes).max(0.0)
    }

    /// Takes the bytes of one answer.
    pub fn take(&mut self, bytes: f64, now_us: u64) {
        self.free_bytes -= bytes;
        self.sent_bytes += bytes;
        self.sent.push_back((now_us, bytes));
        while let Some((at_us, bytes)) = self.sent.front().copied() {
            if at_us + SPAN_US > now_us {
                break;
            }
            self.sent_bytes -= bytes;
            self.sent.pop_front();
        }
        let allowed = self.bytes_per_us * (SPAN_US as f64 + BURST_US);
        self.peak = self.peak.max(self.sent_bytes / allowed);
    }
}
