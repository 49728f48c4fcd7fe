//! The callers' side: takes connections, answers look-ups, forwards requests.

pub mod api;
pub mod budget;
pub mod flight;
pub mod forward;
pub mod handler;
pub mod listen;
pub mod pace;
pub mod refusal;
pub mod target_call;
