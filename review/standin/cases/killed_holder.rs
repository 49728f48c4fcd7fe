//! A daemon is killed at which all requests of a customer arrive, while the customer sends many times its
//! usual.

use crate::cases::{Deployment, QUOTELIGHT_BOUNDS, SMALL_BURST, SMALL_KEY, SMALL_RATE, ZONES};
use crate::client::{self, Outcome, Request};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long the customer sends its usual, and for how long many times that before the kill and after it.
const CALM: Duration = Duration::from_secs(6);
const BEFORE: Duration = Duration::from_millis(2_500);
const AFTER: Duration = Duration::from_secs(8);
/// How long the process is gone.
const DOWN: Duration = Duration::from_millis(750);
/// Clients, and how long each waits between two requests: 10 a second is the customer's usual, and 7.5 times
/// that the most that it sends (`x` of `hot_tenant` in the site file).
const CLIENTS: usize = 6;
const HOT_INTERVAL: Duration = Duration::from_millis(80);
const CALM_INTERVAL: Duration = Duration::from_millis(600);
/// `quota_window_s`, `quota_overage`, `quota_slack`.
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Prefix of the customer's requests.
const PREFIX: &str = "/read/small-";

/// The most requests that ran within a window.
fn peak(times: &[f64]) -> (usize, f64) {
    let counts = times.iter().enumerate().map(|(first, from)| {
        let within = times[first..].iter().take_while(|at| **at < from + WINDOW);
        (within.count(), *from)
    });
    counts.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0))
}

pub fn run(folder: &str) -> Result<bool, String> {
    let mut deployment = Deployment::start(folder, QUOTELIGHT_BOUNDS)?;
    let record = deployment.record.clone();
    let (is_hot, is_over) = (AtomicBool::new(false), AtomicBool::new(false));
    let front = deployment.vms[0].front;
    let restarted: Result<(), String> = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, is_hot, is_over) = (&record, &is_hot, &is_over);
            scope.spawn(move || {
                let mut sent = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let target = format!("{PREFIX}{client}-{sent}");
                    let deadline = Duration::from_secs(2);
                    let request = Request { method: "GET", target: &target, key: SMALL_KEY, deadline, body: b"", extra: "" };
                    let (outcome, _) = client::send(record, front, &request);
                    sent += 1;
                    let interval = match is_hot.load(Ordering::Relaxed) {
                        true => HOT_INTERVAL,
                        false => CALM_INTERVAL,
                    };
                    thread::sleep(match outcome {
                        Outcome::NoConnection | Outcome::Closed => interval.max(Duration::from_millis(100)),
                        _ => interval,
                    });
                }
            });
        }
        thread::sleep(CALM);
        is_hot.store(true, Ordering::Relaxed);
        record.say("the customer sends many times its usual");
        thread::sleep(BEFORE);
        let restarted = match deployment.has_trouble {
            true => {
                let address = deployment.store.address;
                let vm = &mut deployment.vms[0];
                vm.kill();
                record.say(format!("{} is killed", vm.name));
                thread::sleep(DOWN);
                vm.write_settings(address, &ZONES, QUOTELIGHT_BOUNDS, false).and_then(|()| vm.start())
            }
            false => {
                thread::sleep(DOWN);
                Ok(())
            }
        };
        thread::sleep(AFTER);
        is_over.store(true, Ordering::Relaxed);
        restarted
    });
    restarted?;
    let runs = deployment.backends.iter().flat_map(|backend| backend.runs());
    let runs = runs.filter(|run| run.target.starts_with(PREFIX));
    let mut times: Vec<f64> = runs.map(|run| run.at).collect();
    times.sort_by(f64::total_cmp);
    let (count, from) = peak(&times);
    let allowed = (SMALL_RATE * WINDOW + SMALL_BURST) * (1.0 + OVERAGE) + SLACK;
    record.say(format!(
        "{} requests of the customer ran; {count} within {WINDOW} s from {from:.2} s on, {allowed} are allowed",
        times.len()
    ));
    if times.is_empty() {
        return Err("no request of the customer ran".to_owned());
    }
    let is_kept = count as f64 <= allowed;
    record.say(if is_kept { "QUOTA is kept" } else { "QUOTA is broken" });
    Ok(is_kept)
}
