//! Tests of the store package.

mod client;
mod fleet;
mod history;
mod keeper;
mod sim;
mod support;
