//! Property tests of look-ups, target choice, queueing, drains and slow start, also under faults.

mod admission;
mod choice;
mod cold_fleet;
mod cut_fleet;
mod delegation;
mod drain;
mod exchange;
mod faults;
mod fleet;
mod limited_fleet;
mod lookup;
mod object_load;
mod placement;
mod queue;
mod rank_load;
mod rank_shares;
mod shedding;
mod split;
mod unannounced_cold;
mod waiting;
mod warmup;
mod work;
