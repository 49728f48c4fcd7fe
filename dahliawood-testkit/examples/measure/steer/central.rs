//! One queue over all slots with full knowledge, the bound that policies are held to.
//!
//! It knows of a free slot at once, and a slot is taken for the service time alone; the way to the
//! target and back is that inside a region, wherever the target is. It does not know which target
//! is slow or cold.

use super::clock::EventClock;
use super::load::{LoadCase, LoadRequest, NEAR_US};
use super::score::RunScore;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CentralEvent {
    Arrival(usize),
    Done(usize),
}

/// Runs a case.
pub fn run(case: &LoadCase, requests: &[LoadRequest]) -> RunScore {
    let mut score = RunScore::new(case, requests);
    let mut clock = EventClock::new();
    for (index, request) in requests.iter().enumerate() {
        clock.at(request.arrival_us, CentralEvent::Arrival(index));
    }
    let mut free = vec![case.size.slots; case.size.targets];
    let mut served = vec![0; case.size.targets];
    let mut queue = VecDeque::new();
    while let Some((now_us, event)) = clock.next() {
        match event {
            CentralEvent::Arrival(index) => queue.push_back(index),
            CentralEvent::Done(target) => free[target] += 1,
        }
        while let Some(index) = queue.front().copied() {
            let most_free = (0..free.len()).max_by_key(|target| free[*target]);
            let Some(target) = most_free.filter(|target| free[*target] > 0) else {
                break;
            };
            queue.pop_front();
            free[target] -= 1;
            let demand_us = requests[index].demand_us;
            let service_us = case.service_us(target, demand_us, served[target]);
            served[target] += 1;
            let done_us = now_us + service_us;
            clock.at(done_us, CentralEvent::Done(target));
            score.answered(&requests[index], done_us + 2 * NEAR_US);
        }
    }
    score
}
