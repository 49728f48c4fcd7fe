//! The slow exchange that mends what deltas lost.

use super::{MemberState, MemberTable};
use crate::identity::{LifeRecord, VmTag, mix};
use crate::message::{DIGEST_BUCKETS, SyncPart, SyncRecord, VoteRecord};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;

impl MemberTable {
    /// A digest of what is known of each part of the members, those that are gone left out.
    pub(super) fn digests(&self) -> [u32; DIGEST_BUCKETS] {
        let mut digests = [0; DIGEST_BUCKETS];
        for (life, voters) in self.known() {
            let voters = voters.iter().fold(0, |sum, voter| sum ^ mix(voter.0));
            let counter = u64::from(life.counter) * 2 + u64::from(life.leaving);
            let digest = mix(life.tag.0 ^ mix(life.incarnation ^ mix(counter ^ voters)));
            digests[bucket(life.tag)] ^= digest as u32;
        }
        digests
    }

    /// Every VM that has shown life and is not gone, this one included, with the votes against it.
    fn known(&self) -> impl Iterator<Item = (LifeRecord, &[VmTag])> {
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let living = rows.filter(|row| row.state != MemberState::Gone);
        let lives = living.filter_map(|row| row.life.map(|life| (life, row.voters.as_slice())));
        std::iter::once((self.me, [].as_slice())).chain(lives)
    }

    /// The records of parts that differ, as many parts as fit; none where all are equal.
    pub(super) fn sync_part(&mut self, theirs: &[u32; DIGEST_BUCKETS]) -> Option<SyncPart> {
        let ours = self.digests();
        let first = self.rng.below(DIGEST_BUCKETS);
        let order = (0..DIGEST_BUCKETS).map(|step| (first + step) % DIGEST_BUCKETS);
        let differing: Vec<_> = order
            .filter(|index| ours[*index] != theirs[*index])
            .collect();
        let mut part = SyncPart::default();
        for index in &differing {
            let records: Vec<_> = self.records_of(1 << index).collect();
            let is_room = part.records.len() + records.len() <= self.options.records_most;
            if !is_room && part.covered != 0 {
                part.more = true;
                break;
            }
            part.covered |= 1 << index;
            part.records.extend(records);
        }
        (!differing.is_empty()).then_some(part)
    }

    /// The records of the parts whose bits are set.
    fn records_of(&self, covered: u32) -> impl Iterator<Item = SyncRecord> {
        let known = self.known();
        known
            .filter(move |(life, _)| covered & (1 << bucket(life.tag)) != 0)
            .map(|(life, voters)| SyncRecord {
                life,
                voters: voters.to_vec(),
            })
    }

    /// Takes in a part; gives what is newer here.
    pub(super) fn take_part(
        &mut self,
        part: &SyncPart,
        unknown: &mut Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<SyncPart> {
        let before = self.digests();
        for record in &part.records {
            self.take_record(record, unknown, now);
        }
        if part.covered == 0 {
            return None;
        }
        let is_progress = before != self.digests() || !unknown.is_empty();
        self.is_catching_up = part.more && is_progress;
        let theirs: FastMap<VmTag, &SyncRecord> = part
            .records
            .iter()
            .map(|record| (record.life.tag, record))
            .collect();
        let newer = self.records_of(part.covered).filter(|ours| {
            let theirs = theirs.get(&ours.life.tag);
            theirs.is_none_or(|theirs| is_newer(ours, theirs))
        });
        let records: Vec<_> = newer.collect();
        (!records.is_empty()).then(|| SyncPart {
            records,
            ..SyncPart::default()
        })
    }

    /// Takes in one record. One of a VM that is silent already is not asked about.
    fn take_record(&mut self, record: &SyncRecord, unknown: &mut Vec<VmTag>, now: TimeStamp) {
        let wanted = self.merge_life(&record.life);
        unknown.extend(wanted.filter(|_| record.voters.is_empty()));
        for voter in &record.voters {
            let vote = VoteRecord {
                subject: record.life.tag,
                incarnation: record.life.incarnation,
                counter: record.life.counter,
                voter: *voter,
            };
            self.merge_vote(&vote, now);
        }
    }
}

/// The part that a VM belongs to.
fn bucket(tag: VmTag) -> usize {
    (tag.0 % DIGEST_BUCKETS as u64) as usize
}

/// Whether our record holds what theirs does not.
fn is_newer(ours: &SyncRecord, theirs: &SyncRecord) -> bool {
    let rank = |record: &SyncRecord| (record.life.incarnation, record.life.counter);
    let is_vote_missing = ours
        .voters
        .iter()
        .any(|voter| !theirs.voters.contains(voter));
    rank(ours) > rank(theirs) || (rank(ours) == rank(theirs) && is_vote_missing)
}
