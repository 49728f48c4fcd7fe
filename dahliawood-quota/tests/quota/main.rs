//! Property tests of the quota package over generated histories.

mod allocation;
mod bucket;
mod fleet;
mod invariants;
mod oracle;
mod queue;
mod refused;
mod scenario;
mod seed;
mod store;
mod window;
