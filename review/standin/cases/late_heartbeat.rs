//! The store loses the answer to a heartbeat of a backend and carries it out later, when the backend has
//! reported that it is leaving.

use crate::cases::{Deployment, QUOTELIGHT_BOUNDS, all_visits};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// How long clients send.
const LENGTH: Duration = Duration::from_secs(12);
/// How much later the heartbeat is carried out (`platform_lost` with `how = "late"`: 1 to 6 s).
const DELAY: Duration = Duration::from_millis(4_600);
/// How long after the lost answer the backend reports that it is leaving: longer than `contact_s`, so that
/// the store is stable again.
const LEAVES_AFTER: Duration = Duration::from_millis(3_100);
/// `drain_s`.
const DRAIN: Duration = Duration::from_secs(2);

pub fn run(folder: &str) -> Result<bool, String> {
    let deployment = Deployment::start(folder, QUOTELIGHT_BOUNDS)?;
    let (record, store) = (&deployment.record, &deployment.store);
    let backend = &deployment.backends[0];
    let acknowledged_at = Mutex::new(0.0);
    let disturb = || {
        // A heartbeat right after another one.
        let beats = backend.beats();
        while backend.beats() == beats {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(50));
        let sent = Instant::now();
        let old = backend.entry();
        if deployment.has_trouble {
            record.say(format!("the answer to a heartbeat of {} is lost: {old}", backend.id));
        }
        thread::sleep(LEAVES_AFTER);
        backend.drain(store);
        *acknowledged_at.lock().unwrap_or_else(|error| error.into_inner()) = record.now();
        record.say(format!("the store accepts the report that {} is draining", backend.id));
        thread::sleep(DELAY.saturating_sub(sent.elapsed()));
        if deployment.has_trouble {
            store.put(&backend.key(), &old);
            record.say(format!("the store carries out the heartbeat that it got {DELAY:?} before"));
        }
    };
    let (sent, served) = all_visits(&deployment, LENGTH, disturb);
    record.say(format!("{served} of {sent} requests served"));
    let acknowledged_at = *acknowledged_at.lock().unwrap_or_else(|error| error.into_inner());
    let runs = backend.runs();
    let before = runs.iter().filter(|run| run.at < acknowledged_at).count();
    if before == 0 {
        return Err("the backend got no request before it left".to_owned());
    }
    let late: Vec<_> = runs.iter().filter(|run| run.at > acknowledged_at + DRAIN.as_secs_f64()).collect();
    let last = late.last().map_or(0.0, |run| run.at - acknowledged_at);
    record.say(format!(
        "requests that reached {} later than drain_s after that: {}, the last one after {last:.2} s",
        backend.id,
        late.len()
    ));
    record.say(if late.is_empty() { "DRAIN is kept" } else { "DRAIN is broken" });
    Ok(late.is_empty())
}
