//! What is said of a member to those who ask.

use crate::identity::{LifeRecord, VmProfile, VmTag};
use crate::message::MemberMessage;
use dahliawood_model::stamp::TimeStamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum MemberState {
    /// It is heard by its watchers; the only state in which look-ups name it.
    #[display("live")]
    Live,
    /// It has shown no life yet, or watchers of two failure domains, one of them in its own
    /// region, no longer hear it: it is taken for dead.
    #[display("suspect")]
    Suspect,
    /// It is not heard from here, but may well live and hold what it holds.
    #[display("unreached")]
    Unreached,
    /// It said, or the platform said, that it is shutting down.
    #[display("leaving")]
    Leaving,
    /// It was silent and absent from the live list for long enough: what it held may be reused.
    #[display("gone")]
    Gone,
}

/// A member whose state changed.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// Who.
    pub profile: Arc<VmProfile>,
    /// Which life, 0 where it has shown none.
    pub incarnation: u64,
    /// The state before.
    pub before: MemberState,
    /// The state now.
    pub after: MemberState,
}

/// What the table wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: VmTag,
        /// Where it is.
        address: SocketAddr,
        /// What.
        message: MemberMessage,
    },
}

/// A member as others see it.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// Who and where it is.
    pub profile: &'a Arc<VmProfile>,
    /// What it last said of itself, with the revision in force; `None` where it has shown no life.
    pub life: Option<LifeRecord>,
    /// What is known of it.
    pub state: MemberState,
    /// When this VM itself last had a message from it.
    pub heard_at: Option<TimeStamp>,
}
