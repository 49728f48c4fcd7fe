//! The parts that a VM holds.

use crate::grant::{EVEN_PART, HALF_LIFE, PART_LIFE};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;

/// A part of one customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldPart {
    part: f64,
    /// When the question was sent that the head answered with it.
    asked: TimeStamp,
}

/// The parts that a VM holds of all customers' limits.
#[derive(Clone, Debug, Default)]
pub struct PartHolder {
    parts: FastMap<String, HeldPart>,
}

/// What of a part may still be used a while after it was asked for.
pub(super) fn usable(part: f64, asked: TimeStamp, now: TimeStamp) -> f64 {
    let age = now.since(asked);
    if age < PART_LIFE {
        part
    } else if age < PART_LIFE + HALF_LIFE {
        part / 2.0
    } else {
        0.0
    }
}

impl PartHolder {
    /// Takes the part that the head answered to a question sent at `asked`.
    pub fn take(&mut self, customer: &str, part: f64, asked: TimeStamp) {
        let held = HeldPart { part, asked };
        self.parts.insert(customer.to_owned(), held);
    }

    /// What this VM holds of a customer's limit beside the even part.
    pub fn held(&self, customer: &str, now: TimeStamp) -> f64 {
        let held = self.parts.get(customer);
        held.map_or(0.0, |held| usable(held.part, held.asked, now))
    }

    /// What this VM may use of a customer's limit, among `vms` that live.
    pub fn usable(&self, customer: &str, vms: usize, now: TimeStamp) -> f64 {
        EVEN_PART / vms.max(1) as f64 + self.held(customer, now)
    }
}
