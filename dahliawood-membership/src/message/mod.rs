//! What members send each other, as plain structs.

use crate::identity::{LifeRecord, VmProfile, VmTag};
use std::sync::Arc;

/// The number of digests in a question for differences.
pub const DIGEST_BUCKETS: usize = 32;

/// Bytes of a [`LifeRecord`]: tag, incarnation, counter, revision, flag.
const LIFE_BYTES: usize = 8 + 8 + 4 + 8 + 1;
/// Bytes of a [`VoteRecord`]: two tags, incarnation, counter.
const VOTE_BYTES: usize = 8 + 8 + 8 + 4;
/// Bytes of a tag.
const TAG_BYTES: usize = 8;
/// Bytes of a discriminant or of the length of a list.
const MARK_BYTES: usize = 1;
/// Bytes of the two addresses of a profile, each an IPv4 address and a port.
const ADDRESS_BYTES: usize = 2 * (4 + 2);

/// A message, with the sender's own record in front.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberMessage {
    /// The sender.
    pub sender: LifeRecord,
    /// What it is about.
    pub body: MessageBody,
    /// News passed on.
    pub deltas: Vec<MemberDelta>,
    /// VMs that the sender heard of and whose profiles it asks for.
    pub wanted: Vec<VmTag>,
    /// Profiles that the receiver asked for.
    pub profiles: Vec<ProfileRecord>,
}

/// What a message is about.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageBody {
    /// The sender lives, and asks to be watched.
    Beat,
    /// The sender need no longer be watched.
    Release,
    /// The sender watches too many VMs already.
    Refuse,
    /// The sender asks to be answered.
    Probe,
    /// The answer to a probe.
    Ack,
    /// Nothing but what is passed on.
    News,
    /// A question for differences: a digest for each part of the members.
    SyncAsk(Box<[u32; DIGEST_BUCKETS]>),
    /// Records in which the two may differ.
    SyncPart(SyncPart),
}

/// One part of an anti-entropy exchange.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncPart {
    /// The parts that `records` cover in full, one bit each; none in the answer to an answer.
    pub covered: u32,
    /// Whether there are differences in other parts.
    pub more: bool,
    /// What the sender knows.
    pub records: Vec<SyncRecord>,
}

/// What the sender knows of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncRecord {
    /// Its life.
    pub life: LifeRecord,
    /// Who votes against it.
    pub voters: Vec<VmTag>,
}

/// A piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberDelta {
    /// A VM lives, leaves, refutes votes or has a revision in force.
    Life(LifeRecord),
    /// A VM no longer hears another.
    Vote(VoteRecord),
}

/// A vote against one life of a VM; it stands until the VM raises its counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRecord {
    /// Against whom.
    pub subject: VmTag,
    /// Which life.
    pub incarnation: u64,
    /// The counter that the subject had last.
    pub counter: u32,
    /// Who votes.
    pub voter: VmTag,
}

/// A VM with its profile, for one who does not know it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileRecord {
    /// What it says of itself.
    pub life: LifeRecord,
    /// Who and where it is.
    pub profile: Arc<VmProfile>,
}

impl MemberMessage {
    /// A message without news.
    pub(crate) fn new(sender: LifeRecord, body: MessageBody) -> Self {
        Self {
            sender,
            body,
            deltas: Vec::new(),
            wanted: Vec::new(),
            profiles: Vec::new(),
        }
    }

    /// The bytes of its fields in a dense encoding, without what a transport adds.
    pub fn dense_bytes(&self) -> usize {
        let deltas: usize = self.deltas.iter().map(MemberDelta::dense_bytes).sum();
        let profiles: usize = self.profiles.iter().map(ProfileRecord::dense_bytes).sum();
        LIFE_BYTES
            + self.body.dense_bytes()
            + 3 * MARK_BYTES
            + deltas
            + TAG_BYTES * self.wanted.len()
            + profiles
    }
}

impl MessageBody {
    fn dense_bytes(&self) -> usize {
        let content = match self {
            Self::SyncAsk(digests) => std::mem::size_of_val(&**digests),
            Self::SyncPart(part) => {
                let records = part.records.iter();
                let records: usize = records
                    .map(|record| LIFE_BYTES + MARK_BYTES + TAG_BYTES * record.voters.len())
                    .sum();
                size_of::<u32>() + 2 * MARK_BYTES + records
            }
            _ => 0,
        };
        MARK_BYTES + content
    }
}

impl MemberDelta {
    fn dense_bytes(&self) -> usize {
        MARK_BYTES
            + match self {
                Self::Life(_) => LIFE_BYTES,
                Self::Vote(_) => VOTE_BYTES,
            }
    }
}

impl ProfileRecord {
    fn dense_bytes(&self) -> usize {
        let profile = &self.profile;
        let texts = profile.name.len() + profile.domain.len() + profile.region.len();
        LIFE_BYTES + ADDRESS_BYTES + texts + 3 * MARK_BYTES
    }
}
