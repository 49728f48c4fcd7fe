//! Parts of customers' limits, given out by one VM after demand.
//!
//! Load patterns that this answers: callers move between regions, VMs per failure domain differ,
//! and a customer sends several times its rate, so that no fixed part fits. One VM, the head, hears
//! every VM's demand and gives out what is free; messages grow with the number of VMs. A small part
//! of each limit is always divided evenly, so that a VM without a head can go on.
//!
//! The parts in force never sum to more than the limit: a part ends by time on both sides, is
//! counted by the head until it has ended, and half of it a while longer, since a VM that is cut off
//! goes on with that half. A new head gives nothing more than what VMs hold until all have reported
//! or their parts have ended.

pub mod book;
pub mod holder;

use std::time::Duration;

/// The part of each limit that all VMs divide evenly, whoever is head.
pub const EVEN_PART: f64 = 0.2;
/// How long a part may be used in full after the head gave it.
pub const PART_LIFE: Duration = Duration::from_secs(3);
/// How long half of a part may be used after that.
pub const HALF_LIFE: Duration = Duration::from_secs(12);
