//! The two binaries as separate processes, with the stand-ins as processes of their own.

mod commands;
mod path;
mod processes;
