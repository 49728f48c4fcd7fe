//! Dynamic allocation of customer limits: one VM, the coordinator, divides each limit by need.
//!
//! A fixed division of a limit over VMs fails under these load patterns: callers move between
//! regions, failure domains have different numbers of VMs, a customer's requests are spread so
//! thinly over many VMs that no fixed fraction holds a whole request, and a customer sends several
//! times its rate. Each VM therefore reports to the coordinator how much of each limit it used in
//! the current window and how much it needs next, and the coordinator allocates what is free. A VM
//! that runs out of room reports at once. A small fraction of each limit is always divided evenly,
//! so that a VM that cannot reach a coordinator can still admit requests.
//!
//! Invariant: the fractions that VMs hold never sum to more than the limit, and no VM's fraction
//! falls below what it used in the current window. No window therefore admits more than the limit,
//! whichever VMs held the fractions before. Allocations expire by time at the VM and at the
//! coordinator; the coordinator counts them for one window longer, because the requests admitted
//! under them still count in that window. After its lifetime, half of an allocation stays usable
//! for a while, for a VM that is cut off.
//!
//! A new coordinator raises no VM's fraction until all VMs have reported, and it learns from the
//! reports what VMs held under its predecessor: a few VMs, the standbys, keep a [`copy`] of the
//! coordinator's sums of all customers, so that what a process that is gone held counts although no
//! other VM ever had a request of that customer. While VMs are off the list of members that may be cut
//! off, what no report accounts for counts as long as allocations last ([`absent`]). Without a copy, a
//! limit of which no report tells counts as used for one window. Where all processes are new, the
//! coordinator allocates what the fleet has earned since the start of its oldest process
//! ([`crate::usage_limit`]), once more than half of the VMs have reported.

pub mod absent;
pub mod coordinator;
pub mod copy;
pub mod local;

use std::time::Duration;

/// The fraction of each limit that is divided evenly over all VMs, whichever VM coordinates.
pub const EVEN_FRACTION: f64 = 0.05;
/// How often a VM reports all its active customers.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a VM may use an allocation in full, counted at the VM from when it sent its report.
pub const ALLOCATION_LIFETIME: Duration = Duration::from_secs(3);
/// How long half of an allocation stays usable after [`ALLOCATION_LIFETIME`].
pub const HALF_ALLOCATION_LIFETIME: Duration = Duration::from_secs(12);

/// How long a sum over all VMs counts that a coordinator sent in answer to a report, if all VMs report to its
/// successor or are gone: they may use their allocations until the next report is due, and what they
/// admitted counts for one `window` more.
pub fn counted_time(window: Duration) -> Duration {
    REPORT_INTERVAL + window
}

/// How long it counts if VMs may be cut off, which use their allocations as long as those last.
pub fn longest_counted_time(window: Duration) -> Duration {
    counted_time(window) + ALLOCATION_LIFETIME + HALF_ALLOCATION_LIFETIME
}
