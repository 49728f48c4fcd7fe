//! The share document and its safe changes.
//!
//! One document in the platform's store, changed only by compare-and-swap, says which VM holds how
//! much of each limit. A holder lowers its own use before it writes a decrease, and raises only
//! after it has read an increase. Any VM may write an increase for any other out of what is free.

pub mod document;
pub mod holder;
pub mod liveness;
pub mod plan;
