//! What a check found wrong with a file.

mod lines;
mod redact;

pub use lines::LineIndex;
pub use redact::{excerpt, one_line, redacted};

/// Every mistake of one file, in the order of the text.
///
/// `Display` gives one line a mistake; the JSON form has the same fields.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckReport {
    /// The file's name, as the caller of the check gave it.
    pub file: String,
    /// The mistakes, never empty.
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

/// One mistake: where it is, what is there and what should be.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{line}:{column}: found {found}, expected {expected}")]
pub struct CheckFinding {
    /// Line, counted from one.
    pub line: u32,
    /// Column in characters, counted from one.
    pub column: u32,
    /// What kind of mistake it is.
    pub kind: FindingKind,
    /// What was found; a key in clear is never shown.
    pub found: String,
    /// What was expected there.
    pub expected: String,
}

/// The kinds of mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FindingKind {
    /// The text is no TOML.
    Syntax,
    /// A field or table that the format does not have.
    UnknownField,
    /// A field or table that has to be there is not.
    MissingField,
    /// A value of another type than the field's.
    WrongType,
    /// A value that the field does not take.
    BadValue,
    /// A quantity without its unit, or with a wrong one.
    BadUnit,
    /// A name is used that nothing declares.
    NotDeclared,
    /// Something is declared twice.
    Duplicate,
    /// A key stands in clear where its hash belongs.
    KeyInClear,
    /// Two values that can't both hold.
    Contradiction,
}
