//! Tests of the store package.

mod client;
mod fleet;
mod history;
mod keeper;
mod rules;
mod sim;
mod support;
mod view;
