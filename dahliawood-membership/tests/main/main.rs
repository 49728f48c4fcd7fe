//! Properties of membership in whole fleets under faults.

mod cost;
mod cuts;
mod deaths;
mod history;
mod lists;
mod lives;
mod support;
