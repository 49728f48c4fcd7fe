//! A copy of a coordinator's sums of all customers, which VMs keep that may have to tell them to its
//! successor.
//!
//! This handles the failure in which the coordinator is killed or cut off, and with it the only VM that
//! knows how much of a limit is in use.

use crate::allocation::coordinator::AllocatedTotal;
use crate::allocation::longest_counted_time;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How many VMs besides the coordinator keep a copy.
pub const STANDBYS: usize = 3;

/// What a coordinator allocated of each customer's limit. Customers that are not listed had nothing.
#[derive(Clone, Debug)]
pub struct TableCopy {
    coordinator: u64,
    made_at: TimeStamp,
    totals: FastMap<String, f64>,
}

impl TableCopy {
    /// The sums of the coordinator with this incarnation, which were asked for at `made_at`.
    pub fn new(
        coordinator: u64,
        made_at: TimeStamp,
        totals: impl Iterator<Item = (String, f64)>,
    ) -> Self {
        Self {
            coordinator,
            made_at,
            totals: totals.filter(|(_, total)| total.is_finite()).collect(),
        }
    }

    /// The customers, each with its sum over all VMs; none once the sums no longer count. Limits hold over
    /// any span of length `window`.
    pub fn totals(
        &self,
        window: Duration,
        now: TimeStamp,
    ) -> impl Iterator<Item = (&str, AllocatedTotal)> {
        let age = now.since(self.made_at);
        let is_counted = age < longest_counted_time(window);
        let listed = self.totals.iter().filter(move |_| is_counted);
        listed.map(move |(customer, fraction)| {
            let total = AllocatedTotal {
                fraction: *fraction,
                coordinator: self.coordinator,
                age,
            };
            (customer.as_str(), total)
        })
    }
}
