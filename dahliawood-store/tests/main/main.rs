//! Tests of the store package.

mod client;
mod fleet;
mod history;
mod sim;
mod support;
