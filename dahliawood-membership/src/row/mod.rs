//! What this VM knows about one other member.

use crate::identity::{SelfReport, VmProfile, VmTag};
use crate::listing::ListingStatus;
use crate::table::MemberState;
use dahliawood_model::keys::{DomainKey, RegionKey};
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;

/// Most votes that are stored against one VM.
const MAX_VOTERS: usize = 4;

/// One member of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct MemberRow {
    pub(crate) tag: VmTag,
    pub(crate) profile: Arc<VmProfile>,
    pub(crate) domain: DomainKey,
    pub(crate) region: RegionKey,
    pub(crate) report: Option<SelfReport>,
    pub(crate) voters: Vec<VmTag>,
    pub(crate) voted_at: Option<TimeStamp>,
    pub(crate) silent_since: Option<TimeStamp>,
    pub(crate) listing: ListingStatus,
    pub(crate) heard_at: Option<TimeStamp>,
    pub(crate) state: MemberState,
    pub(crate) gone_at: Option<TimeStamp>,
}

/// How a report changed a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowChange {
    /// The report contained nothing new.
    None,
    /// Only the revision increased.
    Revision,
    /// Incarnation, counter, leaving or the first revision changed, which all members must learn.
    Report,
}

impl MemberRow {
    /// Merges a report; an older one is ignored.
    pub(crate) fn merge_report(&mut self, report: &SelfReport) -> RowChange {
        let Some(known) = &mut self.report else {
            return self.replace_report(report);
        };
        if (report.incarnation, report.counter) > (known.incarnation, known.counter) {
            return self.replace_report(report);
        }
        if report.incarnation < known.incarnation || report.revision <= known.revision {
            return RowChange::None;
        }
        let was_empty = known.revision == 0;
        known.revision = report.revision;
        if was_empty {
            RowChange::Report
        } else {
            RowChange::Revision
        }
    }

    fn replace_report(&mut self, report: &SelfReport) -> RowChange {
        let same = self
            .report
            .filter(|known| known.incarnation == report.incarnation);
        let revision = same.map_or(0, |known| known.revision);
        self.report = Some(SelfReport {
            revision: revision.max(report.revision),
            ..*report
        });
        self.voters.clear();
        self.voted_at = None;
        RowChange::Report
    }

    /// Adds a vote against the current report; returns whether the vote is new.
    pub(crate) fn add_voter(&mut self, voter: VmTag, now: TimeStamp) -> bool {
        if self.voters.len() >= MAX_VOTERS || self.voters.contains(&voter) {
            return false;
        }
        self.voters.push(voter);
        self.voted_at.get_or_insert(now);
        true
    }
}
