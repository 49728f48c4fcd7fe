//! The callers' side: takes connections, answers look-ups, forwards requests.

pub mod api;
pub mod forward;
pub mod handler;
pub mod listen;
pub mod refusal;
