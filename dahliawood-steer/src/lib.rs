//! Where a request goes: look-up answers, choice of region and target, health, drains and ramps.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
