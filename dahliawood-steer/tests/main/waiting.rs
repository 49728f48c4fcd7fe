//! Requests that wait at a VM: a replay of arrivals by rank beside the same without a queue.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::rank::RequestRank;
use dahliawood_steer::placement::waiting::limit::{RequestTimes, StartLimit};
use dahliawood_steer::placement::waiting::{
    JoinRefusal, MAX_REQUESTS, QueueEvent, TurnAnswer, WaitEnd, WaitKey, WaitRequest, WaitingQueue,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const START: TimeStamp = TimeStamp::from_millis(1_000_000);
const SERVICE: &str = "service";
const SLOTS: usize = 16;
const WORK: Duration = Duration::from_millis(400);
const LATENCY: Duration = Duration::from_secs(2);
const HOLD: Duration = Duration::from_millis(250);
const SECONDS: u64 = 60;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limit(arrived: TimeStamp) -> StartLimit {
    StartLimit::new(RequestTimes {
        arrived,
        deadline: arrived.after(LATENCY * 2),
        target_latency: LATENCY,
        work: WORK,
    })
}

/// A request of a route's priority and a customer.
fn request(route: u32, customer: u64, now: TimeStamp) -> WaitRequest<'static> {
    WaitRequest {
        service: SERVICE,
        rank: RequestRank { customer: 0, route },
        customer,
        bytes: 100,
        limit: limit(now),
        room_in: Duration::ZERO,
    }
}

/// One class of requests: its rank and its customer.
type RequestClass = (u32, u64);

#[derive(Debug, Default)]
struct ClassCount {
    offered: u32,
    served: u32,
}

impl ClassCount {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

/// A VM whose service has a number of slots and no other callers.
struct ReplayedVm {
    random: StdRng,
    queue: WaitingQueue,
    has_queue: bool,
    /// Ends of running requests, the next one on top.
    running: BinaryHeap<std::cmp::Reverse<TimeStamp>>,
    waiting: BTreeMap<WaitKey, (RequestClass, TimeStamp)>,
    counts: BTreeMap<RequestClass, ClassCount>,
    longest_hold: Duration,
}

impl ReplayedVm {
    fn room_in(&self) -> Duration {
        match self.running.len() < SLOTS {
            true => Duration::ZERO,
            false => WORK / SLOTS as u32,
        }
    }

    fn run(&mut self, class: RequestClass, now: TimeStamp) {
        let work = WORK.mul_f64(self.random.random_range(0.5..1.5));
        self.running.push(std::cmp::Reverse(now.after(work)));
        self.counts.entry(class).or_default().served += 1;
    }

    fn arrive(&mut self, class: RequestClass, now: TimeStamp) {
        self.counts.entry(class).or_default().offered += 1;
        let mut request = request(class.0, class.1, now);
        if self.running.len() < SLOTS && self.queue.may_pass(SERVICE, request.rank) {
            self.queue.record_direct_start(SERVICE, request.rank);
            return self.run(class, now);
        }
        request.room_in = self.room_in();
        if self.has_queue
            && let Ok(key) = self.queue.join(&request, now)
        {
            self.waiting.insert(key, (class, now));
        }
    }

    fn handle_events(&mut self, now: TimeStamp) {
        loop {
            let events = self.queue.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                match event {
                    QueueEvent::Refused(key, _) => {
                        let (_, arrived) = self.waiting.remove(&key).unwrap();
                        self.longest_hold = self.longest_hold.max(now.since(arrived));
                    }
                    QueueEvent::Turn(key) => self.try_start(key, now),
                }
            }
        }
    }

    fn try_start(&mut self, key: WaitKey, now: TimeStamp) {
        if self.queue.take_turn(key, now) != TurnAnswer::Granted {
            return;
        }
        if self.running.len() < SLOTS {
            let (class, _) = self.waiting.remove(&key).unwrap();
            self.queue.start(key, now);
            self.run(class, now);
        } else if !self.queue.keep(key, self.room_in(), now) {
            self.waiting.remove(&key);
        }
    }
}

/// Replays a minute of arrivals, of which `urgent` are of rank 0. Customer 1 sends nine in ten of the others.
fn replay(load: f64, urgent: f64, has_queue: bool) -> ReplayedVm {
    let mut arrivals = StdRng::seed_from_u64(7);
    let mut vm = ReplayedVm {
        random: StdRng::seed_from_u64(11),
        queue: WaitingQueue::default(),
        has_queue,
        running: BinaryHeap::new(),
        waiting: BTreeMap::new(),
        counts: BTreeMap::new(),
        longest_hold: Duration::ZERO,
    };
    let rate = SLOTS as f64 / WORK.as_secs_f64() * load;
    let mut next = START;
    while next < START.after(Duration::from_secs(SECONDS)) {
        let end = vm.running.peek().map(|end| end.0);
        let tick = vm.queue.next_tick();
        let step = [end, tick].into_iter().flatten().min();
        if let Some(now) = step.filter(|step| *step <= next) {
            if end == Some(now) {
                vm.running.pop();
                vm.queue.record_end(SERVICE, now);
            } else {
                vm.queue.tick(now);
            }
            vm.handle_events(now);
            continue;
        }
        let class = match arrivals.random_bool(urgent) {
            true => (0, 1),
            false => (1, u64::from(arrivals.random_bool(0.1)) + 1),
        };
        vm.arrive(class, next);
        vm.handle_events(next);
        let gap = -arrivals.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        next = next.after(Duration::from_secs_f64(gap));
    }
    vm
}

fn total(vm: &ReplayedVm, route: Option<u32>) -> ClassCount {
    let counts = vm.counts.iter();
    let counts = counts.filter(|((rank, _), _)| route.is_none_or(|route| route == *rank));
    counts.fold(ClassCount::default(), |sum, (_, count)| ClassCount {
        offered: sum.offered + count.offered,
        served: sum.served + count.served,
    })
}

/// Guards against a slot that goes to who asks next and not to the most urgent, against requests that are held
/// longer than an eighth of their target latency, and against a rank or a customer that starves.
#[test]
fn slots_go_to_the_most_urgent_and_no_rank_starves() {
    for urgent in [0.3, 0.7] {
        for load in [1.0, 1.3, 2.0] {
            let without = replay(load, urgent, false);
            let with = replay(load, urgent, true);
            let share = |vm, route| total(vm, route).share();
            let figures =
                [&without, &with].map(|vm| [Some(0), Some(1), None].map(|r| share(vm, r)));
            let ([urgent_before, _, all_before], [urgent_now, late_now, all_now]) =
                (figures[0], figures[1]);
            assert!(
                urgent_now > urgent_before + 0.05,
                "{urgent_before} to {urgent_now}"
            );
            assert!(all_now > all_before - 0.01, "{all_before} to {all_now}");
            assert!(urgent_now >= late_now, "{urgent_now} and {late_now}");
            assert!(late_now > all_now / 4.0, "{late_now} of {all_now}");
            let small = with.counts[&(1, 2)].share();
            assert!(
                small > late_now * 0.9,
                "the small customer: {small} of {late_now}"
            );
            assert!(with.longest_hold <= HOLD, "{:?}", with.longest_hold);
        }
    }
}

/// Guards against a VM that sends requests of which a pause left nothing, and against one whose turn is never
/// passed on because its task does not run.
#[test]
fn after_a_pause_none_is_sent_and_an_unused_turn_is_passed_on() {
    let mut queue = WaitingQueue::default();
    let first = queue.join(&request(0, 1, START), START).unwrap();
    let second = queue.join(&request(1, 1, START), START).unwrap();
    queue.record_end(SERVICE, START);
    assert_eq!(queue.take_events(), [QueueEvent::Turn(first)]);
    let later = START.after(millis(20));
    queue.tick(later);
    assert_eq!(queue.take_events(), [QueueEvent::Turn(second)]);
    assert_eq!(queue.take_turn(first, later), TurnAnswer::Passed);
    let paused = START.after(Duration::from_secs(3));
    assert_eq!(queue.take_turn(second, paused), TurnAnswer::Late);
    queue.record_end(SERVICE, paused);
    queue.tick(paused);
    assert_eq!(
        queue.take_events(),
        [QueueEvent::Refused(first, WaitEnd::Late)]
    );
    assert!(queue.is_empty() && queue.bytes() == 0 && queue.next_tick().is_none());
}

/// Guards against a customer whose burst delays the requests of others of the same rank.
#[test]
fn a_burst_of_one_customer_delays_another_by_one_turn() {
    let mut queue = WaitingQueue::default();
    let mut join = |customer| queue.join(&request(1, customer, START), START).unwrap();
    let burst = [1; 5].map(&mut join);
    let other = join(2);
    queue.record_end(SERVICE, START);
    for started in [burst[0], other, burst[1]] {
        assert_eq!(queue.take_events(), [QueueEvent::Turn(started)]);
        queue.start(started, START);
    }
}

/// Guards against requests that are held although no slot can become free in time.
#[test]
fn a_request_without_a_slot_in_time_is_refused_on_arrival() {
    let mut queue = WaitingQueue::default();
    let mut hopeless = request(0, 1, START);
    hopeless.room_in = HOLD + millis(1);
    assert_eq!(queue.join(&hopeless, START), Err(JoinRefusal::NoSlotInTime));
    // Two ends in a second: the second in the queue would wait longer than it may.
    for end in 1..=3 {
        queue.record_end(SERVICE, START.before(millis(500) * (3 - end)));
    }
    let ahead = queue.join(&request(0, 1, START), START).unwrap();
    let mut behind = request(0, 1, START);
    behind.room_in = millis(1);
    assert_eq!(queue.join(&behind, START), Err(JoinRefusal::NoSlotInTime));
    // Those ahead may wait for other targets than the one that has room for this request.
    let beside = queue.join(&request(0, 1, START), START).unwrap();
    queue.tick(START);
    queue.take_events();
    assert!(queue.keep(ahead, millis(100), START));
    assert_eq!(queue.take_events(), [QueueEvent::Turn(beside)]);
    // The deadline leaves no time for its work.
    let mut late = request(0, 1, START);
    late.limit = StartLimit::new(RequestTimes {
        arrived: START,
        deadline: START.after(WORK / 2),
        target_latency: LATENCY,
        work: WORK,
    });
    assert_eq!(queue.join(&late, START), Err(JoinRefusal::NoSlotInTime));
}

/// Guards against a queue without bounds, and against urgent requests that find it full of others.
#[test]
fn a_full_queue_makes_room_for_higher_ranks_only_and_a_closed_one_is_empty() {
    let mut queue = WaitingQueue::default();
    for customer in 0..MAX_REQUESTS as u64 {
        queue.join(&request(1, customer, START), START).unwrap();
    }
    let refused = queue.join(&request(1, 0, START), START);
    assert_eq!(refused, Err(JoinRefusal::Full));
    let urgent = queue.join(&request(0, 0, START), START).unwrap();
    let events = queue.take_events();
    assert!(
        matches!(events[..], [QueueEvent::Refused(_, WaitEnd::Displaced)]),
        "{events:?}"
    );
    assert!(!queue.may_pass(
        SERVICE,
        RequestRank {
            customer: 1,
            route: 0
        }
    ));
    queue.close(START);
    let events = queue.take_events();
    assert!(events.contains(&QueueEvent::Refused(urgent, WaitEnd::Stopped)));
    assert_eq!((events.len(), queue.bytes()), (MAX_REQUESTS, 0));
    let refused = queue.join(&request(0, 0, START), START);
    assert_eq!(refused, Err(JoinRefusal::Closed));
}
