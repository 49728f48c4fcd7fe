//! Decides whether a request runs in this region or in another.
//!
//! In a region with few slots a request runs on the side of its object. The fixed positions of objects,
//! shares that change slowly and the division of hot objects bound how many requests change their region.
//! A count of a VM's requests doesn't: a VM counts few in a window, and by chance their sides vary by more
//! than the bound. A request whose side has no slot in time runs on the other within the bound, rather
//! than be refused.

use crate::placement::choose;
use crate::placement::spillover::SpilloverLevel;
use crate::placement::table::PlacementTable;
use dahliawood_model::keys::TargetKey;

/// The side of a request's object, and the target of this region.
#[derive(Clone, Copy, Debug)]
pub(super) struct SideTargets {
    /// Whether the object spills over.
    pub(super) is_remote: bool,
    /// Whether this region has a usable target, busy or not.
    pub(super) has_local: bool,
    /// Whether another region that the request may use has a usable target, busy or not.
    pub(super) has_remote: bool,
    /// The target of this region that serves the request in time.
    pub(super) local: Option<TargetKey>,
}

/// The target and whether it is in another region; `None` if the request is refused. `remote` finds the
/// target of another region that serves the request in time.
pub(super) fn choose_side(
    table: &mut PlacementTable,
    service: &str,
    targets: SideTargets,
    remote: impl FnOnce() -> Option<TargetKey>,
) -> Option<(TargetKey, bool)> {
    let spillover = choose::spillover_mut(table, service)?;
    match spillover.shares() {
        Some(_) => by_shares(spillover, targets, remote()),
        None => by_steps(spillover, targets, remote),
    }
}

fn by_shares(
    spillover: &mut SpilloverLevel,
    targets: SideTargets,
    remote: Option<TargetKey>,
) -> Option<(TargetKey, bool)> {
    match (targets.local, remote) {
        (Some(local), Some(remote)) => {
            let key = if targets.is_remote { remote } else { local };
            Some((key, targets.is_remote))
        }
        (Some(local), None) => {
            let is_own_side = !targets.is_remote || !targets.has_remote;
            let is_allowed = is_own_side || spillover.allow_overflow(false);
            is_allowed.then_some((local, false))
        }
        (None, Some(remote)) => {
            let is_own_side = targets.is_remote || !targets.has_local;
            let is_allowed = is_own_side || spillover.allow_overflow(true);
            is_allowed.then_some((remote, true))
        }
        (None, None) => None,
    }
}

/// A limited share of requests runs on the other side where their own side has no slot in time.
fn by_steps(
    spillover: &mut SpilloverLevel,
    targets: SideTargets,
    remote: impl FnOnce() -> Option<TargetKey>,
) -> Option<(TargetKey, bool)> {
    if !targets.is_remote
        && let Some(key) = targets.local
    {
        return Some((key, false));
    }
    let remote = remote();
    if let Some(key) = remote {
        let may_run_remote =
            !targets.has_local || (targets.is_remote && spillover.allows_side(true));
        if may_run_remote || spillover.allow_diverted(true) {
            return Some((key, true));
        }
    }
    let local = targets.local?;
    (remote.is_some() || spillover.allow_diverted(false)).then_some((local, false))
}
