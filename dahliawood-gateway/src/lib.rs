//! Gateway that forwards HTTP requests to targets registered in a key space, and answers look-ups.
//!
//! For a platform that keeps its targets, configuration documents and VMs in one store. This
//! package does the I/O around the decision packages: `dahliawood-steer` chooses the target of a
//! request, `dahliawood-quota` enforces customers' limits and `dahliawood-request` decides on
//! retries. The platform's message formats are passed in as a [`codec::PlatformCodec`], its settings
//! as [`settings::GatewaySettings`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admission_queue;
pub mod clock;
pub mod codec;
pub mod control;
pub mod count_guard;
pub mod crashes;
pub mod decisions;
pub mod directory;
pub mod forward;
pub mod front;
pub mod held_bytes;
pub mod metrics;
pub mod peer_forward;
pub mod reach;
pub mod run;
pub mod settings;
pub mod state;
pub mod structured_log;
pub mod supervise;
pub mod target_call;
