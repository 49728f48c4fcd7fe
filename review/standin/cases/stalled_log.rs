//! The process that reads a daemon's log stands still.

use crate::cases::{Deployment, QUOTELIGHT_BOUNDS};
use crate::client::{self, Outcome, Request};
use crate::fleet::{SIGCONT, SIGSTOP};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `timeout_s` of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// How much later than that a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
/// How long a client waits.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long clients send before the disruption, and how long it lasts.
const CALM: Duration = Duration::from_secs(5);
const STALL: Duration = Duration::from_secs(60);
/// How long each client waits between two requests.
const PAUSE: Duration = Duration::from_millis(200);
const CLIENTS: usize = 8;
/// Of so many requests of a client one uses a route that does not exist.
const UNKNOWN_EVERY: usize = 5;

pub fn run(folder: &str) -> Result<bool, String> {
    let deployment = Deployment::start(folder, QUOTELIGHT_BOUNDS)?;
    let record = &deployment.record;
    let vm = &deployment.vms[0];
    let is_over = AtomicBool::new(false);
    let (started, front) = (Instant::now(), vm.front);
    let results: Vec<(Duration, Outcome, Duration)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let is_over = &is_over;
                scope.spawn(move || {
                    let mut results = Vec::new();
                    while !is_over.load(Ordering::Relaxed) {
                        // A few requests use a route that never existed (PROTOCOL.md, "Requests").
                        let prefix = if results.len() % UNKNOWN_EVERY == 0 { "unknown" } else { "read" };
                        let target = format!("/{prefix}/{index}");
                        let request = Request { method: "GET", target: &target, key: client::KEY, deadline: DEADLINE, body: b"", extra: "" };
                        let at = started.elapsed();
                        let (outcome, taken) = client::send(record, front, &request);
                        results.push((at, outcome, taken));
                        thread::sleep(PAUSE);
                    }
                    results
                })
            })
            .collect();
        thread::sleep(CALM);
        if deployment.has_trouble {
            vm.signal_log(SIGSTOP);
        }
        thread::sleep(STALL);
        is_over.store(true, Ordering::Relaxed);
        let results = clients.into_iter().flat_map(|client| client.join().unwrap_or_default());
        results.collect()
    });
    vm.signal_log(SIGCONT);
    let served = results.iter().filter(|(_, outcome, _)| *outcome == Outcome::Served).count();
    let calm = results.iter().filter(|(at, _, _)| *at < CALM);
    let calm_served = calm.filter(|(_, outcome, _)| *outcome == Outcome::Served).count();
    // A request without a connection was never taken; one that ended sooner has its end.
    let unanswered = results.iter().filter(|(_, outcome, taken)| {
        *outcome != Outcome::NoConnection && *taken >= ROUTE_TIMEOUT
    });
    let unanswered: Vec<_> = unanswered.collect();
    let late = unanswered.iter().filter(|(_, _, taken)| *taken >= ROUTE_TIMEOUT + SLACK).count();
    record.say(format!(
        "{} requests, {served} served ({calm_served} of them in the calm); {} unanswered at their route's timeout_s, {late} of these half a second later",
        results.len(),
        unanswered.len()
    ));
    if calm_served == 0 {
        return Err("nothing was served in the calm".to_owned());
    }
    let is_kept = late * 2 <= unanswered.len();
    record.say(if is_kept { "CONFIG is kept" } else { "CONFIG is broken" });
    Ok(is_kept)
}
