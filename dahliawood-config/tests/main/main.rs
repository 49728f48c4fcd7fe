//! Tests of the public API of the configuration package.

mod canonical;
mod diff;
mod edit;
mod examples;
mod generator;
mod keys;
mod mutations;
mod support;
