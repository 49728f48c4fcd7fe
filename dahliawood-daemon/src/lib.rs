//! The entry VM's daemon: control thread, traffic threads, HTTP front and operator API.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
