//! Shares of a region's objects that run in each region, by the regions' capacity.
//!
//! This handles a load pattern in which a region has few of a service's slots and many of its callers:
//! most of its objects run elsewhere, demand moves between regions within seconds, and a request costs
//! more slot time in the small region because its few targets cache few objects. A count of requests
//! doesn't show that cost, so the shares follow the utilization that targets report: each step moves
//! them towards those at which all regions are equally utilized (water-filling).

use std::iter;

/// Largest sum of the changes of all rising shares in one step: 0.05 in a window of four steps, in which
/// at most 0.15 of the requests may change their region. The rest is left for hot objects and chance.
const MAX_CHANGE: f64 = 0.0125;
/// The same while a region has far less than its share by slots, as after its loss; no cached objects
/// are lost by moving there.
const MAX_RETURN_CHANGE: f64 = 0.02;
/// Part of its share by slots below which a region that is not busy has far less.
const RETURN_PART: f64 = 0.5;
/// Largest change per step while no region is busy: an object that moves costs a first visit.
const MAX_IDLE_CHANGE: f64 = 0.005;
/// Part of the remaining difference that one step makes up; reports lag by about a second.
const GAIN: f64 = 0.25;
/// Utilization of the busiest region up to which requests seldom wait for a slot.
const IDLE_UTILIZATION: f64 = 0.5;
/// Utilization of the least busy region from which on no region has room for first visits: objects that
/// move then take slots from other requests.
const SPARE_UTILIZATION: f64 = 0.7;
/// Difference of utilization between regions that is left as it is.
const BALANCED_DIFFERENCE: f64 = 0.1;
/// Weight of earlier steps in the moving sums of reported slots, so that they cover two seconds.
const DECAY: f64 = 0.7;
/// Reported slots, as a moving sum, from which on the utilization of a region counts as known.
const MIN_REPORTED_SLOTS: f64 = 12.0;
/// Part of its share by even demand that a region with few slots keeps before demand is known. Demand of
/// a region varies by half: too much of it overloads the few slots here, and is a small part elsewhere.
const OWN_PART: f64 = 0.8;
/// Part of a region's slots; if less is left from one step to the next, that is the step's reason.
const KEPT_PART: f64 = 0.9;
/// Slots that every region counts as having to spare, so that none is left out.
const MIN_SPARE_SLOTS: f64 = 0.25;

/// What a VM knows of one region's targets at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// The region.
    pub region: String,
    /// Slots of its targets that are open.
    pub open_slots: f64,
    /// Slots of those open targets whose processes are not known to be gone.
    pub usable_slots: f64,
    /// Requests at the targets with a recent report.
    pub reported_used: f64,
    /// Slots of the targets with a recent report.
    pub reported_slots: f64,
}

/// Why the shares are as they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareReason {
    /// By slots, with even demand assumed.
    #[default]
    Slots,
    /// Regions were unequally utilized.
    Utilization,
    /// A region lost some of its slots, or all.
    SlotsLost,
    /// No region is busy: the shares return to those by slots.
    Idle,
    /// The registrations are not current: the shares are kept.
    Stale,
}

impl ShareReason {
    /// Whether it is no part of the usual adjustment, which alternates between its reasons.
    pub fn is_exceptional(self) -> bool {
        matches!(self, Self::SlotsLost | Self::Stale)
    }

    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Utilization => "utilization",
            Self::SlotsLost => "slots-lost",
            Self::Idle => "idle",
            Self::Stale => "stale",
        }
    }
}

/// One region's share, with its reported utilization.
#[derive(Clone, Debug, PartialEq)]
struct RegionShare {
    region: String,
    share: f64,
    used: f64,
    slots: f64,
    /// Usable slots at the last step.
    usable_slots: f64,
}

impl RegionShare {
    fn utilization(&self) -> Option<f64> {
        (self.slots >= MIN_REPORTED_SLOTS).then(|| self.used / self.slots)
    }
}

/// The shares of all regions; they add up to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionShares {
    regions: Vec<RegionShare>,
    reason: ShareReason,
}

impl RegionShares {
    /// The shares of the objects of region `own` by slots alone.
    pub fn by_slots(own: &str, capacities: &[RegionCapacity]) -> Self {
        let shares = even_demand_shares(own, capacities);
        let region = |(capacity, share): (&RegionCapacity, f64)| RegionShare {
            region: capacity.region.clone(),
            share,
            used: 0.0,
            slots: 0.0,
            usable_slots: capacity.usable_slots,
        };
        Self {
            regions: capacities.iter().zip(shares).map(region).collect(),
            reason: ShareReason::Slots,
        }
    }

    /// The shares at which `level` of the objects of region `own` run in other regions.
    pub fn at_level(own: &str, level: f64, capacities: &[RegionCapacity]) -> Self {
        let mut shares = Self::by_slots(own, capacities);
        let remote = 1.0 - shares.share(own);
        for region in &mut shares.regions {
            region.share = match region.region == own {
                true => 1.0 - level,
                false => region.share * level / remote.max(f64::MIN_POSITIVE),
            };
        }
        shares.normalize();
        shares
    }

    /// The share of a region.
    pub fn share(&self, region: &str) -> f64 {
        let known = self.regions.iter().find(|known| known.region == region);
        known.map_or(0.0, |known| known.share)
    }

    /// All regions with their shares.
    pub fn all(&self) -> impl Iterator<Item = (String, f64)> {
        let regions = self.regions.iter();
        regions.map(|region| (region.region.clone(), region.share))
    }

    /// Why the shares are as they are.
    pub fn reason(&self) -> ShareReason {
        self.reason
    }

    /// Records that the registrations are not current, so that the shares stay.
    pub fn hold(&mut self) {
        self.reason = ShareReason::Stale;
    }

    /// Adjusts the shares of the objects of region `own` by one step. `demand` is the number of slots
    /// that the region's requests need.
    pub fn step(&mut self, own: &str, capacities: &[RegionCapacity], demand: f64) {
        self.record(capacities);
        let by_slots = even_demand_shares(own, capacities);
        if capacities.iter().all(|known| known.usable_slots <= 0.0) {
            // This VM is cut off from all targets, or there are none.
            return;
        }
        if self.drop_lost(own, capacities) {
            self.reason = ShareReason::SlotsLost;
            return;
        }
        let known = self.regions.iter().filter_map(RegionShare::utilization);
        let (least, most) = known.fold((f64::MAX, 0.0_f64), |(least, most), utilization| {
            (least.min(utilization), most.max(utilization))
        });
        let is_returning = self.is_returning(&by_slots, most);
        let has_room = least < SPARE_UTILIZATION;
        let max_change = |usual: f64| {
            if is_returning {
                MAX_RETURN_CHANGE
            } else {
                usual
            }
        };
        if most < IDLE_UTILIZATION {
            self.reason = ShareReason::Idle;
            self.approach(&by_slots, max_change(MAX_IDLE_CHANGE));
        } else if is_returning || (has_room && most - least > BALANCED_DIFFERENCE) {
            self.reason = ShareReason::Utilization;
            let equal = self.equal_utilization_shares(capacities, &by_slots, demand);
            self.approach(&equal, max_change(MAX_CHANGE));
        }
    }

    /// Whether a region has far less than its share by slots although it is not the busiest, or nothing
    /// is known of its utilization.
    fn is_returning(&self, by_slots: &[f64], most: f64) -> bool {
        iter::zip(&self.regions, by_slots).any(|(region, by_slots)| {
            let is_busy = region
                .utilization()
                .is_some_and(|utilization| utilization > most - BALANCED_DIFFERENCE);
            region.share < by_slots * RETURN_PART && !is_busy
        })
    }

    /// Takes over the reports, and the regions if they changed.
    fn record(&mut self, capacities: &[RegionCapacity]) {
        let before = std::mem::take(&mut self.regions);
        for capacity in capacities {
            let known = before.iter().find(|known| known.region == capacity.region);
            let unknown = || RegionShare {
                region: capacity.region.clone(),
                share: 0.0,
                used: 0.0,
                slots: 0.0,
                usable_slots: capacity.usable_slots,
            };
            let mut region = known.cloned().unwrap_or_else(unknown);
            region.used = region.used * DECAY + capacity.reported_used;
            region.slots = region.slots * DECAY + capacity.reported_slots;
            self.regions.push(region);
        }
        self.normalize();
    }

    /// Moves the shares of slots that are lost at once, since their requests run elsewhere in any case;
    /// returns whether a region lost a significant part. Other regions than `own` take them as far as there
    /// are any: the few targets of this region would forget the objects that they have cached.
    fn drop_lost(&mut self, own: &str, capacities: &[RegionCapacity]) -> bool {
        let mut kept = 1.0_f64;
        for (region, capacity) in self.regions.iter_mut().zip(capacities) {
            // A region that had no slots before loses none.
            let part = match region.usable_slots > 0.0 {
                true => capacity.usable_slots / region.usable_slots,
                false => 1.0,
            };
            region.share *= part.min(1.0);
            region.usable_slots = capacity.usable_slots;
            kept = kept.min(part);
        }
        let sum = |is_own: bool| -> f64 {
            let regions = self.regions.iter();
            let regions = regions.filter(|region| (region.region == own) == is_own);
            regions.map(|region| region.share).sum()
        };
        let (local, remote) = (sum(true), sum(false));
        if remote > 0.0 {
            for region in self
                .regions
                .iter_mut()
                .filter(|region| region.region != own)
            {
                region.share *= (1.0 - local) / remote;
            }
        }
        self.normalize();
        kept < KEPT_PART
    }

    fn normalize(&mut self) {
        let sum: f64 = self.regions.iter().map(|region| region.share).sum();
        let even = 1.0 / self.regions.len().max(1) as f64;
        for region in &mut self.regions {
            region.share = match sum > 0.0 {
                true => region.share / sum,
                false => even,
            };
        }
    }

    /// The shares at which all regions are equally utilized: a region's requests there change by the
    /// slots that it is short of, or has beyond, the mean utilization. The share of a region whose
    /// utilization is unknown is that by slots.
    fn equal_utilization_shares(
        &self,
        capacities: &[RegionCapacity],
        by_slots: &[f64],
        demand: f64,
    ) -> Vec<f64> {
        let all = || self.regions.iter().zip(capacities);
        let known = all().filter_map(|(region, capacity)| {
            let utilization = region.utilization()?;
            Some((utilization * capacity.usable_slots, capacity.usable_slots))
        });
        let (used, slots) = known.fold((0.0, 0.0), |sum, known| (sum.0 + known.0, sum.1 + known.1));
        let mean = used / f64::max(slots, 1.0);
        let shares = all().zip(by_slots).map(|((region, capacity), by_slots)| {
            region.utilization().map_or(*by_slots, |utilization| {
                let spare = (mean - utilization) * capacity.usable_slots;
                (region.share + spare / demand.max(1.0)).clamp(0.0, 1.0)
            })
        });
        shares.collect()
    }

    /// Moves the shares towards `aims`, by `GAIN` of the difference and at most `max_change`.
    fn approach(&mut self, aims: &[f64], max_change: f64) {
        let sum = aims.iter().sum::<f64>();
        if sum <= 0.0 {
            return;
        }
        let pairs = || iter::zip(&self.regions, aims);
        let rise = pairs().map(|(region, aim)| (aim / sum - region.share).max(0.0));
        let rise: f64 = rise.sum();
        let part = GAIN.min(max_change / rise.max(f64::MIN_POSITIVE));
        for (region, aim) in iter::zip(&mut self.regions, aims) {
            region.share += (aim / sum - region.share) * part;
        }
    }
}

/// The shares of the objects of region `own` by slots, as if each region that has registered targets had
/// the same demand. The own share is lower by `OWN_PART`.
fn even_demand_shares(own: &str, capacities: &[RegionCapacity]) -> Vec<f64> {
    let slots: f64 = capacities.iter().map(|region| region.usable_slots).sum();
    let even = slots / capacities.len().max(1) as f64;
    let local = |region: &RegionCapacity| region.region == own;
    let own_slots = capacities.iter().filter(|region| local(region));
    let own_slots: f64 = own_slots.map(|region| region.usable_slots).sum();
    let own_share = (own_slots / even.max(f64::MIN_POSITIVE)).min(1.0) * OWN_PART;
    let spare = |region: &RegionCapacity| match region.usable_slots > 0.0 && !local(region) {
        true => (region.usable_slots - even).max(MIN_SPARE_SLOTS),
        false => 0.0,
    };
    let all_spare: f64 = capacities.iter().map(spare).sum();
    let shares = capacities.iter().map(|region| match local(region) {
        true => own_share,
        false => (1.0 - own_share) * spare(region) / all_spare.max(f64::MIN_POSITIVE),
    });
    shares.collect()
}
