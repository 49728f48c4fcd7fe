//! Tests of the store package.

mod client;
mod support;
