//! The HTTP front end for callers: accepts connections, answers look-ups and forwards requests.

pub mod api;
pub mod budget;
pub mod flight;
pub mod forward;
pub mod handler;
pub mod listen;
pub mod pace;
pub mod refusal;
pub mod target_call;
