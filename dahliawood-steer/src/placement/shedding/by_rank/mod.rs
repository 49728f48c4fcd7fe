//! Divides the refused share of a service's requests among ranks.
//!
//! This handles a load pattern in which more work arrives than a service can run, and a part of it
//! is more urgent: refusals spread evenly would cost urgent requests as much as others. The lowest
//! rank is refused first; none is refused altogether.

use crate::placement::rank::RequestRank;
use dahliawood_model::stamp::TimeStamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between two adjustments.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the demand of each rank: long enough for a VM with a few requests a second to
/// see all ranks, and short beside changes of demand, which take half a minute.
const DEMAND_TIME: Duration = Duration::from_secs(5);
/// Demand, in seconds of work, below which a rank is forgotten.
const MIN_DEMAND: f64 = 1e-4;
/// Admitted share of a rank, at least, relative to that of all requests. A quarter is required; some
/// of the admitted requests find no room at a target.
const MIN_ADMITTED: f64 = 0.4;
/// Largest rise of a rank's share per second. The share of all work rises by at most a quarter of
/// this, and a rank often has a quarter of the work.
const MAX_RISE: f64 = 1.0;
/// Largest fall of a rank's share per second: callers that were refused return over two seconds.
const MAX_FALL: f64 = 0.5;
/// Longest time for which a share rises in one adjustment, so that it rises little after a pause.
const MAX_RISE_TIME: Duration = Duration::from_millis(500);
/// Time without requests after which what was recorded before is out of date: long enough for a VM
/// with one or two requests a second to keep its share.
pub const IDLE_TIME: Duration = Duration::from_secs(2);
/// A request is expected to be admitted while its rank's share is at most this.
const EXPECTED_SHARE: f64 = 0.5;

/// Largest refused share of all work, so that queues stay known.
const MAX_TOTAL: f64 = 0.8;
/// Rise of the share for each urgent request that finds no room. A VM has a few requests a second,
/// and demand rises within seconds.
const ROOM_RISE: f64 = 0.05;
/// Fall of the share for each urgent request that finds room: the share stands still while one urgent
/// request in 33 finds none.
const ROOM_FALL: f64 = ROOM_RISE / 15.0;

/// A rank whose share is beyond this part of its maximum has no more room to give.
const USED_UP: f64 = 0.9;
/// Fraction of the golden ratio: fractions of its multiples are spread evenly and follow no period.
const GOLDEN_RATIO: f64 = 0.618_034;

#[derive(Clone, Copy, Debug)]
struct RankState {
    /// Recent work that arrived, seconds.
    demand: f64,
    /// Refused share, 0 to 1.
    share: f64,
    /// Fraction of a refusal that is due.
    due: f64,
    /// By how much the next refusal is put off, 0 to 1.
    delay: f64,
}

/// The refused share of each rank at one VM.
#[derive(Clone, Debug, Default)]
pub struct RankShares {
    ranks: BTreeMap<RequestRank, RankState>,
    /// Share of all work that is refused so that urgent requests find room.
    room_share: f64,
    /// Refused share of a rank, at most.
    most: f64,
    stepped_at: TimeStamp,
    requested_at: TimeStamp,
}

impl RankShares {
    fn is_active(&self) -> bool {
        !self.ranks.is_empty()
    }

    /// The refused share of a rank.
    pub fn share(&self, rank: RequestRank) -> f64 {
        self.ranks.get(&rank).map_or(0.0, |state| state.share)
    }

    /// The part of the work that is more urgent than a rank.
    pub fn urgent_part(&self, rank: RequestRank) -> f64 {
        let demand = |state: &RankState| state.demand;
        let whole: f64 = self.ranks.values().map(demand).sum();
        let urgent: f64 = self
            .ranks
            .range(..rank)
            .map(|(_, state)| state.demand)
            .sum();
        if whole > 0.0 { urgent / whole } else { 0.0 }
    }

    /// Minimum time until a request of a rank is more likely to be admitted than refused.
    pub fn time_until_admitted(&self, rank: RequestRank) -> Duration {
        let excess = (self.share(rank) - EXPECTED_SHARE).max(0.0);
        Duration::from_secs_f64(excess / MAX_FALL)
    }

    /// The time since the last request, if it is so long that what was recorded before is out of date.
    pub fn idle_gap(&self, now: TimeStamp) -> Option<Duration> {
        let gap = now.since(self.requested_at);
        (self.is_active() && gap >= IDLE_TIME).then_some(gap)
    }

    /// Decays what was recorded before a gap without requests.
    pub fn resume(&mut self, kept: f64) {
        self.room_share *= kept;
    }

    /// Records that a request arrives, with the work that is expected of it.
    pub fn record_arrival(&mut self, rank: RequestRank, work: Duration, now: TimeStamp) {
        self.requested_at = now;
        // A rank that appears is refused as much as the next more urgent one.
        let urgent = self.ranks.range(..rank).next_back();
        let share = urgent.map_or(0.0, |(_, state)| state.share);
        let state = self.ranks.entry(rank).or_insert(RankState {
            demand: 0.0,
            share,
            due: 0.0,
            delay: 0.0,
        });
        state.demand += work.as_secs_f64();
    }

    /// Records whether an admitted request found a target with room. Where VMs know the queues well,
    /// these stay short and no delay is reported, and what finds no room is refused whatever its
    /// rank: then the lower ranks are to be refused instead, while they still can be.
    pub fn record_room(&mut self, rank: RequestRank, has_room: bool) {
        let mut lower = self.ranks.range(rank..).skip(1);
        let change = match has_room {
            true => -ROOM_FALL,
            false if lower.any(|(_, state)| state.share < self.most * USED_UP) => ROOM_RISE,
            false => 0.0,
        };
        self.room_share = (self.room_share + change).clamp(0.0, MAX_TOTAL);
    }

    /// Moves the shares of all ranks towards their parts of the refused share of all work, of which
    /// `shed` is due to queues, if a step is due at `now`.
    pub fn advance(&mut self, shed: f64, now: TimeStamp) {
        let elapsed = now.since(self.stepped_at);
        if elapsed < STEP_INTERVAL {
            return;
        }
        self.stepped_at = now;
        let kept = (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.ranks.retain(|_, state| {
            state.demand *= kept;
            state.demand >= MIN_DEMAND
        });
        let demands: Vec<f64> = self.ranks.values().map(|state| state.demand).collect();
        self.room_share = self.room_share.min(most_room(&demands));
        let total = (shed + self.room_share).min(MAX_TOTAL);
        self.most = most_refused(total);
        let rise = MAX_RISE * elapsed.min(MAX_RISE_TIME).as_secs_f64();
        let fall = MAX_FALL * elapsed.as_secs_f64();
        for (state, wanted) in self.ranks.values_mut().zip(divide(total, &demands)) {
            state.share = wanted.clamp(state.share - fall, state.share + rise);
        }
    }

    /// Whether the next request of a rank is refused. How long a refusal that is due is put off varies,
    /// so that callers that take turns are refused alike.
    pub fn take_refusal(&mut self, rank: RequestRank) -> bool {
        let Some(state) = self.ranks.get_mut(&rank) else {
            return false;
        };
        state.due += state.share;
        let is_due = state.due >= 0.5 + state.delay;
        if is_due {
            state.due -= 1.0;
            state.delay = (state.delay + GOLDEN_RATIO).fract();
        }
        is_due
    }
}

/// The refused share of each rank such that `total` of all work is refused, the lowest rank first.
/// `demands` and the shares begin with the most urgent rank.
pub fn divide(total: f64, demands: &[f64]) -> Vec<f64> {
    let most = most_refused(total);
    let mut left = total * demands.iter().sum::<f64>();
    let mut shares: Vec<f64> = Vec::with_capacity(demands.len());
    for demand in demands.iter().rev() {
        let refused = left.min(demand * most);
        left -= refused;
        shares.push(if *demand > 0.0 { refused / demand } else { 0.0 });
    }
    shares.reverse();
    shares
}

/// The refused share of a rank, at most, while `total` of all work is refused.
fn most_refused(total: f64) -> f64 {
    1.0 - MIN_ADMITTED * (1.0 - total)
}

/// The largest part of the work that may be refused to give urgent requests room: what is not of the
/// most urgent rank, and no more than there is work above the lowest rank.
fn most_room(demands: &[f64]) -> f64 {
    let whole: f64 = demands.iter().sum();
    match demands {
        [top, .., lowest] if whole > 0.0 => 1.0 - top.max(*lowest) / whole,
        _ => 0.0,
    }
}
