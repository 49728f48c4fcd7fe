//! Tracks the configuration revision that a VM has in force, which never moves to a lower revision.
//!
//! [`tracker`] makes the decisions without I/O, [`shared`] shares one tracker between the threads
//! of a daemon, and [`mod@follow`] keeps it up to date from the store. Revisions that peers relay
//! enter the same tracker through [`shared::SharedTracker::observe_accepted`] and
//! [`shared::SharedTracker::add_file`].

pub mod follow;
pub mod relay;
pub mod shared;
pub mod tracker;

pub use self::follow::{FollowOptions, follow};
pub use self::shared::SharedTracker;
pub use self::tracker::RevisionTracker;
