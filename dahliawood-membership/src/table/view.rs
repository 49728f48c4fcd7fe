//! Read access to the table.

use super::{MemberChange, MemberState, MemberTable, MemberView};
use crate::identity::{SelfReport, VmTag};
use crate::row::MemberRow;
use crate::selection::LocatedVm;
use dahliawood_model::keys::VmKey;
use std::sync::Arc;

impl MemberTable {
    /// This VM's report about itself.
    pub fn own_report(&self) -> SelfReport {
        self.own_report
    }

    /// All members, this VM first.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        let own = MemberView {
            profile: &self.profile,
            report: Some(self.own_report),
            state: if self.own_report.leaving {
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
        if tag == self.own_report.tag {
            return self.members().next();
        }
        self.index.get(&tag).map(|key| view(&self.rows[*key]))
    }

    /// Takes the changes of state since the last call, oldest first.
    pub fn changes(&mut self) -> impl Iterator<Item = MemberChange> {
        std::mem::take(&mut self.changes).into_iter()
    }

    /// The highest revision that any VM is known to have in force.
    pub fn highest_revision(&self) -> u64 {
        let reports = self.index.values().filter_map(|key| self.rows[*key].report);
        reports
            .map(|report| report.revision)
            .max()
            .unwrap_or(0)
            .max(self.own_report.revision)
    }

    /// The VMs to which this VM sends its heartbeats.
    pub fn watchers(&self) -> &[VmTag] {
        &self.watchers
    }

    /// Whether this VM is isolated: no message has arrived for long, so all others count as
    /// unreachable.
    pub fn is_isolated(&self) -> bool {
        self.evaluation.is_isolated
    }

    /// Memory used by the table, in bytes, including the texts of profiles.
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

    /// The row of a VM.
    pub(super) fn row(&self, tag: VmTag) -> Option<&MemberRow> {
        self.index.get(&tag).map(|key| &self.rows[*key])
    }

    /// The location of a VM, which may be this VM.
    pub(super) fn location_of(&self, tag: VmTag) -> Option<LocatedVm> {
        if tag == self.own_report.tag {
            return Some(self.location);
        }
        self.row(tag).map(located)
    }

    /// The tag of a random row for which `matches` returns true.
    pub(super) fn draw(&mut self, matches: impl Fn(&MemberRow) -> bool) -> Option<VmTag> {
        let eligible = |row: &&MemberRow| self.index.contains_key(&row.tag) && matches(row);
        let count = self.rows.values().filter(eligible).count();
        let position = self.rng.below(count);
        let drawn = self
            .rows
            .values()
            .filter(|row| self.index.contains_key(&row.tag) && matches(row));
        drawn.map(|row| row.tag).nth(position)
    }
}

/// The location of a row's VM.
pub(super) fn located(row: &MemberRow) -> LocatedVm {
    LocatedVm {
        tag: row.tag,
        domain: row.domain,
        region: row.region,
    }
}

fn view(row: &MemberRow) -> MemberView<'_> {
    MemberView {
        profile: &row.profile as &Arc<_>,
        report: row.report,
        state: row.state,
        heard_at: row.heard_at,
    }
}
