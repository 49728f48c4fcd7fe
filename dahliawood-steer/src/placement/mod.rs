//! Which target serves a request, where targets register by themselves and remember objects.
//!
//! Load patterns that this answers: a first visit of an object costs a multiple of a later one, so
//! every VM sends an object to the same short list of targets; regions are uneven, so whole objects
//! move to another region, and slowly; cold targets bear few requests; targets turn slow, shed, or
//! vanish, which shows in answers first. Where every target in reach would answer too late the
//! request is refused at once.
//!
//! Tables and functions without I/O; `now` is passed in.

pub mod breaker;
pub mod choose;
pub mod cold;
pub mod load;
pub mod spillover;
pub mod table;
