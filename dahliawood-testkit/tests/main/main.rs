//! Models of fleets without a network.

mod follow_fleet;
mod soak_checks;
