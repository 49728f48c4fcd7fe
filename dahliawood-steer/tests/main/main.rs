//! Properties of look-ups, choices, drains and ramps under faults.

mod choice;
mod fleet;
mod lookup;
