//! Reading the table.

use super::{MemberChange, MemberState, MemberTable, MemberView};
use crate::choice::PlacedVm;
use crate::identity::{LifeRecord, VmTag};
use crate::row::MemberRow;
use dahliawood_model::keys::VmKey;
use std::sync::Arc;

impl MemberTable {
    /// This VM's own record.
    pub fn me(&self) -> LifeRecord {
        self.me
    }

    /// All members, this VM first.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        let own = MemberView {
            profile: &self.profile,
            life: Some(self.me),
            state: if self.me.leaving {
                MemberState::Leaving
            } else {
                MemberState::Live
            },
            heard_at: Some(self.due.ticked_at),
        };
        let others = self.index.values().map(|key| view(&self.rows[*key]));
        std::iter::once(own).chain(others)
    }

    /// The member of that name.
    pub fn find(&self, name: &str) -> Option<MemberView<'_>> {
        let tag = VmTag::of(name);
        if tag == self.me.tag {
            return self.members().next();
        }
        self.index.get(&tag).map(|key| view(&self.rows[*key]))
    }

    /// The changes of state since the last call, oldest first.
    pub fn changes(&mut self) -> impl Iterator<Item = MemberChange> {
        std::mem::take(&mut self.changes).into_iter()
    }

    /// The highest revision that any VM was heard to have in force.
    pub fn highest_revision(&self) -> u64 {
        let lives = self.index.values().filter_map(|key| self.rows[*key].life);
        lives
            .map(|life| life.revision)
            .max()
            .unwrap_or(0)
            .max(self.me.revision)
    }

    /// The VMs that this one sends its heartbeats to.
    pub fn watchers(&self) -> &[VmTag] {
        &self.watchers
    }

    /// Whether nothing has been heard from anybody for long: all others are unreached from here.
    pub fn is_isolated(&self) -> bool {
        self.judging.is_isolated
    }

    /// Bytes of the table, texts of profiles included.
    pub fn memory_bytes(&self) -> usize {
        let texts: usize = self
            .index
            .values()
            .map(|key| &self.rows[*key].profile)
            .map(|profile| profile.name.len() + profile.domain.len() + profile.region.len())
            .sum();
        let rows =
            self.rows.len() * (size_of::<MemberRow>() + size_of::<crate::identity::VmProfile>());
        let index = self.index.capacity() * (size_of::<VmTag>() + size_of::<VmKey>() + 1);
        size_of::<Self>() + rows + index + texts
    }

    /// The row of a tag.
    pub(super) fn row(&self, tag: VmTag) -> Option<&MemberRow> {
        self.index.get(&tag).map(|key| &self.rows[*key])
    }

    /// Where a VM is, this one included.
    pub(super) fn place_of(&self, tag: VmTag) -> Option<PlacedVm> {
        if tag == self.me.tag {
            return Some(self.place);
        }
        self.row(tag).map(placed)
    }

    /// One of the rows that `matches`, drawn at random.
    pub(super) fn draw(&mut self, matches: impl Fn(&MemberRow) -> bool) -> Option<VmTag> {
        let fitting = |row: &&MemberRow| self.index.contains_key(&row.tag) && matches(row);
        let count = self.rows.values().filter(fitting).count();
        let position = self.rng.below(count);
        let drawn = self
            .rows
            .values()
            .filter(|row| self.index.contains_key(&row.tag) && matches(row));
        drawn.map(|row| row.tag).nth(position)
    }
}

/// A row's place.
pub(super) fn placed(row: &MemberRow) -> PlacedVm {
    PlacedVm {
        tag: row.tag,
        domain: row.domain,
        region: row.region,
    }
}

fn view(row: &MemberRow) -> MemberView<'_> {
    MemberView {
        profile: &row.profile as &Arc<_>,
        life: row.life,
        state: row.state,
        heard_at: row.heard_at,
    }
}
