//! The platform's key-value service and live list as the fleet sees them.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
