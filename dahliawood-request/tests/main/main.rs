//! Property tests of the retry policy, the request state machine and tickets.

mod quarantine;
mod request;
mod retry;
mod support;
mod ticket;
