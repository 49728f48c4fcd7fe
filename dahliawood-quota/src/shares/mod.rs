//! The share document, which says which VM holds how much of each limit, and how it is changed.
//!
//! The document is one value in the platform's store and is changed only by compare-and-swap. A
//! holder lowers its own use before it writes a decrease, and raises its use only after it has read
//! an increase, so that the shares in use never exceed the limit. Any VM may write an increase for
//! any other VM, out of what no VM holds.

pub mod document;
pub mod holder;
pub mod liveness;
pub mod plan;
