//! The messages that members send each other, as plain structs.

use crate::identity::{SelfReport, VmProfile, VmTag};
use std::sync::Arc;

/// Number of buckets into which the members are divided for anti-entropy.
pub const DIGEST_BUCKETS: usize = 32;

/// Bytes of a [`SelfReport`]: tag, incarnation, counter, revision, flag.
const REPORT_BYTES: usize = 8 + 8 + 4 + 8 + 1;
/// Bytes of a [`VoteRecord`]: two tags, incarnation, counter.
const VOTE_BYTES: usize = 8 + 8 + 8 + 4;
/// Bytes of a tag.
const TAG_BYTES: usize = 8;
/// Bytes of a discriminant or of the length of a list.
const PREFIX_BYTES: usize = 1;
/// Bytes of the two addresses of a profile, each an IPv4 address and a port.
const ADDRESS_BYTES: usize = 2 * (4 + 2);

/// A message, which always contains the sender's report about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberMessage {
    /// The sender's report about itself.
    pub sender: SelfReport,
    /// The content of the message.
    pub body: MessageBody,
    /// Deltas that the sender spreads.
    pub deltas: Vec<MemberDelta>,
    /// VMs whose profiles the sender does not know and requests.
    pub profile_requests: Vec<VmTag>,
    /// Profiles that the receiver requested.
    pub profiles: Vec<ProfileRecord>,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageBody {
    /// Heartbeat: the sender is alive and asks the receiver to watch it.
    Heartbeat,
    /// The receiver is no longer a watcher of the sender.
    Release,
    /// The sender refuses to watch the receiver, as it already watches too many VMs.
    Refuse,
    /// Asks the receiver for an [`MessageBody::Ack`].
    Probe,
    /// Response to a probe, or to a [`MessageBody::SyncRequest`] without differences.
    Ack,
    /// Only carries deltas, requests for profiles, and profiles.
    Gossip,
    /// Starts an anti-entropy exchange: one digest for each bucket of members.
    SyncRequest(Box<[u32; DIGEST_BUCKETS]>),
    /// Records in which the sender and the receiver may differ.
    SyncPart(SyncPart),
}

/// One part of an anti-entropy exchange.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncPart {
    /// The buckets that `records` contain in full, one bit each; zero in the final response of an
    /// exchange.
    pub covered: u32,
    /// Whether other buckets differ too.
    pub more: bool,
    /// The records of the sender.
    pub records: Vec<SyncRecord>,
}

/// What the sender knows about one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncRecord {
    /// The VM's report about itself.
    pub report: SelfReport,
    /// The VMs that vote against it.
    pub voters: Vec<VmTag>,
}

/// A change to spread to other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberDelta {
    /// The newest report of a VM: it started, is leaving, refuted votes, or has a revision in
    /// force.
    Report(SelfReport),
    /// A vote: a VM no longer hears from another one.
    Vote(VoteRecord),
}

/// A vote against one incarnation of a VM; it counts until the VM raises its counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRecord {
    /// The VM voted against.
    pub subject: VmTag,
    /// Its incarnation.
    pub incarnation: u64,
    /// The last counter known of the subject.
    pub counter: u32,
    /// The VM that votes.
    pub voter: VmTag,
}

/// A VM with its profile, for a receiver that does not know it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileRecord {
    /// The VM's report about itself.
    pub report: SelfReport,
    /// The VM's profile.
    pub profile: Arc<VmProfile>,
}

impl MemberMessage {
    /// A message without deltas.
    pub(crate) fn new(sender: SelfReport, body: MessageBody) -> Self {
        Self {
            sender,
            body,
            deltas: Vec::new(),
            profile_requests: Vec::new(),
            profiles: Vec::new(),
        }
    }

    /// Size of the fields in a dense encoding, in bytes, without the overhead of a transport.
    pub fn dense_bytes(&self) -> usize {
        let deltas: usize = self.deltas.iter().map(MemberDelta::dense_bytes).sum();
        let profiles: usize = self.profiles.iter().map(ProfileRecord::dense_bytes).sum();
        REPORT_BYTES
            + self.body.dense_bytes()
            + 3 * PREFIX_BYTES
            + deltas
            + TAG_BYTES * self.profile_requests.len()
            + profiles
    }
}

impl MessageBody {
    fn dense_bytes(&self) -> usize {
        let content = match self {
            Self::SyncRequest(digests) => std::mem::size_of_val(&**digests),
            Self::SyncPart(part) => {
                let records = part.records.iter();
                let records: usize = records
                    .map(|record| REPORT_BYTES + PREFIX_BYTES + TAG_BYTES * record.voters.len())
                    .sum();
                size_of::<u32>() + 2 * PREFIX_BYTES + records
            }
            _ => 0,
        };
        PREFIX_BYTES + content
    }
}

impl MemberDelta {
    fn dense_bytes(&self) -> usize {
        PREFIX_BYTES
            + match self {
                Self::Report(_) => REPORT_BYTES,
                Self::Vote(_) => VOTE_BYTES,
            }
    }
}

impl ProfileRecord {
    fn dense_bytes(&self) -> usize {
        let profile = &self.profile;
        let texts = profile.name.len() + profile.domain.len() + profile.region.len();
        REPORT_BYTES + ADDRESS_BYTES + texts + 3 * PREFIX_BYTES
    }
}
