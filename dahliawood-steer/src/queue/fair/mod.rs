//! Start-time fair queueing between customers: tags in virtual time, and the expected wait.
//!
//! Shared by the daemon's queue of a service ([`crate::queue`]) and by the requests that wait at a
//! gateway ([`crate::placement::waiting`]). The load pattern is one customer that sends many requests at
//! once beside customers that send few: the backlog of the former delays the latter by one turn at most.

use std::time::Duration;

/// Virtual time of a queue: the tag of the request that was served last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VirtualTime(f64);

/// Position of one customer in virtual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairTag {
    weight: u32,
    /// Virtual time at which the customer's last served request finishes.
    finish: f64,
}

impl FairTag {
    /// Tag of a customer that had no request yet; a weight below 1 counts as 1.
    pub fn new(weight: u32, time: VirtualTime) -> Self {
        Self {
            weight: weight.max(1),
            finish: time.0,
        }
    }

    /// Weight of the customer.
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Virtual time at which the request at `position` of the customer's backlog has its turn.
    pub fn turn(&self, position: usize) -> f64 {
        self.finish + position as f64 / f64::from(self.weight)
    }

    /// Sets the customer's weight, at least 1.
    pub fn set_weight(&mut self, weight: u32) {
        self.weight = weight.max(1);
    }

    /// Records that the customer has requests again after it had none: it has saved up no turns.
    pub fn rejoin(&mut self, time: VirtualTime) {
        self.finish = self.finish.max(time.0);
    }

    /// Records that a request of the customer is served.
    pub fn serve(&mut self, time: &mut VirtualTime) {
        time.0 = self.finish;
        self.finish += 1.0 / f64::from(self.weight);
    }

    /// Takes back that a request of the customer was served.
    pub fn take_back(&mut self) {
        self.finish -= 1.0 / f64::from(self.weight);
    }
}

/// Expected wait of a request with `ahead` requests before it, where `per_second` slots become free.
pub fn wait_time(ahead: f64, per_second: f64) -> Duration {
    if ahead <= 0.0 && per_second > 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(ahead / per_second).unwrap_or(Duration::MAX)
}
