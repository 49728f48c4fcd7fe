//! Properties of the retry policy, the request's state machine and tickets.

mod request;
mod retry;
mod support;
mod ticket;
