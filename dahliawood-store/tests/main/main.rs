//! Tests of the store package.

mod client;
mod fleet;
mod support;
