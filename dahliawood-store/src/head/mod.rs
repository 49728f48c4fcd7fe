//! The head: the one key that records which revision is accepted and which one is proposed.

use crate::content;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::iter;

/// Key of the [`HeadDocument`].
pub const HEAD_KEY: &str = "dahliawood/head";

/// Number of accepted revisions that a head lists.
pub const RECENT_LIMIT: usize = 32;

/// Number of nonces of its last writes that a head lists.
pub const TRAIL_LIMIT: usize = 32;

/// Identifies one `apply`, so that its outcome can be queried later.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct WriteId(String);

impl WriteId {
    /// A random id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(hex::encode(rng.random::<[u8; 16]>()))
    }
}

/// A random number that each write of the head adds to the head, and that identifies that write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(transparent)]
pub struct WriteNonce(u32);

impl WriteNonce {
    /// Converts a number drawn uniformly from `0.0..1.0`.
    pub fn from_draw(draw: f64) -> Self {
        Self((draw * f64::from(u32::MAX)) as u32)
    }
}

/// Identifies a revision; ordered by its number first.
///
/// Two stamps have the same number only if a store was restored after all VMs that knew the higher
/// numbers were gone. The order of their write ids then decides, so that all VMs agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionStamp {
    /// Revision number, from 1.
    pub revision: u64,
    /// The write that created the revision.
    pub write_id: WriteId,
    /// Hash of the file.
    pub hash: content::ContentHash,
}

/// What the head records about a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteLookup {
    /// The write was accepted as this revision.
    Accepted(RevisionStamp),
    /// The write is proposed.
    Proposed(RevisionStamp),
    /// The head does not contain the write.
    Absent,
}

/// The value of [`HEAD_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadDocument {
    /// The accepted revision and earlier ones, newest first, at most [`RECENT_LIMIT`].
    pub recent: Vec<RevisionStamp>,
    /// The revision that VMs are asked to stage and acknowledge.
    pub proposal: Option<RevisionStamp>,
    /// Nonces of the last writes of this document, newest first, at most [`TRAIL_LIMIT`]. A missing
    /// nonce belongs to a write that a restored store has lost, or to one that was dropped because
    /// of its age.
    pub trail: Vec<WriteNonce>,
}

impl HeadDocument {
    /// Parses a value; an absent value is the empty head.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a head document.
    pub fn parse(value: Option<&str>) -> Result<Self, serde_json::Error> {
        value.map_or_else(|| Ok(Self::default()), serde_json::from_str)
    }

    /// The value to write to the store.
    ///
    /// # Panics
    ///
    /// Never: the document always serializes to JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head serializes to JSON")
    }

    /// The accepted revision.
    pub fn accepted(&self) -> Option<&RevisionStamp> {
        self.recent.first()
    }

    /// The highest revision number that was accepted or proposed.
    pub fn highest(&self) -> u64 {
        let proposed = self.proposal.as_ref().map_or(0, |stamp| stamp.revision);
        let accepted = self.accepted().map_or(0, |stamp| stamp.revision);
        proposed.max(accepted)
    }

    /// Looks a write up.
    pub fn find_write(&self, write_id: &WriteId) -> WriteLookup {
        let is_match = |stamp: &&RevisionStamp| stamp.write_id == *write_id;
        if let Some(stamp) = self.recent.iter().find(is_match) {
            return WriteLookup::Accepted(stamp.clone());
        }
        match self.proposal.as_ref().filter(is_match) {
            Some(stamp) => WriteLookup::Proposed(stamp.clone()),
            None => WriteLookup::Absent,
        }
    }

    /// Whether a write with this revision number may have been accepted and dropped from the list
    /// since.
    pub fn may_have_dropped(&self, revision: u64) -> bool {
        let oldest = self.recent.last().map_or(0, |stamp| stamp.revision);
        self.recent.len() >= RECENT_LIMIT && revision < oldest
    }

    /// This head with its proposal replaced.
    #[must_use]
    pub fn with_proposal(&self, proposal: Option<RevisionStamp>, nonce: WriteNonce) -> Self {
        Self {
            recent: self.recent.clone(),
            proposal,
            trail: self.extended_trail(nonce),
        }
    }

    /// This head with `stamp` accepted; a proposal with the same or a lower number is dropped.
    #[must_use]
    pub fn with_accepted(&self, stamp: &RevisionStamp, nonce: WriteNonce) -> Self {
        let mut recent = self.recent.clone();
        recent.push(stamp.clone());
        recent.sort_by(|left, right| right.cmp(left));
        recent.dedup();
        recent.truncate(RECENT_LIMIT);
        let proposal = self
            .proposal
            .clone()
            .filter(|proposal| proposal.revision > stamp.revision);
        Self {
            recent,
            proposal,
            trail: self.extended_trail(nonce),
        }
    }

    fn extended_trail(&self, nonce: WriteNonce) -> Vec<WriteNonce> {
        let nonces = iter::once(nonce).chain(self.trail.iter().copied());
        nonces.take(TRAIL_LIMIT).collect()
    }
}
