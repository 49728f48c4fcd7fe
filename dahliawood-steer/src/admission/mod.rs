//! Fair refusal where something other than slots is short, such as headroom on a link.
//!
//! A queue is fair while requests can wait; what has no room now is refused at once instead. This
//! gate then divides what does fit by customer, max-min by weight: a customer that asks for less
//! than its share is let through whole, the others get equal shares. It is open while nothing is
//! short. Shares follow arrivals with a delay of one or two windows, and after a shortage it
//! tries a tenth more, so that some requests are still refused for lack of room after it.

use crate::split;
use dahliawood_model::FastMap;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How often shares are computed.
pub const WINDOW: Duration = Duration::from_millis(200);
/// Growth of the shares in the first window in which nothing was short; each further one grows
/// them by this much more.
const GROWTH: f64 = 1.1;
/// Weight of the newest window in a customer's rate.
const NEWEST_WEIGHT: f64 = 0.5;
/// The smallest share, requests a window, so that a closed gate still finds out what fits.
const SMALLEST_SHARE: f64 = 1.0;
/// Requests a window below which a customer is forgotten.
const FORGOTTEN_RATE: f64 = 0.01;

/// One customer at the gate.
#[derive(Clone, Debug)]
struct CustomerFlow {
    weight: f64,
    arrived: u32,
    /// Requests a window, as a moving average.
    rate: f64,
    split: split::WeightSplit,
}

/// Lets requests through by customer.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    flows: FastMap<Option<CustomerKey>, CustomerFlow>,
    /// Requests a window for each unit of weight, `None` while the gate is open.
    share: Option<f64>,
    window_end: TimeStamp,
    passed: u32,
    short: u32,
    /// Windows in a row in which nothing was short.
    calm: i32,
}

impl AdmissionGate {
    /// Whether every request is let through.
    pub fn is_open(&self) -> bool {
        self.share.is_none()
    }
}

/// Whether a request of `customer` is let through.
pub fn admit(gate: &mut AdmissionGate, customer: Option<CustomerKey>, weight: u32) -> bool {
    let flow = gate.flows.entry(customer).or_insert_with(|| CustomerFlow {
        weight: 1.0,
        arrived: 0,
        rate: 0.0,
        split: split::WeightSplit::new(split::FULL_WEIGHT),
    });
    flow.weight = f64::from(weight.max(1));
    flow.arrived += 1;
    let passes = flow.split.keep_next();
    gate.passed += u32::from(passes);
    passes
}

/// Notes that a request that was let through found no room.
pub fn record_shortage(gate: &mut AdmissionGate) {
    gate.short += 1;
}

/// Computes the shares anew where a window has ended. Run it each tick.
pub fn tick(gate: &mut AdmissionGate, now: TimeStamp) {
    if now < gate.window_end {
        return;
    }
    gate.window_end = now.after(WINDOW);
    for flow in gate.flows.values_mut() {
        flow.rate += NEWEST_WEIGHT * (f64::from(flow.arrived) - flow.rate);
        flow.arrived = 0;
    }
    gate.flows.retain(|_, flow| flow.rate > FORGOTTEN_RATE);
    gate.calm = if gate.short > 0 {
        0
    } else {
        gate.calm.saturating_add(1)
    };
    gate.share = next_share(gate);
    gate.passed = 0;
    gate.short = 0;
    set_splits(gate);
}

fn next_share(gate: &AdmissionGate) -> Option<f64> {
    if gate.short > 0 {
        let fitted = f64::from(gate.passed.saturating_sub(gate.short));
        return Some(max_min_share(gate, fitted));
    }
    let share = gate.share? * GROWTH.powi(gate.calm);
    let limited = |flow: &CustomerFlow| flow.rate > share * flow.weight;
    gate.flows.values().any(limited).then_some(share)
}

/// The share by weight at which the customers together use `fitted` requests a window.
fn max_min_share(gate: &AdmissionGate, fitted: f64) -> f64 {
    let mut flows: Vec<&CustomerFlow> = gate.flows.values().collect();
    flows.sort_by(|a, b| (a.rate / a.weight).total_cmp(&(b.rate / b.weight)));
    let mut left = fitted;
    let mut weight: f64 = flows.iter().map(|flow| flow.weight).sum();
    for flow in flows {
        if flow.rate * weight >= left * flow.weight {
            break;
        }
        left -= flow.rate;
        weight -= flow.weight;
    }
    (left / weight.max(1.0)).max(SMALLEST_SHARE)
}

fn set_splits(gate: &mut AdmissionGate) {
    let share = gate.share;
    for flow in gate.flows.values_mut() {
        let kept = share.map_or(1.0, |share| share * flow.weight / flow.rate);
        let kept = kept.min(1.0) * f64::from(split::FULL_WEIGHT);
        flow.split.set_weight(kept as u32);
    }
}
