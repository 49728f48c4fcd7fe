//! An entry of a backend comes from another writer, with fields missing.

use crate::backend::Backend;
use crate::cases::{Deployment, QUOTELIGHT_BOUNDS, ZONES};
use crate::client::{self, KEY, Outcome, Request};
use std::thread;
use std::time::{Duration, Instant};

/// How long clients send before the entry is written, and after it.
const CALM: Duration = Duration::from_secs(4);
const JUDGED: Duration = Duration::from_secs(8);
/// How often the other writer writes the entry, which the backend's next heartbeat replaces, and how much
/// later each time.
const WRITES: usize = 4;
const WRITE_INTERVAL: Duration = Duration::from_millis(1_700);
const CLIENTS: usize = 4;
const INTERVAL: Duration = Duration::from_millis(20);
/// Methods and prefixes of the routes to the service `svc`.
const OWN_ROUTES: [(&str, &str); 2] = [("GET", "/read/"), ("POST", "/post/")];

/// One client's requests of both kinds to both daemons in turn; returns how many were sent and served.
fn visits(deployment: &Deployment, client: usize, length: Duration) -> (usize, usize) {
    let until = Instant::now() + length;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        let (method, prefix) = OWN_ROUTES[sent / 2 % OWN_ROUTES.len()];
        let target = format!("{prefix}{client}-{sent}");
        let front = deployment.vms[sent % deployment.vms.len()].front;
        let deadline = Duration::from_secs(2);
        let request = Request { method, target: &target, key: KEY, deadline, body: b"", extra: "" };
        let (outcome, _) = client::send(&deployment.record, front, &request);
        sent += 1;
        served += usize::from(outcome == Outcome::Served);
        thread::sleep(INTERVAL);
    }
    (sent, served)
}

/// The requests of all clients, while `beside` runs; returns how many were sent and served.
fn all_visits(deployment: &Deployment, length: Duration, beside: impl FnOnce()) -> (usize, usize) {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || visits(deployment, client, length)))
            .collect();
        beside();
        let counts = clients.into_iter().map(|client| client.join().unwrap_or_default());
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    })
}

pub fn run(folder: &str) -> Result<bool, String> {
    let deployment = Deployment::start(folder, QUOTELIGHT_BOUNDS)?;
    let (record, store) = (&deployment.record, &deployment.store);
    let work = Duration::from_millis(20);
    let other = Backend::start(record, store, "i-other", "other", ZONES[0].0, work)?;
    let (sent, served) = all_visits(&deployment, CALM, || {});
    record.say(format!("before: {served} of {sent} requests served"));
    if served * 2 < sent {
        return Err("too little was served before the disruption".to_owned());
    }
    // No `born`, `version`, `sequence` and `cold_remaining_s`.
    let entry = format!(
        r#"{{"address":"{}","info":{{"service":"svc","zone":"{}","slots":9}},"status":{{"state":"ready"}}}}"#,
        other.address, ZONES[0].0
    );
    let write = || {
        for _ in 0..WRITES {
            thread::sleep(WRITE_INTERVAL);
            store.put("servers/i-other", &entry);
            record.say(format!("another writer writes servers/i-other: {entry}"));
        }
    };
    let (sent, served) = match deployment.has_trouble {
        true => all_visits(&deployment, JUDGED, write),
        false => all_visits(&deployment, JUDGED, || {}),
    };
    record.say(format!("after: {served} of {sent} requests served"));
    let runs = other.runs();
    let foreign: Vec<_> = runs
        .iter()
        .filter(|run| OWN_ROUTES.iter().any(|(_, prefix)| run.target.starts_with(prefix)))
        .collect();
    for run in &foreign {
        record.line(format!("run by the service 'other' at {:.3}: {} {} {}", run.at, run.attempt, run.method, run.target));
    }
    let posts = foreign.iter().filter(|run| run.method == "POST").count();
    record.say(format!(
        "requests for the service 'svc' that the service 'other' ran: {}, of them non-idempotent: {posts}",
        foreign.len()
    ));
    record.say(if foreign.is_empty() { "ROUTE is kept" } else { "ROUTE is broken" });
    Ok(foreign.is_empty())
}
