//! Failures of commands: their exit codes and the messages on standard error.

use std::process::ExitCode;

/// The ways in which a command can fail. The meaning of an exit code never changes, because scripts
/// depend on it.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CommandFailure {
    /// No VM answered as expected, or a file could not be read; nothing was changed.
    #[display("{_0}")]
    Unreachable(String),
    /// The input was refused; nothing was changed.
    #[display("{_0}")]
    Refused(String),
    /// The change was not applied.
    #[display("not applied: {_0}")]
    NotApplied(String),
    /// It is not known whether the change was applied.
    #[display("unknown: {_0}")]
    Unknown(String),
    /// The change was accepted, but some VMs have not confirmed that it is in force on them.
    #[display("{_0}")]
    Unconfirmed(String),
}

impl CommandFailure {
    /// The exit code: 1 unreachable, 2 refused, 3 not applied, 4 unknown, 5 not confirmed
    /// everywhere.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Unreachable(_) => 1,
            Self::Refused(_) => 2,
            Self::NotApplied(_) => 3,
            Self::Unknown(_) => 4,
            Self::Unconfirmed(_) => 5,
        })
    }
}
