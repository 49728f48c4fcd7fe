//! Property tests of the hybrid logical clock and the event ring.

use dahliawood_events::{clock, kind, ring};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Seed used when `DAHLIAWOOD_TEST_SEED` is not set.
const DEFAULT_SEED: u64 = 42;

/// A test runner whose random choices depend only on the seed.
fn runner() -> TestRunner {
    let seed = std::env::var("DAHLIAWOOD_TEST_SEED").ok();
    let seed = seed
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&u64::to_le_bytes(seed));
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// Wall times: of a local tick, and of a remote stamp that is observed after it.
fn clock_steps() -> impl Strategy<Value = Vec<(u64, u64)>> {
    let wall = 1_000_000_u64..2_000_000_000;
    prop::collection::vec((wall.clone(), wall), 1..200)
}

#[test]
fn clock_is_strictly_increasing_for_any_wall_time() {
    let history = |steps: Vec<(u64, u64)>| {
        let mut clock = clock::HybridClock::default();
        let mut last = clock::HybridStamp::default();
        for (wall, remote) in steps {
            let stamp = clock.tick(wall);
            prop_assert!(stamp > last);
            last = stamp;
            clock.observe(clock::HybridStamp::from_wall_micros(remote), wall);
        }
        Ok(())
    };
    runner().run(&clock_steps(), history).unwrap();
}

#[test]
fn tick_is_later_than_observed_stamps_within_the_maximum_lead() {
    let mut clock = clock::HybridClock::default();
    let now = 10_000_000_000;
    let remote = clock::HybridStamp::from_wall_micros(now + 1_000_000);
    clock.observe(remote, now);
    assert!(clock.tick(now) > remote);
    let broken = clock::HybridStamp::from_wall_micros(now + 3_600_000_000);
    clock.observe(broken, now);
    assert!(
        clock.tick(now) < broken,
        "a stamp an hour ahead must not advance the clock"
    );
}

#[test]
fn reader_gets_each_event_once_or_the_number_of_lost_events() {
    let steps = prop::collection::vec((0_usize..20, 1_usize..10), 1..60);
    let history = |steps: Vec<(usize, usize)>| {
        let mut ring = ring::EventRing::new("vm-1", 16);
        let (mut recorded, mut received, mut lost, mut after) = (0_u64, 0_u64, 0_u64, 0_u64);
        for (count, limit) in steps {
            for _ in 0..count {
                recorded += 1;
                let stamp = clock::HybridStamp(recorded);
                ring.record(
                    stamp,
                    kind::EventKind::RevisionStaged { revision: recorded },
                );
            }
            let page = ring.page(after, limit);
            for event in &page.events {
                prop_assert!(event.position > after);
                prop_assert_eq!(event.position, event.stamp.0);
                after = event.position;
            }
            received += page.events.len() as u64;
            lost += page.lost;
            prop_assert_eq!(received + lost, page.next);
            after = page.next;
        }
        let rest = ring.page(after, usize::MAX);
        prop_assert_eq!(
            received + lost + rest.lost + rest.events.len() as u64,
            recorded
        );
        Ok(())
    };
    runner().run(&steps, history).unwrap();
}

#[test]
fn position_of_an_earlier_incarnation_returns_the_whole_ring() {
    let mut ring = ring::EventRing::new("vm-1", 4);
    ring.record(clock::HybridStamp(1), kind::EventKind::StoreLost);
    let page = ring.page(99, 10);
    assert_eq!(page.events.len(), 1);
    assert_eq!(page.lost, 0);
}

#[test]
fn event_round_trips_through_json() {
    let mut ring = ring::EventRing::new("vm-1", 4);
    let kind = kind::EventKind::KeyWithdrawn {
        customer: "a".to_owned(),
        key_id: "b".to_owned(),
    };
    let event = ring.record(clock::HybridStamp(7), kind).clone();
    let text = serde_json::to_string(&event).unwrap();
    assert!(
        text.contains(&format!("\"kind\":\"{}\"", event.kind.name())),
        "{text}"
    );
    assert_eq!(
        serde_json::from_str::<ring::TimedEvent>(&text).unwrap(),
        event
    );
}
