//! Properties of membership in whole fleets under faults.

mod cost;
mod cuts;
mod detection;
mod history;
mod incarnations;
mod lists;
mod support;
