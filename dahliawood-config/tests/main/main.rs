//! Tests of the configuration package through its public functions.

mod examples;
mod keys;
mod support;
