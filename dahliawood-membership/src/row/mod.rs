//! What one VM knows of another.

use crate::identity::{LifeRecord, VmProfile, VmTag};
use crate::listing::ListStanding;
use crate::table::MemberState;
use dahliawood_model::keys::{DomainKey, RegionKey};
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;

/// The most votes that are kept against one VM.
const VOTERS_MOST: usize = 4;

/// One member.
#[derive(Clone, Debug)]
pub(crate) struct MemberRow {
    pub(crate) tag: VmTag,
    pub(crate) profile: Arc<VmProfile>,
    pub(crate) domain: DomainKey,
    pub(crate) region: RegionKey,
    pub(crate) life: Option<LifeRecord>,
    pub(crate) voters: Vec<VmTag>,
    pub(crate) voted_at: Option<TimeStamp>,
    pub(crate) silent_since: Option<TimeStamp>,
    pub(crate) listing: ListStanding,
    pub(crate) heard_at: Option<TimeStamp>,
    pub(crate) state: MemberState,
    pub(crate) gone_at: Option<TimeStamp>,
}

/// What news did to a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RowChange {
    /// Nothing that was not known.
    None,
    /// The revision alone rose.
    Revision,
    /// Something that all have to know.
    Life,
}

impl MemberRow {
    /// Takes in a life; an older one is ignored.
    pub(crate) fn merge_life(&mut self, life: &LifeRecord) -> RowChange {
        let Some(known) = &mut self.life else {
            return self.replace_life(life);
        };
        if (life.incarnation, life.counter) > (known.incarnation, known.counter) {
            return self.replace_life(life);
        }
        if life.incarnation < known.incarnation || life.revision <= known.revision {
            return RowChange::None;
        }
        let was_empty = known.revision == 0;
        known.revision = life.revision;
        if was_empty {
            RowChange::Life
        } else {
            RowChange::Revision
        }
    }

    fn replace_life(&mut self, life: &LifeRecord) -> RowChange {
        let same = self
            .life
            .filter(|known| known.incarnation == life.incarnation);
        let revision = same.map_or(0, |known| known.revision);
        self.life = Some(LifeRecord {
            revision: revision.max(life.revision),
            ..*life
        });
        self.voters.clear();
        self.voted_at = None;
        RowChange::Life
    }

    /// Adds a vote against the life known; says whether it is new.
    pub(crate) fn add_voter(&mut self, voter: VmTag, now: TimeStamp) -> bool {
        if self.voters.len() >= VOTERS_MOST || self.voters.contains(&voter) {
            return false;
        }
        self.voters.push(voter);
        self.voted_at.get_or_insert(now);
        true
    }
}
