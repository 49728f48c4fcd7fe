//! Properties of look-ups, choices, drains and ramps under faults.

mod admission;
mod choice;
mod drain;
mod faults;
mod fleet;
mod lookup;
mod placement;
mod queue;
mod split;
