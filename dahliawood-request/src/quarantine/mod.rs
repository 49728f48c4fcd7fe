//! Quarantine of requests that crash each target that runs them.
//!
//! Such a request comes again, at any VM, and ends one target after the other. When a target
//! crashes, every request in flight there may be the cause, so a request is held back only once it
//! was in flight at several crashes that followed upon each other, and completed nowhere in between.
//! VMs tell each other of crashes and completions; each comes to the same verdict in whatever order
//! it hears of the crashes.

pub mod identity;
pub mod table;
