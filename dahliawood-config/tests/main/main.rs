//! Tests of the configuration package through its public functions.

mod canonical;
mod diff;
mod edit;
mod examples;
mod keys;
mod mutations;
mod sketch;
mod support;
