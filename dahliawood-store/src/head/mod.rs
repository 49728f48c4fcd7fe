//! The one key that says which revision is accepted and which one is proposed.

use crate::content::ContentHash;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::iter;

/// Key of the [`HeadDocument`].
pub const HEAD_KEY: &str = "dahliawood/head";

/// How many accepted revisions a head remembers the write ids of.
pub const RECENT_LIMIT: usize = 32;

/// How many marks of its last writes a head holds.
pub const TRAIL_LIMIT: usize = 32;

/// Names one `apply`, so that what became of it can be asked.
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

/// A random number that one write leaves in the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(transparent)]
pub struct WriteMark(u32);

impl WriteMark {
    /// The mark of a number drawn evenly from `0.0..1.0`.
    pub fn drawn(draw: f64) -> Self {
        Self((draw * f64::from(u32::MAX)) as u32)
    }
}

/// Names a revision; ordered by its number first.
///
/// Two stamps share a number only where a store was restored after all VMs that knew the higher
/// numbers were gone; the write id then decides, the same way for all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionStamp {
    /// Number, from 1.
    pub revision: u64,
    /// The write that brought it.
    pub write_id: WriteId,
    /// Hash of the file.
    pub hash: ContentHash,
}

/// What a head knows of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteTrace {
    /// It was accepted as this revision.
    Accepted(RevisionStamp),
    /// It is proposed.
    Proposed(RevisionStamp),
    /// It is not there.
    Absent,
}

/// The value of [`HEAD_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadDocument {
    /// The accepted revision and those before it, newest first, at most [`RECENT_LIMIT`].
    pub recent: Vec<RevisionStamp>,
    /// The revision that VMs are asked to hold.
    pub proposal: Option<RevisionStamp>,
    /// Marks of the last writes of this document, newest first, at most [`TRAIL_LIMIT`]. A mark
    /// that is not there was written in a state that a restored store has lost, or long ago.
    pub trail: Vec<WriteMark>,
}

impl HeadDocument {
    /// Reads a value; an absent one is the empty head.
    ///
    /// # Errors
    ///
    /// Fails where the value is not one of this key.
    pub fn parse(value: Option<&str>) -> Result<Self, serde_json::Error> {
        value.map_or_else(|| Ok(Self::default()), serde_json::from_str)
    }

    /// The value to write.
    ///
    /// # Panics
    ///
    /// Never: the document has a JSON form.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head has a JSON form")
    }

    /// The accepted revision.
    pub fn accepted(&self) -> Option<&RevisionStamp> {
        self.recent.first()
    }

    /// The highest number that was accepted or proposed.
    pub fn highest(&self) -> u64 {
        let proposed = self.proposal.as_ref().map_or(0, |stamp| stamp.revision);
        let accepted = self.accepted().map_or(0, |stamp| stamp.revision);
        proposed.max(accepted)
    }

    /// What is known of a write.
    pub fn trace(&self, write_id: &WriteId) -> WriteTrace {
        let is_it = |stamp: &&RevisionStamp| stamp.write_id == *write_id;
        if let Some(stamp) = self.recent.iter().find(is_it) {
            return WriteTrace::Accepted(stamp.clone());
        }
        match self.proposal.as_ref().filter(is_it) {
            Some(stamp) => WriteTrace::Proposed(stamp.clone()),
            None => WriteTrace::Absent,
        }
    }

    /// Whether a write of revision `revision` may have been accepted and forgotten since.
    pub fn may_have_forgotten(&self, revision: u64) -> bool {
        let oldest = self.recent.last().map_or(0, |stamp| stamp.revision);
        self.recent.len() >= RECENT_LIMIT && revision < oldest
    }

    /// This head with another proposal.
    #[must_use]
    pub fn with_proposal(&self, proposal: Option<RevisionStamp>, mark: WriteMark) -> Self {
        Self {
            recent: self.recent.clone(),
            proposal,
            trail: self.trail_with(mark),
        }
    }

    /// This head with `stamp` accepted; a proposal that it overtakes is dropped.
    #[must_use]
    pub fn with_accepted(&self, stamp: &RevisionStamp, mark: WriteMark) -> Self {
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
            trail: self.trail_with(mark),
        }
    }

    fn trail_with(&self, mark: WriteMark) -> Vec<WriteMark> {
        let marks = iter::once(mark).chain(self.trail.iter().copied());
        marks.take(TRAIL_LIMIT).collect()
    }
}
