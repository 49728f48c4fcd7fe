//! What a VM remembers of the collector that it calls, and the ages of what passes between them.
//!
//! Clocks of VMs do not agree, and a call may be held up by a link or by a paused VM. Both sides
//! therefore bound the time at which the other one sent something by their own clocks: the caller by
//! when it sent the request, the callee by its own clock reading, which the caller hands back with
//! the time that has passed since it arrived. Ages are only ever overestimated.

use crate::placement::exchange::entry::IgnoredReason;
use crate::placement::exchange::log::LogCursor;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How far a returned clock reading may be ahead: clocks run at slightly different speeds.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(5);

/// A reading of the callee's clock, and when it arrived by the caller's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: TimeStamp,
    received_at: TimeStamp,
}

/// The state of the calls to one collector.
#[derive(Clone, Debug, Default)]
pub struct CollectorLink {
    /// Identity of the collector's process, as registered.
    callee: u64,
    reading: Option<ClockReading>,
    /// How far the collector's log was read.
    pub cursor: LogCursor,
    /// How far this VM's log was told to the collector.
    pub told: LogCursor,
}

impl CollectorLink {
    /// Begins anew if the collector is another one than at the last call; returns whether it is.
    pub fn follow(&mut self, callee: u64) -> bool {
        let is_new = self.callee != callee;
        if is_new {
            *self = Self {
                callee,
                ..Self::default()
            };
        }
        is_new
    }

    /// The callee's clock at a time of this VM's clock, at the least; `None` before the first response,
    /// and then the callee must not be told anything, because it could not tell its age.
    pub fn callee_clock(&self, now: TimeStamp) -> Option<TimeStamp> {
        let reading = self.reading?;
        Some(reading.clock.after(now.since(reading.received_at)))
    }

    /// Records a response: the callee's clock when it was sent, and how far the callee's log was read.
    /// Returns whether the callee took what it was told, which it ignores after a restart.
    pub fn record_response(&mut self, clock: TimeStamp, next: LogCursor, now: TimeStamp) -> bool {
        let is_known = self.cursor.life == next.life;
        self.reading = Some(ClockReading {
            clock,
            received_at: now,
        });
        self.cursor = next;
        is_known
    }
}

/// When a caller sent its request, at the earliest, from the reading of this VM's clock that it
/// returned.
///
/// # Errors
/// The reading is later than now.
pub fn sent_at(returned: TimeStamp, now: TimeStamp) -> Result<TimeStamp, IgnoredReason> {
    match returned <= now.after(CLOCK_TOLERANCE) {
        true => Ok(returned.min(now)),
        false => Err(IgnoredReason::Future),
    }
}
