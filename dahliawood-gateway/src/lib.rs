//! Forwards requests to targets that register in a key space, and answers look-ups.
//!
//! The porcelain over the decision packages for a platform where targets, documents and VMs stand in
//! one store: nothing here decides where a request goes (`dahliawood-steer`), who may send it
//! (`dahliawood-quota`) or whether it is sent again (`dahliawood-fate`). The words that the platform
//! uses come as [`codec::PlatformCodec`], its settings as [`settings::GatewaySettings`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod asks;
pub mod clock;
pub mod codec;
pub mod control;
pub mod directory;
pub mod forward;
pub mod front;
pub mod line;
pub mod metrics;
pub mod run;
pub mod settings;
pub mod state;
pub mod target_call;
