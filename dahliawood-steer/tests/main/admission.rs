//! Properties of fair refusal.

use crate::fleet;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::admission;
use proptest::prelude::*;

/// Customers that send a number of requests each window through a way that fits `room`.
struct GateBench {
    gate: admission::AdmissionGate,
    window: u64,
    sent: Vec<u32>,
    served: Vec<u32>,
}

impl GateBench {
    fn new(sent: Vec<u32>) -> Self {
        Self {
            gate: admission::AdmissionGate::default(),
            window: 0,
            served: vec![0; sent.len()],
            sent,
        }
    }

    /// One window, the requests of all customers mixed evenly.
    fn window(&mut self, room: u32) {
        let mut left = room;
        self.served.fill(0);
        let most = self.sent.iter().copied().max().unwrap_or(0);
        for turn in 0..most {
            for (customer, sent) in self.sent.iter().enumerate() {
                let due = (turn + 1) * sent / most > turn * sent / most;
                let key = Some(CustomerKey(customer as u32));
                if !due || !admission::admit(&mut self.gate, key, 1) {
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
fn a_shortage_falls_on_the_largest() {
    let large = 200_u32..400;
    let small = proptest::collection::vec(5_u32..20, 1..6);
    let mut runner = fleet::runner();
    let result = runner.run(&(large, small, 100_u32..180), |(large, small, room)| {
        let mut sent = small.clone();
        sent.push(large);
        let mut bench = GateBench::new(sent);
        (0..20).for_each(|_| bench.window(room));
        let mut small_served = 0;
        let mut all_served = 0;
        for _ in 0..20 {
            bench.window(room);
            small_served += bench.served[..small.len()].iter().sum::<u32>();
            all_served += bench.served.iter().sum::<u32>();
        }
        let small_sent = 20 * small.iter().sum::<u32>();
        prop_assert!(
            small_served * 10 >= small_sent * 9,
            "{small_served} of {small_sent}"
        );
        prop_assert!(
            all_served * 10 >= 20 * room * 8,
            "{all_served} of {}",
            20 * room
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_gate_opens_again_after_nothing_fitted() {
    let mut bench = GateBench::new(vec![10, 300]);
    (0..10).for_each(|_| bench.window(0));
    (0..20).for_each(|_| bench.window(1_000));
    assert_eq!(bench.served, [10, 300]);
}

#[test]
fn the_gate_opens_again() {
    let mut bench = GateBench::new(vec![10, 300]);
    (0..10).for_each(|_| bench.window(50));
    assert!(!bench.gate.is_open());
    (0..20).for_each(|_| bench.window(1_000));
    assert!(bench.gate.is_open());
    assert_eq!(bench.served, [10, 300]);
}
