//! Properties of look-ups, choices, drains and ramps under faults.

mod choice;
mod drain;
mod fair;
mod faults;
mod fleet;
mod lookup;
mod placement;
mod queue;
mod split;
