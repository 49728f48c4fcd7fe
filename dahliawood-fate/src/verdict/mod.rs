//! Whether a request may have run at a target.

/// What is known of a request that got no whole answer, or of one that did.
///
/// The order is that of knowledge gained while a request is tried: a later try can only move the
/// verdict of the whole request upwards.
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
    /// No byte of it can have reached a target.
    #[display("not-run")]
    NotRun,
    /// Some of it may have reached a target, whose answer is not known.
    #[display("may-have-run")]
    MayHaveRun,
    /// A target answered it.
    #[display("ran")]
    Ran,
}

impl RunVerdict {
    /// The verdict over this try and an earlier or later one of the same request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }
}
