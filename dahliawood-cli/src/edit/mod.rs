//! `drain` and `keys`: changes of the file in force, applied on the condition that it is still in
//! force.

use crate::args::{ApplyArgs, KeyCommand, OperatorArgs};
use crate::exit::CommandFailure;
use crate::output;

/// A drain to begin or to end.
pub struct DrainChange {
    /// Over how long, as written.
    pub over: String,
    /// Whether the drain ends.
    pub is_undo: bool,
    /// target, domain or region.
    pub kind: String,
    /// Its name.
    pub name: String,
}

pub async fn drain(
    _o: &OperatorArgs,
    _a: &ApplyArgs,
    _d: &DrainChange,
    _out: output::OutputMode,
) -> Result<(), CommandFailure> {
    Err(CommandFailure::Refused("".into()))
}
pub async fn keys(_c: KeyCommand, _out: output::OutputMode) -> Result<(), CommandFailure> {
    Err(CommandFailure::Refused("".into()))
}
