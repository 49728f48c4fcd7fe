//! Which VMs of the fleet live, as decisions without I/O.
//!
//! Each VM sends heartbeats to a few watchers of its own choice, spread over failure domains and
//! regions. A watcher that hears a VM no longer votes against it; votes and refutations travel as
//! small deltas, at once to the neighbours and again on heartbeats, and a slow anti-entropy
//! exchange mends what was lost. The platform's live list says who may exist.
//!
//! The package sends nothing and reads no clock: whoever drives a [`table::MemberTable`] passes
//! `now`, delivers the messages of its effects and hands in what arrives. It takes part in no
//! agreement: two VMs may differ on a third for a few seconds, and what must be exclusive (shares,
//! revisions) has to be settled through the platform's store.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod choice;
pub mod identity;
pub mod listing;
pub mod message;
pub mod options;
mod reach;
mod row;
mod rumour;
pub mod table;
mod watch;
