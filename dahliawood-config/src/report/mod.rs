//! Reports of the errors found in a configuration file.

mod lines;
mod redact;

pub use lines::LineIndex;
pub use redact::{excerpt, one_line, redacted};

/// All errors of one file, in the order of the text.
///
/// `Display` writes one line for each error; the JSON form has the same fields.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckReport {
    /// Name of the file, as passed to the parser.
    pub file: String,
    /// The errors, never empty.
    pub findings: Vec<CheckFinding>,
}

impl std::fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.findings
            .iter()
            .try_for_each(|finding| writeln!(formatter, "{}:{finding}", self.file))
    }
}

impl std::error::Error for CheckReport {}

/// One error: its position, what was found there and what was expected.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{line}:{column}: found {found}, expected {expected}")]
pub struct CheckFinding {
    /// Line, counted from one.
    pub line: u32,
    /// Column in characters, counted from one.
    pub column: u32,
    /// Kind of the error.
    pub kind: FindingKind,
    /// What was found; never contains a plaintext key.
    pub found: String,
    /// What was expected at that position.
    pub expected: String,
}

/// The kinds of errors in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingKind {
    /// The text is not valid TOML.
    Syntax,
    /// A field or table that the format does not have.
    UnknownField,
    /// A required field or table is missing.
    MissingField,
    /// A value of the wrong type.
    WrongType,
    /// A value of the right type that the field does not accept.
    BadValue,
    /// A quantity without a unit, or with a unit of another kind.
    BadUnit,
    /// A reference to a name that is not declared.
    NotDeclared,
    /// A second declaration of the same name, or a repeated element of a list.
    Duplicate,
    /// A plaintext key where a name or the hash of a key is expected.
    KeyInClear,
    /// Two values that contradict each other.
    Contradiction,
}
