//! A paced link between regions, and its peak use.

use std::collections::VecDeque;

/// Burst size, given as the time that it takes to send at the cap, microseconds.
const BURST_US: f64 = 20_000.0;
/// The window over which use is compared with the cap, microseconds.
const WINDOW_US: u64 = 1_000_000;

/// One direction of a link, paced by a token bucket.
pub struct PacedLink {
    bytes_per_us: f64,
    free_bytes: f64,
    refilled_us: u64,
    sent: VecDeque<(u64, f64)>,
    sent_bytes: f64,
    /// The most bytes sent within a window, as a share of what the cap and one burst allow.
    pub peak: f64,
}

impl PacedLink {
    /// A link with a cap in bytes per microsecond and a full bucket.
    pub fn new(bytes_per_us: f64) -> Self {
        Self {
            bytes_per_us,
            free_bytes: bytes_per_us * BURST_US,
            refilled_us: 0,
            sent: VecDeque::new(),
            sent_bytes: 0.0,
            peak: 0.0,
        }
    }

    /// The share of the bucket that stays free after an answer of `bytes`, 0 to 1.
    pub fn headroom(&mut self, bytes: f64, now_us: u64) -> f64 {
        let burst_bytes = self.bytes_per_us * BURST_US;
        let refill = (now_us - self.refilled_us) as f64 * self.bytes_per_us;
        self.free_bytes = (self.free_bytes + refill).min(burst_bytes);
        self.refilled_us = now_us;
        ((self.free_bytes - bytes) / burst_bytes).max(0.0)
    }

    /// Takes the bytes of one answer from the bucket and updates the peak use.
    pub fn send(&mut self, bytes: f64, now_us: u64) {
        self.free_bytes -= bytes;
        self.sent_bytes += bytes;
        self.sent.push_back((now_us, bytes));
        while let Some((at_us, bytes)) = self.sent.front().copied() {
            if at_us + WINDOW_US > now_us {
                break;
            }
            self.sent_bytes -= bytes;
            self.sent.pop_front();
        }
        let allowed = self.bytes_per_us * (WINDOW_US as f64 + BURST_US);
        self.peak = self.peak.max(self.sent_bytes / allowed);
    }
}
