//! An entry of a backend comes from another writer, with fields missing.

use crate::backend::Backend;
use crate::cases::{Deployment, OWN_ROUTES, QUOTELIGHT_BOUNDS, ZONES, all_visits};
use std::thread;
use std::time::Duration;

/// How long clients send before the entry is written, and after it.
const CALM: Duration = Duration::from_secs(4);
const JUDGED: Duration = Duration::from_secs(8);
/// How often the other writer writes the entry, which the backend's next heartbeat replaces, and how much
/// later each time.
const WRITES: usize = 4;
const WRITE_INTERVAL: Duration = Duration::from_millis(1_700);
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
