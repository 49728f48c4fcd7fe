//! Bytes of requests that are sent to one target at a time.

use dahliawood_gateway::held_bytes::HeldBytes;
use std::net::SocketAddr;

const MIB: usize = 1 << 20;

/// Guards against a target that holds more than its memory, and against a body that no target gets.
#[test]
fn a_target_gets_a_bounded_number_of_bytes_at_a_time_or_one_body() {
    let held = HeldBytes::default();
    let target = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let first = held.send(target(1), 10 * MIB).unwrap();
    let second = held.send(target(1), 6 * MIB).unwrap();
    assert!(held.send(target(1), 1).is_none());
    assert!(
        held.send(target(1), 0).is_some(),
        "a request without a body"
    );
    assert!(held.send(target(2), 60 * MIB).is_some(), "one body, alone");
    drop(second);
    assert!(held.send(target(1), 6 * MIB).is_some());
    drop(first);
    assert!(held.send(target(1), 60 * MIB).is_some());
}
