//! The baseline that policies are compared with: one central queue in front of all slots.
//!
//! The queue learns of a free slot without delay, and a request occupies its slot for the service
//! time alone. The network latency to each target and back is that within a region, wherever the
//! target is. The queue does not know which target is slow or cold.

use super::event_queue::EventQueue;
use super::load::{LoadCase, LoadRequest, WITHIN_REGION_US};
use super::score::RunScore;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CentralEvent {
    Arrival(usize),
    Done(usize),
}

/// Simulates a case with the central queue.
pub fn run(case: &LoadCase, requests: &[LoadRequest]) -> RunScore {
    let mut score = RunScore::new(case, requests);
    let mut events = EventQueue::new();
    for (index, request) in requests.iter().enumerate() {
        events.schedule(request.arrival_us, CentralEvent::Arrival(index));
    }
    let mut free = vec![case.size.slots; case.size.targets];
    let mut served = vec![0; case.size.targets];
    let mut queue = VecDeque::new();
    while let Some((now_us, event)) = events.next() {
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
            events.schedule(done_us, CentralEvent::Done(target));
            score.answered(&requests[index], done_us + 2 * WITHIN_REGION_US);
        }
    }
    score
}
