//! Tests of the gateway's decisions; `platform` tests its I/O.

mod crash_fleet;
mod freshness;
mod held_bytes;
mod registration;
mod source;
mod transfers;
