//! Verdict on whether a request may have run at a target.

/// What is known about whether a request ran, with or without a complete answer.
///
/// The variants are ordered by increasing certainty that the request ran: a further try can only
/// raise the verdict of the whole request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// No byte of the request can have reached a target.
    #[display("not-run")]
    NotRun,
    /// Part of the request may have reached a target, and no answer is known.
    #[display("may-have-run")]
    MayHaveRun,
    /// A target answered the request.
    #[display("ran")]
    Ran,
}

impl RunVerdict {
    /// The combined verdict of this try and another one of the same request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }
}
