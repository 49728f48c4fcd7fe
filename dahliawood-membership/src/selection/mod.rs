//! Selects the watchers of a VM.
//!
//! The selection uses a rendezvous hash, so that a change of the fleet changes few watchers. The
//! first watcher is of the VM's own region in another failure domain; the next ones are of other
//! regions, all different; then VMs of a failure domain of their own are preferred; then any VM is
//! taken. The death of a VM is thus detected within its own region, and a cut of one link between
//! regions silences the VM for only one watcher.

use crate::identity::VmTag;
use dahliawood_model::keys::{DomainKey, RegionKey};

/// A VM with its location.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocatedVm {
    /// The VM.
    pub tag: VmTag,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its region.
    pub region: RegionKey,
}

/// Selects at most `count` watchers of `subject` among `candidates`, the one of its own region
/// first.
pub fn select_watchers(
    subject: &LocatedVm,
    candidates: &(impl Iterator<Item = LocatedVm> + Clone),
    count: usize,
) -> Vec<VmTag> {
    let mut selected: Vec<LocatedVm> = Vec::with_capacity(count);
    for rank in 0..count {
        let others = candidates
            .clone()
            .filter(|vm| vm.tag != subject.tag && selected.iter().all(|known| known.tag != vm.tag));
        let preferred = others.max_by_key(|vm| {
            (
                fitness(subject, &selected, vm, rank == 0),
                subject.tag.score(vm.tag),
            )
        });
        selected.extend(preferred);
    }
    selected.iter().map(|vm| vm.tag).collect()
}

/// Score by which a VM complements the watchers selected so far; higher is better.
fn fitness(subject: &LocatedVm, selected: &[LocatedVm], vm: &LocatedVm, is_first: bool) -> u8 {
    let is_domain_new =
        vm.domain != subject.domain && selected.iter().all(|known| known.domain != vm.domain);
    let is_region_new =
        vm.region != subject.region && selected.iter().all(|known| known.region != vm.region);
    let is_near = vm.region == subject.region;
    let is_region_right = if is_first { is_near } else { is_region_new };
    2 * u8::from(is_region_right) + u8::from(is_domain_new)
}
