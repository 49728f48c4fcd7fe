//! Tests of the two binaries as separate processes; the fake platform and targets are processes
//! too.

mod commands;
mod end_to_end;
mod processes;
