//! How a command ends: its exit code and what it says on standard error.

use std::process::ExitCode;

/// How a command failed; the codes never change their meaning.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CommandFailure {
    /// No VM answered, or a file could not be read; nothing was changed.
    #[display("{_0}")]
    Unreachable(String),
    /// The input was refused; nothing was changed.
    #[display("{_0}")]
    Refused(String),
    /// The change was not applied.
    #[display("not applied: {_0}")]
    NotApplied(String),
    /// Whether the change was applied is not known.
    #[display("unknown: {_0}")]
    Unknown(String),
    /// The change is accepted, but some VMs have not confirmed that it is in force on them.
    #[display("{_0}")]
    Unconfirmed(String),
}

impl CommandFailure {
    /// The exit code: 1 unreachable, 2 refused, 3 not applied, 4 unknown, 5 not confirmed everywhere.
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
