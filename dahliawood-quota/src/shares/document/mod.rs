//! The content of the share document and its JSON form.

use crate::{amount, limit, member};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

pub mod error {
    //! Errors of reading a share document.

    /// A share document could not be read.
    #[derive(Debug, snafu::Snafu)]
    #[snafu(visibility(pub(crate)))]
    pub enum DocumentError {
        /// The bytes are not a share document.
        #[snafu(display("not a share document"))]
        Malformed {
            /// What was wrong.
            source: serde_json::Error,
        },
    }
}

/// The store's version of the document; it increases with every write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct ShareVersion(pub u64);

/// Which VM holds how much of each limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareDocument {
    /// The configuration revision that `limits` were taken from.
    pub revision: u64,
    /// VMs that hold shares, in the order in which they joined.
    pub members: Vec<member::MemberEntry>,
    /// The number of members ever removed. While it is zero, every older membership is a prefix of
    /// `members`.
    pub removals: u64,
    /// Limits, in the order in which they were added.
    pub limits: Vec<LimitEntry>,
}

/// One limit and its holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitEntry {
    /// Name, terms and home rule.
    pub spec: limit::LimitSpec,
    /// Tokens that holders gave up with their shares and that no other holder has received yet.
    pub pool: amount::TokenAmount,
    /// The share of each holder.
    pub grants: Vec<ShareGrant>,
}

/// One holder's share of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The VM that holds the share.
    pub holder: member::HolderId,
    /// Rate.
    pub rate: amount::TokenRate,
    /// Burst, or units of a count.
    pub burst: amount::TokenAmount,
    /// Tokens that this holder received from the pool, in all.
    pub received: amount::TokenAmount,
    /// Tokens that this holder gave to the pool, in all.
    pub given: amount::TokenAmount,
}

impl ShareGrant {
    /// A grant of nothing.
    pub const fn nothing(holder: member::HolderId) -> Self {
        Self {
            holder,
            rate: amount::TokenRate::ZERO,
            burst: amount::TokenAmount::ZERO,
            received: amount::TokenAmount::ZERO,
            given: amount::TokenAmount::ZERO,
        }
    }
}

impl LimitEntry {
    /// The grant of a holder.
    pub fn grant(&self, holder: member::HolderId) -> Option<&ShareGrant> {
        self.grants.iter().find(|grant| grant.holder == holder)
    }

    /// The grant of a holder; adds an empty one if the holder has none.
    pub fn grant_mut(&mut self, holder: member::HolderId) -> &mut ShareGrant {
        let found = self.grants.iter().position(|grant| grant.holder == holder);
        let index = found.unwrap_or_else(|| {
            self.grants.push(ShareGrant::nothing(holder));
            self.grants.len() - 1
        });
        &mut self.grants[index]
    }

    /// The part of the limit's rate that no VM holds.
    pub fn free_rate(&self) -> amount::TokenRate {
        let held = self.grants.iter().map(|grant| grant.rate).sum();
        self.spec.terms.rate().saturating_subtract(held)
    }

    /// The part of the limit's burst that no VM holds.
    pub fn free_burst(&self) -> amount::TokenAmount {
        let held = self.grants.iter().map(|grant| grant.burst).sum();
        self.spec.terms.burst().saturating_subtract(held)
    }
}

impl ShareDocument {
    /// Removes the members for which `is_gone` holds, with their grants, and counts them in
    /// `removals`.
    pub fn remove_members(&mut self, is_gone: impl Fn(&member::HolderId) -> bool) {
        let before = self.members.len();
        self.members.retain(|member| !is_gone(&member.id));
        self.removals += (before - self.members.len()) as u64;
        for entry in &mut self.limits {
            entry.grants.retain(|grant| !is_gone(&grant.holder));
        }
    }

    /// The entry of a limit.
    pub fn limit(&self, name: &str) -> Option<&LimitEntry> {
        self.limits.iter().find(|entry| entry.spec.name == name)
    }

    /// The member with this id.
    pub fn member(&self, id: member::HolderId) -> Option<&member::MemberEntry> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Reads a document.
    ///
    /// # Errors
    /// `DocumentError::Malformed` if the bytes are not a share document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, error::DocumentError> {
        serde_json::from_slice(bytes).context(error::MalformedSnafu)
    }

    /// The bytes to store.
    ///
    /// # Panics
    /// Never: a share document has no value that JSON cannot represent.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a share document is plain data")
    }
}
