//! The revision that a VM has in force, which never goes back.
//!
//! [`keeper`] holds the decisions without I/O, [`shared`] lets the threads of a daemon use one
//! keeper, and [`mod@follow`] drives it from the store. What peers relay goes into the same keeper
//! by [`shared::SharedKeeper::observe`] and [`shared::SharedKeeper::supply`].

pub mod follow;
pub mod keeper;
pub mod relay;
pub mod shared;

pub use self::follow::{FollowOptions, follow};
pub use self::keeper::RevisionKeeper;
pub use self::shared::SharedKeeper;
