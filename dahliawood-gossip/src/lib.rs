//! Epidemic dissemination of facts that all VMs should know soon and that lose their use soon: each VM
//! tells a few others what it has lately heard, a few times.
//!
//! Decides what to tell and whom; sends nothing, stores nothing that must last, and agrees on nothing.
//! While no VM has anything new, nothing is sent. A fact reaches all VMs with high probability, in a
//! number of rounds that grows with the logarithm of the number of VMs.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod partner;
pub mod rumor;
