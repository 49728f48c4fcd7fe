//! Properties of fair admission.

use crate::fleet;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::admission;
use proptest::prelude::*;

/// Customers that each send a fixed number of requests per window; `headroom` of them can be
/// served.
struct GateSimulation {
    gate: admission::AdmissionGate,
    window: u64,
    sent: Vec<u32>,
    served: Vec<u32>,
}

impl GateSimulation {
    fn new(sent: Vec<u32>) -> Self {
        Self {
            gate: admission::AdmissionGate::default(),
            window: 0,
            served: vec![0; sent.len()],
            sent,
        }
    }

    /// Runs one window, with the requests of all customers interleaved evenly.
    fn window(&mut self, headroom: u32) {
        let mut left = headroom;
        self.served.fill(0);
        let largest = self.sent.iter().copied().max().unwrap_or(0);
        for round in 0..largest {
            for (customer, sent) in self.sent.iter().enumerate() {
                let is_due = (round + 1) * sent / largest > round * sent / largest;
                let key = Some(CustomerKey(customer as u32));
                if !is_due || !admission::admit(&mut self.gate, key, 1) {
                    continue;
                }
                if left == 0 {
                    admission::record_shortage(&mut self.gate);
                    continue;
                }
                left -= 1;
                self.served[customer] += 1;
            }
        }
        self.window += 1;
        let millis = admission::WINDOW.as_millis() as u64 * self.window;
        admission::tick(&mut self.gate, TimeStamp::from_millis(millis));
    }
}

#[test]
fn a_shortage_limits_only_the_largest_customer() {
    let large = 200_u32..400;
    let small = proptest::collection::vec(5_u32..20, 1..6);
    let mut runner = fleet::runner();
    let result = runner.run(&(large, small, 100_u32..180), |(large, small, headroom)| {
        let mut sent = small.clone();
        sent.push(large);
        let mut simulation = GateSimulation::new(sent);
        (0..20).for_each(|_| simulation.window(headroom));
        let mut small_served = 0;
        let mut all_served = 0;
        for _ in 0..20 {
            simulation.window(headroom);
            small_served += simulation.served[..small.len()].iter().sum::<u32>();
            all_served += simulation.served.iter().sum::<u32>();
        }
        let small_sent = 20 * small.iter().sum::<u32>();
        prop_assert!(
            small_served * 10 >= small_sent * 9,
            "{small_served} of {small_sent}"
        );
        prop_assert!(
            all_served * 10 >= 20 * headroom * 8,
            "{all_served} of {}",
            20 * headroom
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_gate_reopens_after_a_total_shortage() {
    let mut simulation = GateSimulation::new(vec![10, 300]);
    (0..10).for_each(|_| simulation.window(0));
    (0..20).for_each(|_| simulation.window(1_000));
    assert_eq!(simulation.served, [10, 300]);
}

#[test]
fn the_gate_reopens_when_headroom_returns() {
    let mut simulation = GateSimulation::new(vec![10, 300]);
    (0..10).for_each(|_| simulation.window(50));
    assert!(!simulation.gate.is_open());
    (0..20).for_each(|_| simulation.window(1_000));
    assert!(simulation.gate.is_open());
    assert_eq!(simulation.served, [10, 300]);
}
