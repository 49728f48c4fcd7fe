//! Slow start of a target by its responses.
//!
//! This handles a load pattern in which many VMs share a target that has just started, or has been
//! without requests: each VM sends it a request a second or less, but all of them return at the same
//! moment, and the target is slower than its peers at first. Each VM lets a share of objects through,
//! chosen by a hash that is the same at all VMs; the others run at the next target in order of
//! preference. The share follows the load that the target reports, whichever VM received the report.
//! Elapsed time never raises it.

use crate::health::ResultKind;
use crate::rendezvous;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::stamp::TimeStamp;
use derive_more::Display;
use std::time::Duration;

/// First share of a warm-up; the report of one request in four is enough to judge the target soon.
const INITIAL_SHARE: f64 = 0.25;
/// Least share, so that a target that does badly is still judged.
const MIN_SHARE: f64 = 1.0 / 16.0;
/// Largest share while the target is cold: its limit hides how it would answer to more.
const COLD_SHARE: f64 = 0.5;
/// Increase of the share after a setback; before, it doubles.
const SHARE_STEP: f64 = 0.125;
/// Latencies of which the mean is judged: a few requests of a service take several times as long.
const LATENCY_SAMPLES: u32 = 4;
/// Load beyond that of warm peers at which the target still does well: one request more on 4 slots.
const LOAD_MULTIPLE: f64 = 1.25;
/// Requests for each slot up to which a target has room, as few of them queue.
const BUSY_LOAD: f64 = 0.8;
/// Requests for each slot from which on a target has no room for what others would get.
const FULL_LOAD: f64 = 1.0;
/// Latency, as a multiple of that of first visits at the service, from which on the target is slow.
const SLOW_MULTIPLE: f64 = 1.75;
/// By how much more than their own share the peers of targets that warm up are loaded at most.
const PEER_EXTRA: f64 = 0.25;
/// Requests in a row that are sent elsewhere without any report, after which one is a trial.
const HELD_PER_TRIAL: u32 = 8;
/// Weight of the newest report in the moving average of the peers' load.
const EWMA_WEIGHT: f64 = 0.05;
/// After this long without a report the service's targets are taken not to report their load.
const REPORT_EXPIRY: Duration = Duration::from_secs(10);
/// Makes the hash that selects objects independent of the one that ranks targets.
const SHARE_SALT: u64 = 0x7761_726d_2d75_7021;

/// Why a warm-up begins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WarmupCause {
    /// The target registered anew.
    #[display("registered")]
    Registered,
    /// It is cold.
    #[display("cold")]
    Cold,
    /// It asked for a pause.
    #[display("pause")]
    Pause,
    /// Requests to it failed, or its process was gone.
    #[display("failures")]
    Failures,
    /// Its drain has ended.
    #[display("drain")]
    Drain,
    /// The evacuation of its failure domain has ended.
    #[display("evacuation")]
    Evacuation,
    /// This VM was cut off from it.
    #[display("cut-off")]
    CutOff,
}

/// Why a share was lowered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SetbackCause {
    /// More requests queue at the target than at its peers.
    #[display("queue")]
    Queue,
    /// Its responses take longer than those of its peers.
    #[display("slow")]
    Slow,
    /// It refused a request.
    #[display("refused")]
    Refused,
    /// A request failed.
    #[display("failed")]
    Failed,
}

/// A change of a target's warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupChange {
    /// It began.
    Begun(WarmupCause),
    /// It ended: the target carries its share.
    Ended,
    /// Its share was lowered.
    SetBack(SetbackCause),
}

/// One observation of a target.
#[derive(Clone, Copy, Debug)]
pub struct WarmupSample {
    /// The load that it reported.
    pub load: TargetLoad,
    /// Latency as a multiple of that of a first visit at the service, where it is known and the
    /// request did not queue.
    pub slowness: Option<f64>,
    /// Service time of the service; a load reflects a share after this time.
    pub service_time: Duration,
    /// Whether the target is cold.
    pub is_cold: bool,
}

/// Moving average of the load of a service's targets that are not warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    average: Option<f64>,
    reported_at: Option<TimeStamp>,
}

impl PeerLoad {
    /// Records a report; `is_warming` of a target that warms up. Returns whether it is the first.
    pub fn record(&mut self, load: TargetLoad, is_warming: bool) -> bool {
        let is_first = self.reported_at.is_none();
        self.reported_at = self.reported_at.max(Some(load.received_at));
        if !is_warming {
            let fill = fill(load);
            self.average = Some(self.average.map_or(fill, |average| {
                average * (1.0 - EWMA_WEIGHT) + fill * EWMA_WEIGHT
            }));
        }
        is_first
    }

    /// Whether the service's targets report their load.
    pub fn is_reported(&self, now: TimeStamp) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < REPORT_EXPIRY)
    }

    /// Requests for each slot; targets that nothing is known of are taken to be just busy.
    fn average(&self) -> f64 {
        self.average.unwrap_or(1.0)
    }
}

/// Requests at a target for each of its slots.
fn fill(load: TargetLoad) -> f64 {
    (f64::from(load.running) + f64::from(load.waiting)) / f64::from(load.slots.max(1))
}

/// Warm-up of one target at this VM.
#[derive(Clone, Copy, Debug)]
pub struct TargetWarmup {
    /// Share of objects that it gets; `None` while it is not warming up.
    share: Option<f64>,
    /// When the share changed last.
    changed_at: TimeStamp,
    /// Whether the share has grown in this warm-up.
    has_grown: bool,
    /// Whether the share was lowered in this warm-up.
    was_set_back: bool,
    /// Latencies since the share changed, and the sum of their multiples of the usual one.
    latencies: u32,
    slowness_sum: f64,
    /// Requests sent elsewhere since there was news of the target.
    held: u32,
}

impl Default for TargetWarmup {
    fn default() -> Self {
        Self {
            share: None,
            changed_at: TimeStamp::ZERO,
            has_grown: false,
            was_set_back: false,
            latencies: 0,
            slowness_sum: 0.0,
            held: 0,
        }
    }
}

impl TargetWarmup {
    /// Share of objects that the target gets, `None` while it is not warming up.
    pub fn share(&self) -> Option<f64> {
        self.share
    }

    /// Begins a warm-up of which responses count from `from` on; returns whether none was under way.
    pub fn begin(&mut self, from: TimeStamp) -> bool {
        let first = match self.share {
            None => INITIAL_SHARE,
            Some(share) if self.has_grown => share.min(INITIAL_SHARE) / 2.0,
            Some(share) => share.min(INITIAL_SHARE),
        };
        let is_new = self.share.is_none();
        *self = Self {
            share: Some(first.max(MIN_SHARE)),
            changed_at: from.max(self.changed_at),
            ..Self::default()
        };
        is_new
    }

    /// Ends the warm-up without a judgement.
    pub fn cancel(&mut self) {
        self.share = None;
    }

    /// Records that a request was sent elsewhere because of the warm-up.
    pub fn record_held(&mut self) {
        self.held += 1;
    }

    /// Records that a request is sent to the target.
    pub fn record_sent(&mut self) {
        self.held = 0;
    }

    /// Whether the next request is a trial, as nothing is heard of the target.
    pub fn is_trial_due(&self) -> bool {
        self.held >= HELD_PER_TRIAL
    }

    /// Judges a report of the target, whichever VM received it.
    pub fn judge(&mut self, sample: WarmupSample, peers: &PeerLoad) -> Option<WarmupChange> {
        let share = self.share?;
        let reflects_from = self.changed_at.after(sample.service_time);
        if sample.load.received_at < reflects_from {
            return None;
        }
        self.held = 0;
        let fill = fill(sample.load);
        let peer_fill = peers.average();
        if self.is_slow(sample.slowness) {
            return self.set_back(SetbackCause::Slow, sample.load.received_at);
        }
        if sample.load.waiting > 0 && fill > LOAD_MULTIPLE * peer_fill.max(1.0) {
            return self.set_back(SetbackCause::Queue, sample.load.received_at);
        }
        let next = self.next_share(share, sample.is_cold);
        let allowed = LOAD_MULTIPLE * peer_fill.max(BUSY_LOAD);
        let does_well = fill <= peer_fill || fill * (next / share).max(1.0) <= allowed;
        if !does_well {
            return None;
        }
        if share >= 1.0 && !sample.is_cold {
            *self = Self::default();
            return Some(WarmupChange::Ended);
        }
        if next > share {
            self.forget();
            self.share = Some(next);
            self.has_grown = true;
            self.changed_at = sample.load.received_at;
        }
        None
    }

    /// Takes a latency; returns whether the mean since the last step is that of a slow target.
    fn is_slow(&mut self, slowness: Option<f64>) -> bool {
        self.latencies += u32::from(slowness.is_some());
        self.slowness_sum += slowness.unwrap_or_default();
        let mean = self.slowness_sum / f64::from(self.latencies.max(1));
        self.latencies >= LATENCY_SAMPLES && mean > SLOW_MULTIPLE
    }

    /// Forgets what was observed under the share so far.
    fn forget(&mut self) {
        self.latencies = 0;
        self.slowness_sum = 0.0;
    }

    fn next_share(&self, share: f64, is_cold: bool) -> f64 {
        let next = match self.was_set_back {
            true => share + SHARE_STEP,
            false => share * 2.0,
        };
        next.min(if is_cold { COLD_SHARE } else { 1.0 })
    }

    /// Judges how a request of this VM that began at `begun` ended without a response of use.
    pub fn judge_end(
        &mut self,
        kind: ResultKind,
        begun: TimeStamp,
        now: TimeStamp,
    ) -> Option<WarmupChange> {
        let cause = match kind {
            ResultKind::Answered | ResultKind::Cancelled => return None,
            ResultKind::Shed => SetbackCause::Refused,
            ResultKind::ConnectFailed
            | ResultKind::Refused
            | ResultKind::TimedOut
            | ResultKind::Errored => SetbackCause::Failed,
        };
        match begun < self.changed_at {
            true => None,
            false => self.set_back(cause, now),
        }
    }

    /// Halves the share, once for all that was sent under the same share.
    fn set_back(&mut self, cause: SetbackCause, at: TimeStamp) -> Option<WarmupChange> {
        let share = self.share?;
        let lower = (share / 2.0).max(MIN_SHARE);
        self.was_set_back = true;
        self.forget();
        self.changed_at = at;
        self.share = Some(lower);
        (lower < share).then_some(WarmupChange::SetBack(cause))
    }
}

/// The least share of any target where `warming` of `usable` targets are warming up, so that the
/// others have room for what they get instead, and it is at most `PEER_EXTRA` of their own share.
pub fn least_share(warming: usize, usable: usize, peers: &PeerLoad) -> f64 {
    let extra = (FULL_LOAD / peers.average().max(f64::EPSILON) - 1.0).clamp(0.0, PEER_EXTRA);
    let warming = warming as f64 / usable.max(1) as f64;
    1.0 - extra * (1.0 - warming) / warming.max(f64::EPSILON)
}

/// Whether an object belongs to the share that a target gets; shares are nested and the same at all
/// VMs. Requests without an object are let in at random.
pub fn is_admitted(object: Option<u64>, target: u64, share: f64) -> bool {
    let hash = object.map_or_else(rand::random, |object| {
        rendezvous::score(object, target ^ SHARE_SALT)
    });
    (hash as f64 / u64::MAX as f64) < share
}
