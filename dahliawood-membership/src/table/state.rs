//! The state of a member as the table reports it to its caller.

use crate::identity::{SelfReport, VmProfile, VmTag};
use crate::message::MemberMessage;
use dahliawood_model::stamp::TimeStamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum MemberState {
    /// Its watchers receive its messages; look-ups name a member only in this state.
    #[display("live")]
    Live,
    /// The member has not reported yet; or watchers of two failure domains, one of them in the
    /// member's own region, no longer receive its messages, so it is presumed dead.
    #[display("suspect")]
    Suspect,
    /// No messages of the member arrive here, but it may be alive and keep what it holds.
    #[display("unreached")]
    Unreachable,
    /// The member or the platform announced that it is shutting down.
    #[display("leaving")]
    Leaving,
    /// The member was silent and absent from the live list for long enough: what it held may be
    /// reused.
    #[display("gone")]
    Gone,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// The member.
    pub profile: Arc<VmProfile>,
    /// Its incarnation, 0 if it has not reported.
    pub incarnation: u64,
    /// The state before.
    pub before: MemberState,
    /// The state now.
    pub after: MemberState,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Send a message; it may be lost.
    Send {
        /// Tag of the receiver.
        to: VmTag,
        /// Address of the receiver.
        address: SocketAddr,
        /// The message.
        message: MemberMessage,
    },
}

/// A member as this VM knows it.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The member's profile.
    pub profile: &'a Arc<VmProfile>,
    /// The member's newest report about itself, with its revision in force; `None` if it has not
    /// reported.
    pub report: Option<SelfReport>,
    /// The member's state.
    pub state: MemberState,
    /// When this VM itself last received a message from the member.
    pub heard_at: Option<TimeStamp>,
}
