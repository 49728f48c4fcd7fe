//! Outcome of a ticket's request.

use crate::verdict;
use sha2::{Digest, Sha256};

/// Digest of a request: method, path with query, and body. Detects reuse of a ticket for another
/// request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, derive_more::From,
)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// The digest of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// One header of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeptHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A complete answer, stored to be repeated.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, in the order in which they are sent.
    pub headers: Vec<KeptHeader>,
    /// Body.
    pub body: Vec<u8>,
}

impl KeptAnswer {
    /// Approximate memory use, bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        self.body.len() + headers
    }
}

/// Outcome of a ticket's request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketOutcome {
    /// A target answered, and the complete answer is stored.
    Answered(KeptAnswer),
    /// A target answered; only the status of the answer is stored, because of its size.
    AnsweredBrief {
        /// HTTP status.
        status: u16,
    },
    /// There was no complete answer.
    Failed {
        /// Whether the request may have run.
        verdict: verdict::RunVerdict,
    },
}

impl TicketOutcome {
    /// Verdict on whether the request ran.
    pub fn verdict(&self) -> verdict::RunVerdict {
        match self {
            Self::Answered(_) | Self::AnsweredBrief { .. } => verdict::RunVerdict::Ran,
            Self::Failed { verdict } => *verdict,
        }
    }

    /// The same outcome without the answer's content.
    #[must_use]
    pub fn without_content(&self) -> Self {
        match self {
            Self::Answered(answer) => Self::AnsweredBrief {
                status: answer.status,
            },
            other => other.clone(),
        }
    }
}
