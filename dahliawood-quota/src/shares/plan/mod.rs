//! Plans the next change of the share document.

use crate::shares::document;
use crate::{amount, home, limit, member};

/// The size of a share of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareSize {
    /// Rate.
    pub rate: amount::TokenRate,
    /// Burst, or units of a count.
    pub burst: amount::TokenAmount,
}

/// What a holder still uses of one limit after it lowered its own use; zero for a limit that the
/// holder does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoweredShare {
    /// Rate in use.
    pub rate: amount::TokenRate,
    /// Burst in use, including what is lent.
    pub burst: amount::TokenAmount,
    /// Tokens that the holder gave up with decreases of its share, in all.
    pub given: amount::TokenAmount,
}

/// The VM that plans a change, and the limits and members that it plans with.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions<'a> {
    /// The VM that will write.
    pub me: &'a member::MemberEntry,
    /// Revision of `specs`.
    pub revision: u64,
    /// Limits of that revision.
    pub specs: &'a [limit::LimitSpec],
    /// Members whose shares may be reclaimed.
    pub gone: &'a [member::HolderId],
}

/// The document that should replace `document`; equal to it if no change is needed.
///
/// `lower` is called for each limit of which the writer should hold less. It lowers the writer's
/// own use and returns what is still in use; the share is decreased to this and no further.
pub fn next_document(
    document: &document::ShareDocument,
    options: PlanOptions<'_>,
    mut lower: impl FnMut(&str, ShareSize) -> LoweredShare,
) -> document::ShareDocument {
    let mut next = document.clone();
    revise_members(&mut next, options);
    revise_limits(&mut next, options);
    let members = next.members.clone();
    for entry in &mut next.limits {
        let homes = home_shares(&entry.spec, &members);
        lower_own(entry, &homes, options.me.id, &mut lower);
        raise_homes(entry, &homes);
        entry.pool = entry.pool.min(entry.free_burst());
    }
    release_member(&mut next, options.me);
    next.limits.retain(is_needed);
    next
}

/// Whether [`next_document`] may find a change to make.
pub fn is_due(document: &document::ShareDocument, options: PlanOptions<'_>) -> bool {
    let lowered = |_: &str, size: ShareSize| LoweredShare {
        rate: size.rate,
        burst: size.burst,
        given: amount::TokenAmount::ZERO,
    };
    next_document(document, options, lowered) != *document
}

/// A home of a limit and the share that it should hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeShare {
    /// The home.
    pub holder: member::HolderId,
    /// The share.
    pub share: ShareSize,
}

/// The homes of a limit, in order of rank, with the shares that they should hold. All other
/// members should hold nothing.
pub fn home_shares(spec: &limit::LimitSpec, members: &[member::MemberEntry]) -> Vec<HomeShare> {
    let homes = home::home_vms(limit::LimitTag::of(&spec.name), &spec.homes, members);
    let parts = homes.len() as u64;
    let ids = homes.iter().map(|home| home.id).enumerate();
    ids.map(|(index, holder)| HomeShare {
        holder,
        share: home_share(spec.terms, parts, index as u64),
    })
    .collect()
}

fn home_share(terms: limit::LimitTerms, parts: u64, index: u64) -> ShareSize {
    let part = |total: u64| split_part(total, parts, index);
    let burst = terms.burst();
    let burst = if terms.is_count() {
        amount::TokenAmount::from_whole(part(burst.whole()))
    } else {
        amount::TokenAmount::from_micros(part(burst.micros))
    };
    ShareSize {
        rate: amount::TokenRate::from_micros(part(terms.rate().micros_per_second)),
        burst,
    }
}

/// The part at `index` of `total` split into `parts`; the first parts get the remainder.
fn split_part(total: u64, parts: u64, index: u64) -> u64 {
    total / parts + u64::from(index < total % parts)
}

fn revise_members(next: &mut document::ShareDocument, options: PlanOptions<'_>) {
    let gone = |id: &member::HolderId| options.gone.contains(id) && *id != options.me.id;
    next.remove_members(gone);
    let found = next
        .members
        .iter_mut()
        .find(|member| member.id == options.me.id);
    match found {
        Some(member) => *member = options.me.clone(),
        None if !options.me.leaving => next.members.push(options.me.clone()),
        None => {}
    }
}

fn revise_limits(next: &mut document::ShareDocument, options: PlanOptions<'_>) {
    let is_first = next.limits.is_empty();
    if next.revision >= options.revision && !is_first {
        return;
    }
    next.revision = next.revision.max(options.revision);
    for entry in &mut next.limits {
        entry.spec.terms = entry.spec.terms.emptied();
    }
    for spec in options.specs {
        let found = next
            .limits
            .iter_mut()
            .find(|entry| entry.spec.name == spec.name);
        match found {
            Some(entry) => entry.spec = spec.clone(),
            None => next.limits.push(document::LimitEntry {
                spec: spec.clone(),
                pool: amount::TokenAmount::ZERO,
                grants: Vec::new(),
            }),
        }
    }
}

fn lower_own(
    entry: &mut document::LimitEntry,
    homes: &[HomeShare],
    me: member::HolderId,
    lower: &mut impl FnMut(&str, ShareSize) -> LoweredShare,
) {
    let Some(held) = entry.grant(me).copied() else {
        return;
    };
    let home = homes.iter().find(|home| home.holder == me);
    let size = home.map(|home| home.share).unwrap_or_default();
    if held.rate <= size.rate && held.burst <= size.burst {
        return;
    }
    let lowered = lower(&entry.spec.name, size);
    let grant = entry.grant_mut(me);
    grant.rate = grant.rate.min(lowered.rate);
    grant.burst = grant.burst.min(lowered.burst);
    let given = lowered.given.saturating_subtract(grant.given);
    grant.given += given;
    entry.pool += given;
}

fn raise_homes(entry: &mut document::LimitEntry, homes: &[HomeShare]) {
    for home in homes {
        let held = entry.grant(home.holder).copied();
        let held = held.unwrap_or(document::ShareGrant::nothing(home.holder));
        let rate = home
            .share
            .rate
            .saturating_subtract(held.rate)
            .min(entry.free_rate());
        let burst = home
            .share
            .burst
            .saturating_subtract(held.burst)
            .min(entry.free_burst());
        if rate == amount::TokenRate::ZERO && burst.is_zero() {
            continue;
        }
        let tokens = entry.pool.min(burst);
        entry.pool = entry.pool.saturating_subtract(tokens);
        let grant = entry.grant_mut(home.holder);
        grant.rate += rate;
        grant.burst += burst;
        grant.received += tokens;
    }
}

fn release_member(next: &mut document::ShareDocument, me: &member::MemberEntry) {
    let holds = |entry: &document::LimitEntry| {
        let grant = entry.grant(me.id);
        grant.is_some_and(|grant| !grant.burst.is_zero() || grant.rate != amount::TokenRate::ZERO)
    };
    if !me.leaving || next.limits.iter().any(holds) {
        return;
    }
    next.remove_members(|id| *id == me.id);
}

/// Whether any VM holds a share of the limit, or the limit allows anything.
fn is_needed(entry: &document::LimitEntry) -> bool {
    let terms = entry.spec.terms;
    let in_use = entry
        .grants
        .iter()
        .any(|grant| !grant.burst.is_zero() || grant.rate != amount::TokenRate::ZERO);
    in_use || terms != terms.emptied()
}
