//! Properties of membership in whole fleets under faults.

mod cost;
mod detection;
mod history;
mod incarnations;
mod lists;
mod partitions;
mod support;
