//! The revision that a VM has in force, which never goes back.
//!
//! [`tracker`] holds the decisions without I/O, [`shared`] lets the threads of a daemon use one
//! tracker, and [`mod@follow`] drives it from the store. What peers relay goes into the same
//! tracker by [`shared::SharedTracker::observe_accepted`] and [`shared::SharedTracker::add_file`].

pub mod follow;
pub mod relay;
pub mod shared;
pub mod tracker;

pub use self::follow::{FollowOptions, follow};
pub use self::shared::SharedTracker;
pub use self::tracker::RevisionTracker;
