//! Properties of the retry policy, the request's state machine and tickets.

mod retry;
mod support;
mod ticket;
