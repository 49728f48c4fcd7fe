//! Limits, their stable names, and the keys that identify them on one VM.

use crate::amount::{TokenAmount, TokenRate};
use dahliawood_model::keys::RegionKey;
use dahliawood_model::{FastMap, tables};
use serde::{Deserialize, Serialize};

/// The key of a limit on this VM. A limit's name keeps its key over all revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct LimitKey(pub u32);

impl LimitKey {
    /// The index of the limit in tables.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A hash of a limit's name, which identifies the limit in messages between VMs.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct LimitTag(pub u64);

impl LimitTag {
    /// The tag of a name.
    pub fn of(name: &str) -> Self {
        Self(crate::home::name_hash(name))
    }
}

/// What a limit bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitTerms {
    /// A token bucket: at most `burst + rate * t` in every window of length `t`.
    Rate {
        /// Units a second.
        rate: TokenRate,
        /// Most units at once.
        burst: TokenAmount,
    },
    /// At most `count` units in use at once.
    Count {
        /// Most units in use at once.
        count: TokenAmount,
    },
}

impl LimitTerms {
    /// The rate; zero for a count.
    pub const fn rate(self) -> TokenRate {
        match self {
            Self::Rate { rate, .. } => rate,
            Self::Count { .. } => TokenRate::ZERO,
        }
    }

    /// The most units that may be used at once.
    pub const fn burst(self) -> TokenAmount {
        match self {
            Self::Rate { burst, .. } => burst,
            Self::Count { count } => count,
        }
    }

    /// Whether this is a count, whose units are returned after use.
    pub const fn is_count(self) -> bool {
        matches!(self, Self::Count { .. })
    }

    /// A limit of the same kind that allows nothing.
    #[must_use]
    pub const fn emptied(self) -> Self {
        match self {
            Self::Rate { .. } => Self::Rate {
                rate: TokenRate::ZERO,
                burst: TokenAmount::ZERO,
            },
            Self::Count { .. } => Self::Count {
                count: TokenAmount::ZERO,
            },
        }
    }
}

/// Which VMs may hold shares of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRule {
    /// Only VMs of this region, if the region has any VM.
    pub region: Option<String>,
    /// At most this many VMs; zero means all.
    pub homes_max: u32,
}

/// A limit as one revision of the configuration defines it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitSpec {
    /// Stable name, such as `customer/NAME`, `link/FROM>TO` or `slots/TARGET`.
    pub name: String,
    /// What it bounds.
    pub terms: LimitTerms,
    /// Which VMs hold its shares.
    pub homes: HomeRule,
    /// Whether requests wait for tokens to accrue, as bytes of a link do, instead of being refused.
    #[serde(default)]
    pub is_paced: bool,
}

impl LimitSpec {
    /// Whether callers should spread their requests over all homes instead of one VM.
    pub fn is_large(&self) -> bool {
        TokenRate::from_whole(LARGE_RATE) <= self.terms.rate()
    }
}

/// Limits of at least this many requests a second have their callers spread over all homes.
const LARGE_RATE: u64 = 2_000;
/// A customer gets one more home for each of this many requests a second.
const RATE_PER_HOME: u64 = 200;
/// The least number of homes of a customer, so that the loss of one costs a small part of its rate.
const MIN_HOMES: u64 = 5;
/// The most VMs that hold slots of one target.
const MAX_SLOT_HOMES: u32 = 2;

/// A rate limit whose number of homes grows with its rate.
pub fn rate_limit(name: String, rate: TokenRate, burst: TokenAmount) -> LimitSpec {
    let more = rate.micros_per_second / TokenRate::from_whole(RATE_PER_HOME).micros_per_second;
    LimitSpec {
        name,
        terms: LimitTerms::Rate { rate, burst },
        homes: HomeRule {
            region: None,
            homes_max: (MIN_HOMES + more) as u32,
        },
        is_paced: false,
    }
}

/// The name of the limit of a customer's requests.
pub fn customer_name(customer: &tables::CustomerSpec) -> String {
    format!("customer/{}", customer.name)
}

/// The name of the limit of the bytes of one direction of a link.
pub fn link_name(fleet: &tables::FleetConfig, from: RegionKey, to: RegionKey) -> String {
    let (from, to) = (&fleet.regions[from].name, &fleet.regions[to].name);
    format!("link/{from}>{to}")
}

/// The name of the limit of the requests in flight at a target.
pub fn slots_name(target: &tables::TargetSpec) -> String {
    format!("slots/{}", target.name)
}

/// The limit of a customer's requests.
pub fn customer_limit(customer: &tables::CustomerSpec) -> LimitSpec {
    rate_limit(
        customer_name(customer),
        TokenRate::from(customer.rate),
        TokenAmount::from_whole(customer.burst),
    )
}

/// The limit of the bytes of one direction of a link, held by the VMs of the sending region.
pub fn link_limit(fleet: &tables::FleetConfig, link: &tables::LinkSpec) -> LimitSpec {
    let from = &fleet.regions[link.from].name;
    LimitSpec {
        name: link_name(fleet, link.from, link.to),
        terms: LimitTerms::Rate {
            rate: TokenRate::from(link.cap),
            burst: TokenAmount::from_whole(link.burst_bytes),
        },
        homes: HomeRule {
            region: Some(from.clone()),
            homes_max: 0,
        },
        is_paced: true,
    }
}

/// The limit of the requests in flight at a target, held by VMs of its region.
pub fn target_limit(fleet: &tables::FleetConfig, target: &tables::TargetSpec) -> LimitSpec {
    let region = fleet.domains[target.domain].region;
    LimitSpec {
        name: slots_name(target),
        terms: LimitTerms::Count {
            count: TokenAmount::from_whole(u64::from(target.slots)),
        },
        homes: HomeRule {
            region: Some(fleet.regions[region].name.clone()),
            homes_max: target.slots.min(MAX_SLOT_HOMES),
        },
        is_paced: false,
    }
}

/// All limits of a configuration: customers, links and target slots, in that order.
pub fn fleet_limits(fleet: &tables::FleetConfig) -> Vec<LimitSpec> {
    let customers = fleet.customers.values().map(customer_limit);
    let links = fleet.links.values().map(|link| link_limit(fleet, link));
    let targets = fleet
        .targets
        .values()
        .map(|target| target_limit(fleet, target));
    customers.chain(links).chain(targets).collect()
}

/// The limits that a VM knows, by key, name and tag.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    specs: Vec<LimitSpec>,
    by_tag: FastMap<LimitTag, LimitKey>,
}

impl LimitTable {
    /// Applies the limits of a new revision. Known names keep their key, new names get the next
    /// one, and a name that was removed keeps its key with terms that allow nothing.
    pub fn revise(&mut self, specs: Vec<LimitSpec>) {
        for spec in &mut self.specs {
            spec.terms = spec.terms.emptied();
        }
        for spec in specs {
            self.insert(spec);
        }
    }

    fn insert(&mut self, spec: LimitSpec) {
        let tag = LimitTag::of(&spec.name);
        if let Some(key) = self.by_tag.get(&tag) {
            self.specs[key.index()] = spec;
            return;
        }
        self.by_tag.insert(tag, LimitKey(self.specs.len() as u32));
        self.specs.push(spec);
    }

    /// The key of a name; `None` if no revision has defined it.
    pub fn key(&self, name: &str) -> Option<LimitKey> {
        self.by_tag(LimitTag::of(name))
    }

    /// The key of a tag; `None` if no revision has defined it.
    pub fn by_tag(&self, tag: LimitTag) -> Option<LimitKey> {
        self.by_tag.get(&tag).copied()
    }

    /// The limit with this key, which must be from this table.
    pub fn spec(&self, key: LimitKey) -> &LimitSpec {
        &self.specs[key.index()]
    }

    /// All limits with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (LimitKey, &LimitSpec)> {
        self.specs
            .iter()
            .enumerate()
            .map(|(index, spec)| (LimitKey(index as u32), spec))
    }

    /// The number of limits.
    pub fn len(&self) -> usize {
        self.specs.len()
    }

    /// Whether there is no limit.
    pub fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }
}
