//! Which VMs watch a VM.
//!
//! By rendezvous hash, so that a change of the fleet moves few watchers: one of the VM's own
//! region in another failure domain, then VMs of other regions that differ from each other, then
//! whoever is in a failure domain of its own, then anybody. A death of the VM is thus seen from its own
//! region, and a cut of one link by one watcher alone.

use crate::identity::VmTag;
use dahliawood_model::keys::{DomainKey, RegionKey};

/// A VM with its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedVm {
    /// Which VM.
    pub tag: VmTag,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its region.
    pub region: RegionKey,
}

/// The watchers of `subject` among `candidates`, at most `count`, the one of its own region first.
pub fn watchers(
    subject: &PlacedVm,
    candidates: &(impl Iterator<Item = PlacedVm> + Clone),
    count: usize,
) -> Vec<VmTag> {
    let mut chosen: Vec<PlacedVm> = Vec::with_capacity(count);
    for rank in 0..count {
        let others = candidates
            .clone()
            .filter(|vm| vm.tag != subject.tag && chosen.iter().all(|known| known.tag != vm.tag));
        let preferred = others.max_by_key(|vm| {
            (
                fitness(subject, &chosen, vm, rank == 0),
                subject.tag.score(vm.tag),
            )
        });
        chosen.extend(preferred);
    }
    chosen.iter().map(|vm| vm.tag).collect()
}

/// How well a VM complements the watchers chosen so far; higher is better.
fn fitness(subject: &PlacedVm, chosen: &[PlacedVm], vm: &PlacedVm, is_first: bool) -> u8 {
    let is_domain_new =
        vm.domain != subject.domain && chosen.iter().all(|known| known.domain != vm.domain);
    let is_region_new =
        vm.region != subject.region && chosen.iter().all(|known| known.region != vm.region);
    let is_near = vm.region == subject.region;
    let is_region_right = if is_first { is_near } else { is_region_new };
    2 * u8::from(is_region_right) + u8::from(is_domain_new)
}
