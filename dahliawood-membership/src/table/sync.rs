//! Anti-entropy: slow exchanges that repair what deltas did not deliver.

use super::{MemberState, MemberTable};
use crate::identity::{SelfReport, VmTag, mix};
use crate::message::{DIGEST_BUCKETS, SyncPart, SyncRecord, VoteRecord};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;

impl MemberTable {
    /// One digest for each bucket of members, without members that are gone.
    pub(super) fn digests(&self) -> [u32; DIGEST_BUCKETS] {
        let mut digests = [0; DIGEST_BUCKETS];
        for (report, voters) in self.known() {
            let voters = voters.iter().fold(0, |sum, voter| sum ^ mix(voter.0));
            let counter = u64::from(report.counter) * 2 + u64::from(report.leaving);
            let digest = mix(report.tag.0 ^ mix(report.incarnation ^ mix(counter ^ voters)));
            digests[bucket(report.tag)] ^= digest as u32;
        }
        digests
    }

    /// The report of every member that has reported and is not gone, including this VM, with the
    /// votes against it.
    fn known(&self) -> impl Iterator<Item = (SelfReport, &[VmTag])> {
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let living = rows.filter(|row| row.state != MemberState::Gone);
        let reports =
            living.filter_map(|row| row.report.map(|report| (report, row.voters.as_slice())));
        std::iter::once((self.own_report, [].as_slice())).chain(reports)
    }

    /// The records of as many differing buckets as fit; `None` if all digests are equal.
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
            let is_room = part.records.len() + records.len() <= self.options.max_records;
            if !is_room && part.covered != 0 {
                part.more = true;
                break;
            }
            part.covered |= 1 << index;
            part.records.extend(records);
        }
        (!differing.is_empty()).then_some(part)
    }

    /// The records of the buckets whose bits are set.
    fn records_of(&self, covered: u32) -> impl Iterator<Item = SyncRecord> {
        let known = self.known();
        known
            .filter(move |(report, _)| covered & (1 << bucket(report.tag)) != 0)
            .map(|(report, voters)| SyncRecord {
                report,
                voters: voters.to_vec(),
            })
    }

    /// Merges a part; returns the records that are newer here.
    pub(super) fn merge_part(
        &mut self,
        part: &SyncPart,
        unknown: &mut Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<SyncPart> {
        let before = self.digests();
        for record in &part.records {
            self.merge_record(record, unknown, now);
        }
        if part.covered == 0 {
            return None;
        }
        let is_progress = before != self.digests() || !unknown.is_empty();
        self.is_catching_up = part.more && is_progress;
        let theirs: FastMap<VmTag, &SyncRecord> = part
            .records
            .iter()
            .map(|record| (record.report.tag, record))
            .collect();
        let newer = self.records_of(part.covered).filter(|ours| {
            let theirs = theirs.get(&ours.report.tag);
            theirs.is_none_or(|theirs| is_newer(ours, theirs))
        });
        let records: Vec<_> = newer.collect();
        (!records.is_empty()).then(|| SyncPart {
            records,
            ..SyncPart::default()
        })
    }

    /// Merges one record. The profile of an unknown VM is not requested if there are votes against
    /// it, as it is already silent.
    fn merge_record(&mut self, record: &SyncRecord, unknown: &mut Vec<VmTag>, now: TimeStamp) {
        let to_request = self.merge_report(&record.report);
        unknown.extend(to_request.filter(|_| record.voters.is_empty()));
        for voter in &record.voters {
            let vote = VoteRecord {
                subject: record.report.tag,
                incarnation: record.report.incarnation,
                counter: record.report.counter,
                voter: *voter,
            };
            self.merge_vote(&vote, now);
        }
    }
}

/// The bucket of a VM.
fn bucket(tag: VmTag) -> usize {
    (tag.0 % DIGEST_BUCKETS as u64) as usize
}

/// Whether our record contains something that theirs does not.
fn is_newer(ours: &SyncRecord, theirs: &SyncRecord) -> bool {
    let rank = |record: &SyncRecord| (record.report.incarnation, record.report.counter);
    let is_vote_missing = ours
        .voters
        .iter()
        .any(|voter| !theirs.voters.contains(voter));
    rank(ours) > rank(theirs) || (rank(ours) == rank(theirs) && is_vote_missing)
}
