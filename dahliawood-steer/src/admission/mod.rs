//! Fair admission when something other than slots is short, such as headroom on a link.
//!
//! Requests that wait for a slot are shared out by the fair queue; requests without headroom are
//! refused at once instead of queued. During a shortage this gate divides what can be served among
//! customers by weighted max-min fairness: a customer that sends less than its share is admitted in
//! full, the others get equal shares by weight. Without a shortage the gate is open. Shares follow
//! arrivals with a delay of one or two windows. After a shortage the gate raises the shares, by a
//! tenth in the first window, so some requests are then still refused for lack of headroom.

use crate::split;
use dahliawood_model::FastMap;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Interval at which shares are computed.
pub const WINDOW: Duration = Duration::from_millis(200);
/// Growth factor of the shares in the first window without a shortage; each further window in a row
/// raises the factor by this much again.
const GROWTH: f64 = 1.1;
/// Weight of the newest window in the moving average of a customer's rate.
const EWMA_WEIGHT: f64 = 0.5;
/// Minimum share, requests per window, so that a closed gate still notices when headroom returns.
const MIN_SHARE: f64 = 1.0;
/// Rate, requests per window, up to which a customer is dropped from the table.
const IDLE_RATE: f64 = 0.01;

/// Rate and share of one customer.
#[derive(Clone, Debug)]
struct CustomerFlow {
    weight: f64,
    arrived: u32,
    /// Moving average, requests per window.
    rate: f64,
    split: split::WeightSplit,
}

/// Admits requests by customer.
#[derive(Clone, Debug, Default)]
pub struct AdmissionGate {
    flows: FastMap<Option<CustomerKey>, CustomerFlow>,
    /// Requests per window and unit of weight, `None` while the gate is open.
    share: Option<f64>,
    window_end: TimeStamp,
    admitted: u32,
    shortages: u32,
    /// Consecutive windows without a shortage.
    quiet_windows: i32,
}

impl AdmissionGate {
    /// Whether every request is admitted.
    pub fn is_open(&self) -> bool {
        self.share.is_none()
    }
}

/// Whether a request of `customer` is admitted.
pub fn admit(gate: &mut AdmissionGate, customer: Option<CustomerKey>, weight: u32) -> bool {
    let flow = gate.flows.entry(customer).or_insert_with(|| CustomerFlow {
        weight: 1.0,
        arrived: 0,
        rate: 0.0,
        split: split::WeightSplit::new(split::FULL_WEIGHT),
    });
    flow.weight = f64::from(weight.max(1));
    flow.arrived += 1;
    let is_admitted = flow.split.keep_next();
    gate.admitted += u32::from(is_admitted);
    is_admitted
}

/// Records that an admitted request found no headroom.
pub fn record_shortage(gate: &mut AdmissionGate) {
    gate.shortages += 1;
}

/// Recomputes the shares if a window has ended. Call it every tick.
pub fn tick(gate: &mut AdmissionGate, now: TimeStamp) {
    if now < gate.window_end {
        return;
    }
    gate.window_end = now.after(WINDOW);
    for flow in gate.flows.values_mut() {
        flow.rate += EWMA_WEIGHT * (f64::from(flow.arrived) - flow.rate);
        flow.arrived = 0;
    }
    gate.flows.retain(|_, flow| flow.rate > IDLE_RATE);
    gate.quiet_windows = if gate.shortages > 0 {
        0
    } else {
        gate.quiet_windows.saturating_add(1)
    };
    gate.share = next_share(gate);
    gate.admitted = 0;
    gate.shortages = 0;
    set_splits(gate);
}

fn next_share(gate: &AdmissionGate) -> Option<f64> {
    if gate.shortages > 0 {
        let served = f64::from(gate.admitted.saturating_sub(gate.shortages));
        return Some(max_min_share(gate, served));
    }
    let share = gate.share? * GROWTH.powi(gate.quiet_windows);
    let limited = |flow: &CustomerFlow| flow.rate > share * flow.weight;
    gate.flows.values().any(limited).then_some(share)
}

/// The share per unit of weight at which the customers use `served` requests per window in total.
fn max_min_share(gate: &AdmissionGate, served: f64) -> f64 {
    let mut flows: Vec<&CustomerFlow> = gate.flows.values().collect();
    flows.sort_by(|a, b| (a.rate / a.weight).total_cmp(&(b.rate / b.weight)));
    let mut left = served;
    let mut weight: f64 = flows.iter().map(|flow| flow.weight).sum();
    for flow in flows {
        if flow.rate * weight >= left * flow.weight {
            break;
        }
        left -= flow.rate;
        weight -= flow.weight;
    }
    (left / weight.max(1.0)).max(MIN_SHARE)
}

fn set_splits(gate: &mut AdmissionGate) {
    let share = gate.share;
    for flow in gate.flows.values_mut() {
        let kept = share.map_or(1.0, |share| share * flow.weight / flow.rate);
        let kept = kept.min(1.0) * f64::from(split::FULL_WEIGHT);
        flow.split.set_weight(kept as u32);
    }
}
