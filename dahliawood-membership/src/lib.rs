//! Failure detection and membership: decides, without I/O, which VMs of the fleet are alive.
//!
//! Each VM sends heartbeats to a few watchers that it selects in different failure domains and
//! regions. A watcher that no longer hears from a VM votes against it. Votes and refutations spread
//! as small deltas, pushed at once to the neighbours and again piggybacked on heartbeats; a slow
//! anti-entropy exchange repairs what was lost. The platform's live list tells which VMs may exist.
//!
//! The package sends nothing and reads no clock: the caller of a [`table::MemberTable`] passes
//! `now`, delivers the messages of its effects and hands in the messages that arrive. The members
//! reach no consensus: two VMs may disagree about a third for a few seconds, so anything that must
//! be exclusive (shares, revisions) has to be decided through the platform's store.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod gossip;
pub mod identity;
pub mod listing;
pub mod message;
pub mod options;
mod reach;
mod row;
pub mod selection;
pub mod table;
mod watch;
