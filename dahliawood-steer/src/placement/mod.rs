//! Choice of a target by object affinity, for targets that register themselves and cache objects.
//!
//! The first request for an object costs a multiple of later ones, so every VM sends an object to
//! the same short list of targets. Regions differ in load and capacity: whole objects spill over to
//! another region, in small steps. Cold targets get few requests. Targets become slow, shed load or
//! disappear; request results show this first, so a circuit breaker per target acts on them. A
//! request that no reachable target could answer in time is refused at once.
//!
//! The tables and functions do no I/O; the caller passes in `now`.

pub mod balance;
pub mod breaker;
pub mod cached;
pub mod choose;
pub mod cold;
pub mod exchange;
pub mod load;
pub mod rank;
pub mod ranking;
pub mod record;
pub mod sharers;
pub mod shedding;
pub mod spillover;
pub mod stated_limit;
pub mod statement;
pub mod table;
pub mod waiting;
pub mod warmup;
pub mod work;
