//! Parts of customers' limits, given out by one VM after need.
//!
//! Load patterns that this answers: callers move between regions, VMs per failure domain differ,
//! a customer's requests are spread so thin over many VMs that no fixed part holds whole requests,
//! and a customer sends several times its rate. One VM, the head, hears what every VM used of each
//! limit within the window and what it wants next, and gives out what is free. A VM that has no
//! room left asks at once. A small part of each limit is always divided evenly, so that a VM
//! without a head can go on.
//!
//! What VMs hold never sums to more than the limit, and nobody's part falls below what it used up
//! in the window: so no window takes more than the limit, whoever had which part before. A part
//! ends by time on both sides; the head counts it a window longer, since what was sent under it
//! still counts. Half of it goes on for a while, for a VM that is cut off. A new head gives nothing
//! more than what VMs hold until all have reported, and learns from them what was held under the one
//! before. Where all processes are new it takes the limit for used up, less and less until a window
//! has passed, and gives out the rest once more than half of the VMs have reported.

pub mod coordinator;
pub mod local;

use std::time::Duration;

/// The part of each limit that all VMs divide evenly, whoever is head.
pub const EVEN_FRACTION: f64 = 0.05;
/// How long a part may be used in full after the head gave it.
pub const ALLOCATION_LIFETIME: Duration = Duration::from_secs(3);
/// How long half of a part may be used after that.
pub const HALF_ALLOCATION_LIFETIME: Duration = Duration::from_secs(12);
